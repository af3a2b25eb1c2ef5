// Reads one JSON object key by key and collects all problems instead of stopping at the first.
#pragma once

#include "framework/global/types/time.h"
#include "settings/types/integerrange.h"
#include "settings/types/problem.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::settings
{

/** Returns the path of `key` in the object at `path`. */
[[nodiscard]] std::string childPath(const std::string &path, std::string_view key);
/** Returns the path of element `index` of the array at `path`. */
[[nodiscard]] std::string elementPath(const std::string &path, std::size_t index);

class ObjectReader
{
public:
    /** Adds one problem if `value` is not an object; all reads then return empty or default values. */
    ObjectReader(const nlohmann::json &value, std::string path, std::vector<Problem> &problems);

    [[nodiscard]] bool isObject() const
    {
        return m_object != nullptr;
    }

    /** Returns the value of `key`, or null if it is missing; `require` then adds a problem. */
    const nlohmann::json *find(std::string_view key);
    const nlohmann::json *require(std::string_view key);

    /** Adds a problem if the string is missing or empty. */
    std::string requireString(std::string_view key);
    std::optional<std::string> findString(std::string_view key);
    std::uint64_t requireInteger(std::string_view key, IntegerRange range);
    std::uint64_t findInteger(std::string_view key, IntegerRange range, std::uint64_t defaultValue);
    Milliseconds findDuration(std::string_view key, IntegerRange range, Milliseconds defaultValue);
    bool requireBool(std::string_view key);
    /** Returns an empty list if the key is missing or not an array. */
    std::vector<std::string> findStrings(std::string_view key);

    void addProblem(std::string_view key, std::string text);
    [[nodiscard]] std::string path(std::string_view key) const;

    /** Adds a problem for each key that no read asked for. Call it after all reads. */
    void reportUnknownKeys();

private:
    std::uint64_t readInteger(
        std::string_view key, const nlohmann::json &value, IntegerRange range, std::uint64_t defaultValue);

    const nlohmann::json *m_object = nullptr;
    std::string m_path;
    std::vector<Problem> &m_problems;
    // Invariant: contains every key that a read asked for.
    std::set<std::string, std::less<>> m_knownKeys;
};

} // namespace magnolia::settings

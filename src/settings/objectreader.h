// Reading of one JSON object key by key, noting every problem instead of stopping at the first.
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

/** The path of `key` inside the object at `path`. */
[[nodiscard]] std::string childPath(const std::string &path, std::string_view key);
/** The path of element `index` of the array at `path`. */
[[nodiscard]] std::string elementPath(const std::string &path, std::size_t index);

class ObjectReader
{
public:
    /** Notes a problem where `value` is no object; all reads then give nothing and note no more. */
    ObjectReader(const nlohmann::json &value, std::string path, std::vector<Problem> &problems);

    [[nodiscard]] bool isObject() const
    {
        return m_object != nullptr;
    }

    /** The value of `key`; null where it is absent, which is a problem for `require`. */
    const nlohmann::json *find(std::string_view key);
    const nlohmann::json *require(std::string_view key);

    /** Not empty. */
    std::string requireString(std::string_view key);
    std::optional<std::string> findString(std::string_view key);
    std::uint64_t requireInteger(std::string_view key, IntegerRange range);
    std::uint64_t findInteger(std::string_view key, IntegerRange range, std::uint64_t absent);
    Milliseconds findDuration(std::string_view key, IntegerRange range, Milliseconds absent);
    bool requireBool(std::string_view key);
    /** Empty where it is absent or no array. */
    std::vector<std::string> findStrings(std::string_view key);

    void addProblem(std::string_view key, std::string text);
    [[nodiscard]] std::string path(std::string_view key) const;

    /** Notes each key of the object that was not asked for. Call it after all reads. */
    void reportUnknownKeys();

private:
    std::uint64_t integer(std::string_view key, const nlohmann::json &value, IntegerRange range, std::uint64_t absent);

    const nlohmann::json *m_object = nullptr;
    std::string m_path;
    std::vector<Problem> &m_problems;
    // Invariant: every key that any read asked for.
    std::set<std::string, std::less<>> m_known;
};

} // namespace magnolia::settings

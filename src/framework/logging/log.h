// Structured log: each line is a JSON object with time, level, module, event and typed fields.
// `explain` parses these lines, so the names of events and fields are part of the interface.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnolia::logging
{

enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

using FieldValue = std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view, std::vector<std::string>>;

/** One named value of a log line; durations carry their unit in the name, as in `wait_ms`. */
struct Field
{
    std::string_view name;
    FieldValue value;
};

/** Sets the log's destination: the file at `path`, standard output for `-`, or standard error if `path` is empty.
 * `instance` is part of each line. */
void setUp(std::string_view path, Level minLevel, std::string_view instance);

/** Whether lines of `level` are written; check it before computing expensive fields. */
[[nodiscard]] bool isEnabled(Level level);

/** Writes one line. Thread-safe. */
void write(Level level, std::string_view module, std::string_view event, std::initializer_list<Field> fields);
/** Writes one line whose fields depend on the case. Thread-safe. */
void write(Level level, std::string_view module, std::string_view event, std::span<const Field> fields);

/** Flushes buffered lines. */
void flush();

/** Returns the line that `write` would write, without time and instance; for tests and golden files. */
[[nodiscard]] std::string format(
    Level level, std::string_view module, std::string_view event, std::initializer_list<Field> fields);

/** Returns the level named `name`, or Info if the name is unknown. */
[[nodiscard]] Level levelFromName(std::string_view name);

} // namespace magnolia::logging

// The one front of the log: a line is a JSON object with time, level, module, event and typed fields.
// `explain` reads these lines back, so an event's name and fields are part of the interface.
#pragma once

#include <cstdint>
#include <initializer_list>
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

/** Sends the log to the file at `path`, to standard output for `-`, or to standard error where it is empty; `instance`
 * stands in each line. */
void setUp(std::string_view path, Level lowest, std::string_view instance);

/** Whether lines of `level` are written; spares the work of building costly fields. */
[[nodiscard]] bool isEnabled(Level level);

/** Writes one line. Safe from any thread. */
void write(Level level, std::string_view module, std::string_view event, std::initializer_list<Field> fields);

/** Writes buffered lines out. */
void flush();

/** The line that `write` would write, without time and instance; for tests and golden files. */
[[nodiscard]] std::string format(
    Level level, std::string_view module, std::string_view event, std::initializer_list<Field> fields);

/** The level named `name`, or Info for a name that is none. */
[[nodiscard]] Level levelFromName(std::string_view name);

} // namespace magnolia::logging

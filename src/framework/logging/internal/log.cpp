// Formats log lines as JSON and hands them to spdlog.
#include "framework/logging/log.h"

#include "framework/logging/internal/boundedsink.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

namespace magnolia::logging
{

namespace
{

using Json = nlohmann::ordered_json;

/** Path that selects standard output. */
constexpr std::string_view standardOutputPath = "-";

std::string instanceName;
spdlog::level::level_enum minSpdlogLevel = spdlog::level::info;

spdlog::level::level_enum toSpdlog(Level level)
{
    switch (level) {
    case Level::Debug:
        return spdlog::level::debug;
    case Level::Info:
        return spdlog::level::info;
    case Level::Warning:
        return spdlog::level::warn;
    case Level::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

std::string_view levelName(Level level)
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return "info";
}

Json toJson(const FieldValue &value)
{
    return std::visit(
        [](const auto &it) {
            return Json(it);
        },
        value);
}

void addBody(Json &line, Level level, std::string_view module, std::string_view event, std::span<const Field> fields)
{
    line["level"] = levelName(level);
    line["module"] = module;
    line["event"] = event;
    for (const Field &field : fields) {
        line[std::string(field.name)] = toJson(field.value);
    }
}

// Text from callers may be invalid UTF-8; invalid bytes are replaced, so that logging never throws.
std::string dump(const Json &line)
{
    return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

void setUp(std::string_view path, Level minLevel, std::string_view instance)
{
    instanceName = instance;
    minSpdlogLevel = toSpdlog(minLevel);
    spdlog::drop("magnolia");
    const bool isStandardOutput = path == standardOutputPath;
    auto logger = isStandardOutput
        ? std::make_shared<spdlog::logger>("magnolia", std::make_shared<BoundedSink>(STDOUT_FILENO))
        : path.empty() ? spdlog::stderr_logger_mt("magnolia")
                       : spdlog::basic_logger_mt("magnolia", std::string(path));
    logger->set_pattern("%v");
    logger->set_level(minSpdlogLevel);
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(std::move(logger));
    if (!isStandardOutput) {
        spdlog::flush_every(std::chrono::seconds(1));
    }
}

bool isEnabled(Level level)
{
    return toSpdlog(level) >= minSpdlogLevel;
}

void write(Level level, std::string_view module, std::string_view event, std::initializer_list<Field> fields)
{
    write(level, module, event, std::span<const Field>(fields.begin(), fields.size()));
}

void write(Level level, std::string_view module, std::string_view event, std::span<const Field> fields)
{
    if (!isEnabled(level)) {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    Json line;
    line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    line["instance"] = instanceName;
    addBody(line, level, module, event, fields);
    spdlog::default_logger_raw()->log(toSpdlog(level), dump(line));
}

void flush()
{
    spdlog::default_logger_raw()->flush();
}

std::string format(Level level, std::string_view module, std::string_view event, std::initializer_list<Field> fields)
{
    Json line;
    addBody(line, level, module, event, std::span<const Field>(fields.begin(), fields.size()));
    return dump(line);
}

Level levelFromName(std::string_view name)
{
    for (const Level level : {Level::Debug, Level::Info, Level::Warning, Level::Error}) {
        if (levelName(level) == name) {
            return level;
        }
    }
    return Level::Info;
}

} // namespace magnolia::logging

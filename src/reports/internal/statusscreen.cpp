// Formats an instance's status as text tables.
#include "reports/statusscreen.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace magnolia::reports
{

namespace
{

using Json = nlohmann::ordered_json;

std::string toText(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// Writes a table with one row per object. The members of the first row are the columns.
void writeTable(std::ostream &text, const std::string &title, const Json &rows, bool isColoured)
{
    text << (isColoured ? "\033[1m" : "") << title << (isColoured ? "\033[0m" : "") << " (" << rows.size() << ")\n";
    if (rows.empty()) {
        return;
    }
    std::vector<std::size_t> widths;
    std::vector<std::string> names;
    for (const auto &[name, value] : rows.front().items()) {
        std::size_t width = name.size();
        for (const Json &row : rows) {
            width = std::max(width, toText(row.value(name, Json(""))).size());
        }
        names.push_back(name);
        widths.push_back(width);
    }
    for (std::size_t i = 0; i < names.size(); ++i) {
        text << "  " << std::left << std::setw(static_cast<int>(widths[i])) << names[i];
    }
    text << '\n';
    for (const Json &row : rows) {
        for (std::size_t i = 0; i < names.size(); ++i) {
            text << "  " << std::left << std::setw(static_cast<int>(widths[i]))
                 << toText(row.value(names[i], Json("")));
        }
        text << '\n';
    }
}

} // namespace

Result<std::string> statusScreen(const std::string &json, bool isColoured)
{
    const Json status = Json::parse(json, nullptr, false);
    if (!status.is_object() || !status.contains("instance")) {
        return makeError(ResultCode::PlatformMalformed,
            "the answer is not an instance status: expected a JSON object with \"instance\"");
    }
    std::ostringstream text;
    for (const auto &[name, value] : status.items()) {
        if (!value.is_array()) {
            text << std::left << std::setw(24) << name << toText(value) << '\n';
        }
    }
    for (const auto &[name, value] : status.items()) {
        if (value.is_array()) {
            writeTable(text, name, value, isColoured);
        }
    }
    return text.str();
}

} // namespace magnolia::reports

// Text record of a session, for comparison with a golden file.
#pragma once

#include "httpcall.h"

#include <string>
#include <vector>

namespace magnolia::sessions
{

class SessionRecord
{
public:
    explicit SessionRecord(std::string name)
        : m_name(std::move(name))
    {
    }

    /** Makes text() replace `from` by `to`; for ports, ids and other values that differ between runs. */
    void replace(const std::string &from, const std::string &to);
    void addComment(const std::string &text);
    void add(const HttpRequest &request);
    /** Adds the status, selected headers and the body. */
    void add(const HttpResponse &response);
    void add(const std::string &text);
    /** Returns whether the log contains the final line of the request. */
    [[nodiscard]] static bool hasFinalLogLine(const std::string &log, const std::string &requestId);
    /** Adds the decision log lines of the request, without times. */
    void addLogLines(const std::string &log, const std::string &requestId);

    /** Returns the record with all replacements and normalisations applied. */
    [[nodiscard]] std::string text() const;
    /** Returns the text of the golden file. With MAGNOLIA_UPDATE_GOLDEN=1, first overwrites the file with text(). */
    [[nodiscard]] std::string golden() const;

private:
    std::string m_name;
    std::string m_text;
    std::vector<std::pair<std::string, std::string>> m_replacements;
};

} // namespace magnolia::sessions

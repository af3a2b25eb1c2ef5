// Generates docs/RESULT-CODES.md.
#include "reports/resultcodespage.h"

#include "framework/global/resultcode.h"

#include <sstream>

namespace magnolia::reports
{

std::string resultCodesPage()
{
    std::ostringstream page;
    page
        << "# Result codes\n\n"
           "Every error answer carries a code, its name, a sentence for people, what became of the work (`outcome`:\n"
           "`ran`, `not_run` with proof, or `unknown`; `this_attempt` the same for this sending alone) and, where\n"
           "coming back makes sense, `retry_after_ms`. Codes are grouped by module in ranges of a thousand. This page\n"
           "is what `magnoliastream codes` prints; a test compares the two.\n\n"
           "| Code | Name | HTTP | What it means and what to do |\n| --- | --- | --- | --- |\n";
    for (const ResultCodeInfo &info : resultCodeTable()) {
        page << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << info.httpStatus << " | "
             << info.text << " |\n";
    }
    return page.str();
}

} // namespace magnolia::reports

// Formats a failed check as text or as an error.
#include "settings/types/checkfailure.h"

namespace magnolia::settings
{

namespace
{

std::string join(const std::vector<Problem> &problems, std::string_view separator)
{
    std::string text;
    for (const Problem &problem : problems) {
        if (!text.empty()) {
            text += separator;
        }
        text += problem.path.empty() ? problem.text : problem.path + ": " + problem.text;
    }
    return text;
}

} // namespace

std::string toString(const CheckFailure &failure)
{
    return join(failure.problems, "\n");
}

Error toError(const CheckFailure &failure)
{
    return Error{failure.code, join(failure.problems, "; "), Outcome::NotRun, std::nullopt};
}

} // namespace magnolia::settings

// Generates docs/RESULT-CODES.md from the table of result codes.
#pragma once

#include <string>

namespace magnolia::reports
{

[[nodiscard]] std::string resultCodesPage();

} // namespace magnolia::reports

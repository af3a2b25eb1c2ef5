// All problems that the check of a document found, with one result code.
#pragma once

#include "framework/global/error.h"
#include "settings/types/problem.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace magnolia::settings
{

struct CheckFailure
{
    ResultCode code = ResultCode::SettingsInvalid;
    // Invariant: not empty.
    std::vector<Problem> problems;
};

/** A valid value, or all problems that its check found. */
template <typename T>
using Checked = tl::expected<T, CheckFailure>;

/** Returns one line per problem: `path: text`. */
[[nodiscard]] std::string toString(const CheckFailure &failure);

/** Converts the failure to an error whose detail contains the problems, separated by `; `. */
[[nodiscard]] Error toError(const CheckFailure &failure);

} // namespace magnolia::settings

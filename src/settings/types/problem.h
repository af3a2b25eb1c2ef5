// One problem that the check of a document found.
#pragma once

#include <string>

namespace magnolia::settings
{

struct Problem
{
    /** Path of the value, for example `caller.address` or `classes[2].finish_ms`; empty for the whole document. */
    std::string path;
    /** Describes the problem and the expected value. */
    std::string text;

    friend bool operator==(const Problem &, const Problem &) = default;
};

} // namespace magnolia::settings

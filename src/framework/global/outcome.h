// Whether a request that ended with an error was executed.
#pragma once

#include <string_view>

namespace magnolia
{

/** Whether a request was executed. `NotRun` is reported only with proof. */
enum class Outcome {
    Ran,
    NotRun,
    Unknown,
};

[[nodiscard]] constexpr std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace magnolia

// How one attempt at an upstream ended.
#pragma once

#include <string_view>

namespace magnolia::entry
{

enum class AttemptEnd {
    /** The answer was received completely. */
    Whole,
    /** The caller closed its connection. */
    CallerGone,
    /** The finish time of the request class has passed. */
    DeadlinePassed,
    /** The process is about to end. */
    ProcessEnding,
    /** The final check before the first byte forbade sending; nothing was sent. */
    Forbidden,
    /** The connection could not be opened; nothing was sent. */
    ConnectFailed,
    /** The upstream reported that it is leaving and did not run the request. */
    Leaving,
    /** The upstream reported that it has no capacity and did not run the request. */
    Refused,
    /** The upstream answered with an error that is forwarded to the caller. */
    Rejected,
    /** The upstream does not know the stream to resume. */
    StreamUnknown,
    /** No byte arrived within the silence timeout on an open connection. */
    Silent,
    /** The connection broke or the answer was truncated. */
    Broken,
    /** The answer belongs to another request, is malformed or is too large. */
    WrongAnswer,
    /** Tokens are missing in the stream. */
    Gap,
};

[[nodiscard]] constexpr std::string_view toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Whole:
        return "whole";
    case AttemptEnd::CallerGone:
        return "caller_gone";
    case AttemptEnd::DeadlinePassed:
        return "deadline_passed";
    case AttemptEnd::ProcessEnding:
        return "process_ending";
    case AttemptEnd::Forbidden:
        return "forbidden";
    case AttemptEnd::ConnectFailed:
        return "connect_failed";
    case AttemptEnd::Leaving:
        return "leaving";
    case AttemptEnd::Refused:
        return "refused";
    case AttemptEnd::Rejected:
        return "rejected";
    case AttemptEnd::StreamUnknown:
        return "stream_unknown";
    case AttemptEnd::Silent:
        return "silent";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::WrongAnswer:
        return "wrong_answer";
    case AttemptEnd::Gap:
        return "gap";
    }
    return "broken";
}

} // namespace magnolia::entry

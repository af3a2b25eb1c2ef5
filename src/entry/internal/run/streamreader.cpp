// Reads answers from an upstream and forwards token streams to the caller.
#include "entry/internal/run/streamreader.h"

#include "upstreams/iupstreamanswer.h"

#include "entry/icalleranswer.h"
#include "entry/internal/run/runstate.h"
#include "streaming/eventsplitter.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::entry
{

namespace
{

using upstreams::ReceiveState;

/** Limits the time spent waiting for bytes from an upstream. */
class WaitControl
{
public:
    WaitControl(RunState &state, const ReaderContext &context)
        : m_state(state)
        , m_context(context)
        , m_lastByteAt(context.clock.monotonicNow())
    {
    }

    void recordBytes(MonoTime now)
    {
        m_lastByteAt = now;
    }

    /** Returns the length of the next wait, which ends at most 1 ms after the deadline. */
    [[nodiscard]] Milliseconds nextWait(MonoTime now) const
    {
        const Milliseconds left = toMilliseconds(m_state.endDue() - now) + Milliseconds(1);
        return std::clamp(left, Milliseconds(1), maxWait);
    }

    [[nodiscard]] std::optional<AttemptEnd> endAtDeadline(MonoTime now) const
    {
        if (now >= m_state.request.finishDue()) {
            return AttemptEnd::DeadlinePassed;
        }
        if (now >= m_state.endDue()) {
            return AttemptEnd::ProcessEnding;
        }
        return std::nullopt;
    }

    /** Returns the end of the attempt if it must stop after a wait without bytes. */
    [[nodiscard]] std::optional<AttemptEnd> endAfterWait(MonoTime now)
    {
        if (m_state.answer.isDisconnected()) {
            return AttemptEnd::CallerGone;
        }
        if (now - m_lastByteAt >= m_context.silenceTimeout) {
            return AttemptEnd::Silent;
        }
        return endAtDeadline(now);
    }

private:
    RunState &m_state;
    const ReaderContext &m_context;
    MonoTime m_lastByteAt;
};

// Appends the text of a token for a caller that did not request a stream. Returns false if the event has no text.
bool appendText(RunState &state, std::string_view data)
{
    const auto json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object() || !json.contains("text") || !json["text"].is_string()) {
        return false;
    }
    state.assembledText += json["text"].get_ref<const std::string &>();
    return true;
}

void recordToken(RunState &state, const ReaderContext &context, MonoTime now)
{
    if (!state.firstTokenAt) {
        state.firstTokenAt = now;
        context.onFirstToken();
    } else {
        state.tokenGaps.add(now - state.lastTokenAt);
    }
    state.lastTokenAt = now;
    state.resumesWithoutProgress = 0;
}

// Collects adjacent events, so that events that arrived together are sent in one write.
struct EventBatch
{
    std::string_view bytes;

    void add(std::string_view event)
    {
        if (bytes.empty()) {
            bytes = event;
        } else if (bytes.data() + bytes.size() == event.data()) {
            bytes = {bytes.data(), bytes.size() + event.size()};
        }
    }
    [[nodiscard]] bool canAppend(std::string_view event) const
    {
        return bytes.empty() || bytes.data() + bytes.size() == event.data();
    }
};

bool flush(RunState &state, EventBatch &batch)
{
    if (batch.bytes.empty()) {
        return true;
    }
    const bool isSent = state.answer.writeStream(batch.bytes);
    batch.bytes = {};
    return isSent;
}

// Handles one event. Returns the end of the attempt, or nothing if the stream continues.
std::optional<AttemptEnd> handleEvent(
    RunState &state, const ReaderContext &context, const streaming::StreamEvent &event, EventBatch &batch, MonoTime now)
{
    using streaming::EventDisposition;
    switch (state.cursor.accept(event)) {
    case EventDisposition::Forward:
        recordToken(state, context, now);
        if (!state.request.wantsStream) {
            return appendText(state, event.data) ? std::nullopt : std::optional(AttemptEnd::WrongAnswer);
        }
        if (!batch.canAppend(event.raw) && !flush(state, batch)) {
            return AttemptEnd::CallerGone;
        }
        batch.add(event.raw);
        return std::nullopt;
    case EventDisposition::Done:
        if (state.request.wantsStream) {
            if (!batch.canAppend(event.raw) && !flush(state, batch)) {
                return AttemptEnd::CallerGone;
            }
            batch.add(event.raw);
        }
        return AttemptEnd::Whole;
    case EventDisposition::Repeated:
    case EventDisposition::Ignored:
        return std::nullopt;
    case EventDisposition::Gap:
        return AttemptEnd::Gap;
    case EventDisposition::Foreign:
    case EventDisposition::Malformed:
        return AttemptEnd::WrongAnswer;
    }
    return AttemptEnd::WrongAnswer;
}

} // namespace

AttemptEnd awaitHead(upstreams::IUpstreamAnswer &upstream, RunState &state, const ReaderContext &context)
{
    WaitControl waitControl(state, context);
    while (true) {
        MonoTime now = context.clock.monotonicNow();
        if (const auto end = waitControl.endAtDeadline(now)) {
            return *end;
        }
        switch (upstream.awaitHead(waitControl.nextWait(now))) {
        case ReceiveState::Data:
            return AttemptEnd::Whole;
        case ReceiveState::Waiting:
            now = context.clock.monotonicNow();
            if (const auto end = waitControl.endAfterWait(now)) {
                return *end;
            }
            break;
        case ReceiveState::End:
        case ReceiveState::Broken:
            return AttemptEnd::Broken;
        }
    }
}

AttemptEnd forwardStream(upstreams::IUpstreamAnswer &upstream, RunState &state, const ReaderContext &context)
{
    WaitControl waitControl(state, context);
    streaming::EventSplitter splitter;
    while (true) {
        MonoTime now = context.clock.monotonicNow();
        if (const auto end = waitControl.endAtDeadline(now)) {
            return *end;
        }
        const upstreams::ReceiveResult received = upstream.receive(waitControl.nextWait(now));
        now = context.clock.monotonicNow();
        if (received.state == ReceiveState::Waiting) {
            if (const auto end = waitControl.endAfterWait(now)) {
                return *end;
            }
            continue;
        }
        if (received.state != ReceiveState::Data) {
            return AttemptEnd::Broken;
        }
        waitControl.recordBytes(now);
        splitter.feed(received.bytes);
        EventBatch batch;
        std::optional<AttemptEnd> end;
        while (!end) {
            const auto event = splitter.next();
            if (!event) {
                break;
            }
            end = handleEvent(state, context, *event, batch, now);
        }
        if (!flush(state, batch)) {
            return AttemptEnd::CallerGone;
        }
        if (end) {
            return *end;
        }
        if (splitter.isOverflowed()) {
            return AttemptEnd::WrongAnswer;
        }
    }
}

AttemptEnd readAnswerBody(upstreams::IUpstreamAnswer &upstream, RunState &state, const ReaderContext &context,
    std::size_t maxBytes, std::string &body)
{
    WaitControl waitControl(state, context);
    while (true) {
        MonoTime now = context.clock.monotonicNow();
        if (const auto end = waitControl.endAtDeadline(now)) {
            return *end;
        }
        const upstreams::ReceiveResult received = upstream.receive(waitControl.nextWait(now));
        now = context.clock.monotonicNow();
        switch (received.state) {
        case ReceiveState::Data:
            waitControl.recordBytes(now);
            body += received.bytes;
            if (body.size() > maxBytes) {
                return AttemptEnd::WrongAnswer;
            }
            break;
        case ReceiveState::Waiting:
            if (const auto end = waitControl.endAfterWait(now)) {
                return *end;
            }
            break;
        case ReceiveState::End:
            return AttemptEnd::Whole;
        case ReceiveState::Broken:
            return AttemptEnd::Broken;
        }
    }
}

} // namespace magnolia::entry

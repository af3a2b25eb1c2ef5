// Reads a token stream from an upstream and passes it on.
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

/** Decides, while nothing arrives, whether to go on waiting. */
class Patience
{
public:
    Patience(RunState &state, const ReaderContext &context)
        : m_state(state)
        , m_context(context)
        , m_lastByteAt(context.clock.monotonicNow())
    {
    }

    void noteBytes(MonoTime now)
    {
        m_lastByteAt = now;
    }

    /** The next wait; never reaches past the time to finish. */
    [[nodiscard]] Milliseconds nextWait(MonoTime now) const
    {
        const Milliseconds left = toMilliseconds(m_state.request.finishDue() - now) + Milliseconds(1);
        return std::clamp(left, Milliseconds(1), waitSlice);
    }

    [[nodiscard]] std::optional<AttemptEnd> endAt(MonoTime now) const
    {
        if (now >= m_state.request.finishDue()) {
            return AttemptEnd::DeadlinePassed;
        }
        return std::nullopt;
    }

    /** After a wait in which nothing came. */
    [[nodiscard]] std::optional<AttemptEnd> endAfterWait(MonoTime now)
    {
        if (m_state.answer.isGone()) {
            return AttemptEnd::CallerGone;
        }
        if (now - m_lastByteAt >= m_context.silence) {
            return AttemptEnd::Silent;
        }
        return endAt(now);
    }

private:
    RunState &m_state;
    const ReaderContext &m_context;
    MonoTime m_lastByteAt;
};

// Adds the text of a token to the answer of a caller who asked for a whole one.
bool appendText(RunState &state, std::string_view data)
{
    const auto json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object() || !json.contains("text") || !json["text"].is_string()) {
        return false;
    }
    state.assembled += json["text"].get_ref<const std::string &>();
    return true;
}

void noteToken(RunState &state, const ReaderContext &context, MonoTime now)
{
    if (!state.firstTokenAt) {
        state.firstTokenAt = now;
        context.onFirstToken();
    } else {
        state.gaps.add(now - state.lastTokenAt);
    }
    state.lastTokenAt = now;
    state.idleResumes = 0;
}

// Events that arrived together leave in one write.
struct Batch
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
    [[nodiscard]] bool isAdjacent(std::string_view event) const
    {
        return bytes.empty() || bytes.data() + bytes.size() == event.data();
    }
};

bool flush(RunState &state, Batch &batch)
{
    if (batch.bytes.empty()) {
        return true;
    }
    const bool isSent = state.answer.writeStream(batch.bytes);
    batch.bytes = {};
    return isSent;
}

// Takes in one event; empty where the stream goes on.
std::optional<AttemptEnd> takeEvent(
    RunState &state, const ReaderContext &context, const streaming::StreamEvent &event, Batch &batch, MonoTime now)
{
    using streaming::EventDisposition;
    switch (state.cursor.accept(event)) {
    case EventDisposition::Forward:
        noteToken(state, context, now);
        if (!state.request.wantsStream) {
            return appendText(state, event.data) ? std::nullopt : std::optional(AttemptEnd::WrongAnswer);
        }
        if (!batch.isAdjacent(event.raw) && !flush(state, batch)) {
            return AttemptEnd::CallerGone;
        }
        batch.add(event.raw);
        return std::nullopt;
    case EventDisposition::Done:
        if (state.request.wantsStream) {
            if (!batch.isAdjacent(event.raw) && !flush(state, batch)) {
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
    Patience patience(state, context);
    while (true) {
        MonoTime now = context.clock.monotonicNow();
        if (const auto end = patience.endAt(now)) {
            return *end;
        }
        switch (upstream.awaitHead(patience.nextWait(now))) {
        case ReceiveState::Data:
            return AttemptEnd::Whole;
        case ReceiveState::Waiting:
            now = context.clock.monotonicNow();
            if (const auto end = patience.endAfterWait(now)) {
                return *end;
            }
            break;
        case ReceiveState::End:
        case ReceiveState::Broken:
            return AttemptEnd::Broken;
        }
    }
}

AttemptEnd passStreamOn(upstreams::IUpstreamAnswer &upstream, RunState &state, const ReaderContext &context)
{
    Patience patience(state, context);
    streaming::EventSplitter splitter;
    while (true) {
        MonoTime now = context.clock.monotonicNow();
        if (const auto end = patience.endAt(now)) {
            return *end;
        }
        const upstreams::ReceiveResult received = upstream.receive(patience.nextWait(now));
        now = context.clock.monotonicNow();
        if (received.state == ReceiveState::Waiting) {
            if (const auto end = patience.endAfterWait(now)) {
                return *end;
            }
            continue;
        }
        if (received.state != ReceiveState::Data) {
            return AttemptEnd::Broken;
        }
        patience.noteBytes(now);
        splitter.feed(received.bytes);
        Batch batch;
        std::optional<AttemptEnd> end;
        while (!end) {
            const auto event = splitter.next();
            if (!event) {
                break;
            }
            end = takeEvent(state, context, *event, batch, now);
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

AttemptEnd readWhole(upstreams::IUpstreamAnswer &upstream, RunState &state, const ReaderContext &context,
    std::size_t maxBytes, std::string &body)
{
    Patience patience(state, context);
    while (true) {
        MonoTime now = context.clock.monotonicNow();
        if (const auto end = patience.endAt(now)) {
            return *end;
        }
        const upstreams::ReceiveResult received = upstream.receive(patience.nextWait(now));
        now = context.clock.monotonicNow();
        switch (received.state) {
        case ReceiveState::Data:
            patience.noteBytes(now);
            body += received.bytes;
            if (body.size() > maxBytes) {
                return AttemptEnd::WrongAnswer;
            }
            break;
        case ReceiveState::Waiting:
            if (const auto end = patience.endAfterWait(now)) {
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

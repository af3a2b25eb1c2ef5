// Fake engines for tests of the runner.
#include "entry/tests/fakeupstreams.h"

#include <algorithm>

namespace magnolia::entry::testing
{

class FakeAnswer : public upstreams::IUpstreamAnswer
{
public:
    FakeAnswer(FakeUpstreams &upstreams, int status, std::string request, std::uint64_t from)
        : m_upstreams(upstreams)
        , m_status(status)
        , m_request(std::move(request))
        , m_next(from)
    {
    }

    void setLeaving()
    {
        m_isLeaving = true;
    }
    [[nodiscard]] int status() const override
    {
        return m_status;
    }
    [[nodiscard]] std::string header(const std::string &name) const override
    {
        if (name == "X-Leaving") {
            return m_isLeaving ? "1" : "";
        }
        return name == "X-Request-Id" ? m_request : "";
    }
    [[nodiscard]] upstreams::ReceiveState awaitHead(Milliseconds wait) override
    {
        return advanceClock(wait) ? upstreams::ReceiveState::Data : upstreams::ReceiveState::Waiting;
    }
    [[nodiscard]] upstreams::ReceiveResult receive(Milliseconds wait) override
    {
        Random &random = m_upstreams.m_random;
        if (!advanceClock(wait)) {
            return {upstreams::ReceiveState::Waiting, {}};
        }
        if (random.chance(m_upstreams.m_rates.breaks)) {
            return {upstreams::ReceiveState::Broken, {}};
        }
        if (m_pendingCalls.empty()) {
            if (m_isDone) {
                return {upstreams::ReceiveState::End, {}};
            }
            addEvent();
        }
        // Bytes arrive in chunks of random size.
        const std::size_t n = std::min<std::size_t>(m_pendingCalls.size(), 1 + random.below(120));
        m_lastChunk = m_pendingCalls.substr(0, n);
        m_pendingCalls.erase(0, n);
        return {upstreams::ReceiveState::Data, m_lastChunk};
    }

private:
    // Advances the clock. Returns false if nothing arrives during the wait.
    bool advanceClock(Milliseconds wait)
    {
        Random &random = m_upstreams.m_random;
        m_isSilent = m_isSilent || random.chance(m_upstreams.m_rates.silent);
        if (random.chance(m_upstreams.m_rates.processPauses)) {
            m_upstreams.m_journal.paused = Seconds(60);
            m_upstreams.m_clock.advance(Seconds(60));
        }
        if (m_isSilent) {
            m_upstreams.m_clock.advance(wait);
            return false;
        }
        m_upstreams.m_clock.advance(std::min(wait, Milliseconds(random.below(40))));
        return true;
    }
    void addEvent()
    {
        Random &random = m_upstreams.m_random;
        if (m_next >= m_upstreams.m_tokens) {
            m_pendingCalls += "data: [DONE]\n\n";
            m_isDone = true;
            return;
        }
        if (random.chance(m_upstreams.m_rates.foreignEvent)) {
            m_pendingCalls += FakeUpstreams::event("another-request", m_next);
        }
        if (random.chance(m_upstreams.m_rates.repeatedEvent) && m_next > 0) {
            m_pendingCalls += FakeUpstreams::event(m_request, random.below(m_next));
        }
        if (random.chance(m_upstreams.m_rates.skippedToken)) {
            ++m_next;
        }
        m_pendingCalls += FakeUpstreams::event(m_request, m_next);
        ++m_next;
    }

    FakeUpstreams &m_upstreams;
    int m_status;
    std::string m_request;
    std::uint64_t m_next;
    std::string m_pendingCalls;
    std::string m_lastChunk;
    bool m_isLeaving = false;
    bool m_isSilent = false;
    bool m_isDone = false;
};

Result<std::unique_ptr<upstreams::IUpstreamAnswer>> FakeUpstreams::send(
    const upstreams::UpstreamCall &call, const std::function<Result<void>()> &mayDispatch)
{
    if (m_random.chance(m_rates.connectFails)) {
        m_clock.advance(std::min(call.connectTimeout, Milliseconds(m_random.below(1000))));
        return makeError(ResultCode::UpstreamConnectFailed, "");
    }
    if (auto allowed = mayDispatch(); !allowed) {
        return tl::unexpected(allowed.error());
    }
    const auto key = std::pair(call.address, call.request.value());
    if (call.method == "DELETE") {
        m_held.erase(key);
        return std::make_unique<FakeAnswer>(*this, 200, call.request.value(), 0);
    }
    if (call.method == "GET") {
        const std::uint64_t from = std::stoull(call.path.substr(call.path.rfind('=') + 1));
        const bool isHeld = m_held.contains(key) && !m_random.chance(m_rates.forgetsStream);
        return std::make_unique<FakeAnswer>(*this, isHeld ? 200 : 404, call.request.value(), from);
    }
    if (m_random.chance(m_rates.leaves)) {
        auto answer = std::make_unique<FakeAnswer>(*this, 503, call.request.value(), 0);
        answer->setLeaving();
        return answer;
    }
    if (m_random.chance(m_rates.refuses)) {
        return std::make_unique<FakeAnswer>(*this, 503, call.request.value(), 0);
    }
    ++m_journal.executed;
    m_held.insert(key);
    if (m_random.chance(m_rates.breaksOnSend)) {
        return tl::unexpected(Error{ResultCode::UpstreamBroken, "", Outcome::Unknown});
    }
    std::uint64_t from = 0;
    for (const auto &[name, value] : call.headers) {
        from = name == "X-Resume-From" ? std::stoull(value) : from;
    }
    return std::make_unique<FakeAnswer>(*this, 200, call.request.value(), from);
}

} // namespace magnolia::entry::testing

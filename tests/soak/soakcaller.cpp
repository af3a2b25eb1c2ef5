// Generates requests of all kinds and records their outcomes.
#include "soakcaller.h"

#include "framework/httpwire/messagereader.h"
#include "framework/httpwire/messagewriter.h"

namespace magnolia::soak
{

namespace
{

constexpr Milliseconds requestTimeout{8000};
constexpr Milliseconds maxPause{60};
/** Probability that a caller sends its next request on its open connection. */
constexpr double connectionReuseProbability = 0.85;
constexpr double abandonProbability = 0.03;
/** Share of the requests of a kind that crash their upstreams while such a fault is active. */
constexpr double crashingProbability = 0.15;
constexpr std::size_t maxHeadSize = 64 * 1024;

} // namespace

SoakCaller::SoakCaller(Environment &environment, int number)
    : m_environment(environment)
    , m_number(number)
{
}

void SoakCaller::start()
{
    scheduleNext();
}

void SoakCaller::stop()
{
    m_isStopped = true;
}

bool SoakCaller::isBusy() const
{
    return m_record != nullptr;
}

void SoakCaller::scheduleNext(Milliseconds minPause)
{
    const Milliseconds pause
        = minPause + Milliseconds(m_environment.random.below(static_cast<std::uint64_t>(maxPause.count())));
    m_environment.loop.after(pause + Milliseconds(1), [self = shared_from_this()] {
        if (!self->m_isStopped) {
            self->beginRequest();
        }
    });
}

void SoakCaller::beginRequest()
{
    if (m_stream && m_stream->isOpen() && m_environment.random.chance(connectionReuseProbability)) {
        onConnected();
        return;
    }
    closeConnection();
    m_address = m_environment.chooseAddress();
    if (m_address.empty()) {
        scheduleNext();
        return;
    }
    m_stream = eventloop::TcpStream::connect(m_environment.loop, m_address, *this, {});
}

std::string SoakCaller::makeRequest(RequestRecord &record)
{
    Random &random = m_environment.random;
    httpwire::RequestHead head;
    head.method = "POST";
    const std::uint64_t draw = random.below(100);
    int tokens = 500 + static_cast<int>(random.below(4000));
    constexpr std::uint64_t streamBound = 50;
    constexpr std::uint64_t atMostOnceBound = 70;
    constexpr std::uint64_t idempotentBound = 85;
    if (draw < streamBound) {
        record.kind = RequestKind::Stream;
        record.expectedEvents = 3 + static_cast<int>(random.below(25));
        head.target = "/stream/x?n=" + std::to_string(record.expectedEvents);
        // 4 % of all requests exceed the KV memory of one engine.
        constexpr int oversizedPromptTokens = 150'000;
        tokens = draw < 4 ? oversizedPromptTokens : tokens;
    } else if (draw < atMostOnceBound) {
        record.kind = RequestKind::AtMostOnce;
        head.target = "/once/x";
    } else if (draw < idempotentBound) {
        record.kind = RequestKind::Idempotent;
        head.target = "/safe/x";
    } else {
        record.kind = RequestKind::Versioned;
        head.target = "/versioned/x";
    }
    std::string body(random.below(3000), 'b');
    if (!m_environment.crashingBody.empty() && record.kind == RequestKind::Idempotent
        && random.chance(crashingProbability)) {
        body = m_environment.crashingBody;
    }
    head.fields.add("Host", "soak.example");
    head.fields.add("Request-Id", record.id);
    head.fields.add("Deadline-Ms", std::to_string(requestTimeout.count()));
    head.fields.add("Authorization", "Token key");
    if (record.kind == RequestKind::Stream) {
        head.fields.add("Model", "m");
        head.fields.add("Token-Usage", std::to_string(tokens) + ",400");
        const bool isCrashing = !m_environment.crashingPart.empty() && random.chance(crashingProbability);
        head.fields.add("Prompt-Prefix",
            "first:40," + (isCrashing ? m_environment.crashingPart + ":100," : std::string()) + "own-" + record.id
                + ":100");
    }
    head.fields.add("Content-Length", std::to_string(body.size()));
    return httpwire::writeRequestHead(head) + body;
}

void SoakCaller::onConnected()
{
    const std::string id = "c" + std::to_string(m_number) + '-' + std::to_string(++m_requestCount);
    m_record = &m_environment.ledger.record(id);
    m_record->process = m_environment.processAt(m_address);
    m_record->sentAt = m_environment.loop.now();
    m_isHeadRead = false;
    m_stream->write(makeRequest(*m_record));
    const auto abandon = [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->m_record != nullptr) {
            self->finish(false, true);
        }
    };
    m_deadlineTimer = m_environment.loop.after(requestTimeout, abandon);
    if (m_environment.random.chance(abandonProbability)) {
        m_abandonTimer = m_environment.loop.after(Milliseconds(m_environment.random.below(200)), abandon);
    }
}

void SoakCaller::onInput()
{
    if (m_record == nullptr) {
        // No request is open on this connection.
        m_environment.ledger.addViolation(
            "right caller", "c" + std::to_string(m_number), "received bytes without an open request");
        closeConnection();
        return;
    }
    std::string &input = m_stream->input();
    if (!m_isHeadRead) {
        const auto read = httpwire::readResponseHead(input, maxHeadSize, m_head);
        if (read == httpwire::ReadState::Incomplete) {
            return;
        }
        const auto body = httpwire::responseBodyDecoder(m_head, "POST");
        if (read != httpwire::ReadState::Complete || !body) {
            m_environment.ledger.addViolation("whole answer", m_record->id, "the response head is malformed");
            finish(false, false);
            return;
        }
        m_isHeadRead = true;
        m_bodyDecoder = *body;
        m_record->status = m_head.status;
        m_record->echoedRequestId = m_head.fields.value("Request-Id");
        m_record->signature = m_head.fields.value("Response-Signature");
        m_record->hasRetryAfter = m_head.fields.has("Retry-After");
    }
    m_bodyDecoder.decode(input, m_record->body);
    if (m_bodyDecoder.isMalformed()) {
        m_environment.ledger.addViolation(
            "whole answer", m_record->id, "the framing of the response body is malformed");
        finish(false, false);
    } else if (m_bodyDecoder.isComplete()) {
        finish(true, false);
    }
}

void SoakCaller::onEnd(eventloop::StreamEnd /*end*/)
{
    const auto self = shared_from_this();
    if (m_record != nullptr) {
        finish(false, false);
        return;
    }
    const bool wasConnecting = m_stream && !m_stream->isConnected();
    closeConnection();
    if (wasConnecting) {
        scheduleNext();
    }
}

void SoakCaller::finish(bool isComplete, bool isAbandoned)
{
    m_environment.loop.cancel(m_deadlineTimer);
    m_environment.loop.cancel(m_abandonTimer);
    const double retrySeconds = std::atof(std::string(m_head.fields.value("Retry-After")).c_str());
    m_record->isComplete = isComplete;
    m_record->isAbandoned = isAbandoned;
    m_record->endedAt = m_environment.loop.now();
    m_record = nullptr;
    if (!isComplete || m_head.fields.value("Connection") == "close") {
        closeConnection();
    }
    m_head = {};
    scheduleNext(Milliseconds(static_cast<std::int64_t>(retrySeconds * 1000)));
}

void SoakCaller::closeConnection()
{
    if (m_stream) {
        m_stream->close();
        m_stream.reset();
    }
}

} // namespace magnolia::soak

// Requests of all kinds, and what came of them.
#include "soakcaller.h"

#include "framework/httpwire/messagereader.h"
#include "framework/httpwire/messagewriter.h"

namespace magnolia::soak
{

namespace
{

constexpr Milliseconds deadline{8000};
constexpr Milliseconds longestPause{60};
/** Callers keep a connection for about so many requests. */
constexpr double keptShare = 0.85;
constexpr double leavingShare = 0.03;
constexpr std::size_t largestHead = 64 * 1024;

} // namespace

SoakCaller::SoakCaller(World &world, int number)
    : m_world(world)
    , m_number(number)
{
}

void SoakCaller::start()
{
    next();
}

void SoakCaller::stop()
{
    m_isStopped = true;
}

bool SoakCaller::isBusy() const
{
    return m_record != nullptr;
}

void SoakCaller::next(Milliseconds atLeast)
{
    const Milliseconds pause
        = atLeast + Milliseconds(m_world.random.below(static_cast<std::uint64_t>(longestPause.count())));
    m_world.loop.after(pause + Milliseconds(1), [self = shared_from_this()] {
        if (!self->m_isStopped) {
            self->ask();
        }
    });
}

void SoakCaller::ask()
{
    if (m_stream && m_stream->isOpen() && m_world.random.chance(keptShare)) {
        onConnected();
        return;
    }
    drop();
    m_address = m_world.chooseAddress();
    if (m_address.empty()) {
        next();
        return;
    }
    m_stream = eventloop::TcpStream::connect(m_world.loop, m_address, *this, {});
}

std::string SoakCaller::makeRequest(Record &record)
{
    Random &random = m_world.random;
    httpwire::RequestHead head;
    head.method = "POST";
    const std::uint64_t draw = random.below(100);
    int tokens = 500 + static_cast<int>(random.below(4000));
    constexpr std::uint64_t streams = 50;
    constexpr std::uint64_t once = 70;
    constexpr std::uint64_t idempotent = 85;
    if (draw < streams) {
        record.kind = WorkKind::Stream;
        record.eventsExpected = 3 + static_cast<int>(random.below(25));
        head.target = "/stream/x?n=" + std::to_string(record.eventsExpected);
        // Some are beyond the memory of one engine.
        constexpr int largeTokens = 150'000;
        tokens = draw < 4 ? largeTokens : tokens;
    } else if (draw < once) {
        record.kind = WorkKind::AtMostOnce;
        head.target = "/once/x";
    } else if (draw < idempotent) {
        record.kind = WorkKind::Idempotent;
        head.target = "/safe/x";
    } else {
        record.kind = WorkKind::Versioned;
        head.target = "/versioned/x";
    }
    const std::string body(random.below(3000), 'b');
    head.fields.add("Host", "soak.example");
    head.fields.add("Request-Id", record.id);
    head.fields.add("Deadline-Ms", std::to_string(deadline.count()));
    head.fields.add("Authorization", "Token key");
    if (record.kind == WorkKind::Stream) {
        head.fields.add("Model", "m");
        head.fields.add("Token-Usage", std::to_string(tokens) + ",400");
    }
    head.fields.add("Content-Length", std::to_string(body.size()));
    return httpwire::writeRequestHead(head) + body;
}

void SoakCaller::onConnected()
{
    const std::string id = "c" + std::to_string(m_number) + '-' + std::to_string(++m_requests);
    m_record = &m_world.ledger.record(id);
    m_record->process = m_world.processAt(m_address);
    m_record->sentAt = m_world.loop.now();
    m_isHeadRead = false;
    m_stream->write(makeRequest(*m_record));
    const auto leave = [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->m_record != nullptr) {
            self->finish(false, true);
        }
    };
    m_deadline = m_world.loop.after(deadline, leave);
    if (m_world.random.chance(leavingShare)) {
        m_leaving = m_world.loop.after(Milliseconds(m_world.random.below(200)), leave);
    }
}

void SoakCaller::onInput()
{
    if (m_record == nullptr) {
        // Bytes that nobody asked for.
        m_world.ledger.add("right caller", "c" + std::to_string(m_number), "bytes without a request");
        drop();
        return;
    }
    std::string &input = m_stream->input();
    if (!m_isHeadRead) {
        const auto read = httpwire::readResponseHead(input, largestHead, m_head);
        if (read == httpwire::ReadState::Incomplete) {
            return;
        }
        const auto body = httpwire::responseBodyDecoder(m_head, "POST");
        if (read != httpwire::ReadState::Complete || !body) {
            m_world.ledger.add("whole answer", m_record->id, "the head of the answer is malformed");
            finish(false, false);
            return;
        }
        m_isHeadRead = true;
        m_body = *body;
        m_record->status = m_head.status;
        m_record->echoedId = m_head.fields.value("Request-Id");
        m_record->signature = m_head.fields.value("Response-Signature");
        m_record->hasRetryAfter = m_head.fields.has("Retry-After");
    }
    m_body.decode(input, m_record->body);
    if (m_body.isMalformed()) {
        m_world.ledger.add("whole answer", m_record->id, "the body's framing is malformed");
        finish(false, false);
    } else if (m_body.isComplete()) {
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
    drop();
    if (wasConnecting) {
        next();
    }
}

void SoakCaller::finish(bool isComplete, bool isLeft)
{
    m_world.loop.cancel(m_deadline);
    m_world.loop.cancel(m_leaving);
    const double retrySeconds = std::atof(std::string(m_head.fields.value("Retry-After")).c_str());
    m_record->isComplete = isComplete;
    m_record->isLeft = isLeft;
    m_record->endedAt = m_world.loop.now();
    m_record = nullptr;
    if (!isComplete || m_head.fields.value("Connection") == "close") {
        drop();
    }
    m_head = {};
    next(Milliseconds(static_cast<std::int64_t>(retrySeconds * 1000)));
}

void SoakCaller::drop()
{
    if (m_stream) {
        m_stream->close();
        m_stream.reset();
    }
}

} // namespace magnolia::soak

// Schedules prefills and assigns KV memory to streams, reservations and handles.
#include "standin/enginecore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace magnolia::standin
{

namespace
{

// Prefills run in chunks, so that a more urgent prefill waits for at most one chunk.
constexpr std::uint64_t prefillChunkTokens = 4096;

MonoTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

bool isMoreUrgent(const HeldStream &a, const HeldStream &b)
{
    return std::tuple(a.request().priority, a.arrivalNumber()) < std::tuple(b.request().priority, b.arrivalNumber());
}

} // namespace

EngineCore::EngineCore(const EngineOptions &options, Faults &faults)
    : m_options(options)
    , m_faults(faults)
    , m_cache(options.prefixCacheCapacity, options.cacheEventDelay)
    , m_memory(options.kvCapacityTokens)
{
    m_sample = takeSampleLocked();
    m_prefillThread = std::thread([this] {
        runPrefills();
    });
    m_samplingThread = std::thread([this] {
        runSampling();
    });
}

EngineCore::~EngineCore()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_prefillThread.join();
    m_samplingThread.join();
}

StreamPtr EngineCore::admit(const GenerationRequest &request)
{
    const std::lock_guard lock(m_mutex);
    removeExpiredReservations();
    removeLocked(request.requestId);
    auto stream = std::make_shared<HeldStream>(request, m_nextArrivalNumber++);
    Reservation *reservation = m_memory.find(request.reservation);
    if (reservation != nullptr && reservation->usedBy.empty()) {
        reservation->usedBy = request.requestId;
    } else {
        const std::uint64_t tokens = request.promptTokens + request.endIndex;
        if (!m_memory.allocate(tokens)) {
            return nullptr;
        }
        stream->m_kvTokens = tokens;
    }
    m_streams[request.requestId] = stream;
    m_changed.notify_all();
    return stream;
}

StreamPtr EngineCore::find(const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_streams.find(requestId);
    return it == m_streams.end() ? nullptr : it->second;
}

StreamPtr EngineCore::findOther(const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = std::find_if(m_streams.begin(), m_streams.end(), [&](const auto &entry) {
        return entry.first != requestId;
    });
    return it == m_streams.end() ? nullptr : it->second;
}

std::uint64_t EngineCore::cancel(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    return removeLocked(requestId);
}

void EngineCore::complete(const StreamPtr &stream)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_streams.find(stream->request().requestId);
    if (it != m_streams.end() && it->second == stream) {
        removeLocked(stream->request().requestId);
    }
}

std::uint64_t EngineCore::removeLocked(const std::string &requestId)
{
    const auto it = m_streams.find(requestId);
    if (it == m_streams.end()) {
        return 0;
    }
    const StreamPtr stream = it->second;
    stream->cancel();
    const std::uint64_t tokens = stream->m_kvTokens;
    m_memory.deallocate(tokens);
    Reservation *reservation = m_memory.find(stream->request().reservation);
    if (reservation != nullptr && reservation->usedBy == requestId) {
        reservation->usedBy.clear();
    }
    m_streams.erase(it);
    return tokens;
}

bool EngineCore::reserve(const std::string &id, Reservation reservation)
{
    const std::lock_guard lock(m_mutex);
    removeExpiredReservations();
    return m_memory.reserve(id, std::move(reservation));
}

void EngineCore::releaseReservation(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    if (const auto reservation = m_memory.release(id)) {
        transferToStream(*reservation);
    }
}

void EngineCore::removeExpiredReservations()
{
    for (const auto &[id, reservation] : m_memory.removeExpired(monotonicNow())) {
        transferToStream(reservation);
    }
}

void EngineCore::transferToStream(const Reservation &reservation)
{
    const auto it = m_streams.find(reservation.usedBy);
    if (it == m_streams.end()) {
        m_memory.deallocate(reservation.tokens);
        return;
    }
    it->second->m_kvTokens += reservation.tokens;
}

std::optional<std::pair<std::string, std::uint64_t>> EngineCore::exportKv(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_streams.find(requestId);
    if (it == m_streams.end()) {
        return std::nullopt;
    }
    const std::uint64_t tokens = std::exchange(it->second->m_kvTokens, 0);
    removeLocked(requestId);
    const std::string handle = "kv-" + requestId + "-" + std::to_string(m_nextHandle++);
    m_memory.addHandle(handle, tokens);
    return std::pair(handle, tokens);
}

bool EngineCore::importKv(const std::string &handle, std::uint64_t tokens, const std::string &reservation)
{
    const std::lock_guard lock(m_mutex);
    removeExpiredReservations();
    if (m_memory.handleTokens(handle)) {
        return true;
    }
    const Reservation *heldReservation = m_memory.find(reservation);
    if (heldReservation != nullptr && heldReservation->usedBy.empty() && heldReservation->tokens >= tokens) {
        m_memory.release(reservation);
    }
    if (!m_memory.allocate(tokens)) {
        return false;
    }
    m_memory.addHandle(handle, tokens);
    return true;
}

std::optional<std::uint64_t> EngineCore::kvTokens(const std::string &handle) const
{
    const std::lock_guard lock(m_mutex);
    return m_memory.handleTokens(handle);
}

std::uint64_t EngineCore::removeKv(const std::string &handle)
{
    const std::lock_guard lock(m_mutex);
    return m_memory.removeHandle(handle);
}

void EngineCore::runPrefills()
{
    std::unique_lock lock(m_mutex);
    MonoTime busyUntil = monotonicNow();
    while (!m_isStopping) {
        const StreamPtr stream = mostUrgentPrefill();
        if (!stream) {
            m_changed.wait(lock);
            busyUntil = std::max(busyUntil, monotonicNow());
            continue;
        }
        const std::uint64_t chunkTokens = std::min(stream->m_remainingPrefillTokens, prefillChunkTokens);
        const auto tokensPerSecond = static_cast<double>(std::max<std::int64_t>(1, m_faults.prefillTokensPerSecond));
        const std::chrono::duration<double> chunkTime(static_cast<double>(chunkTokens) / tokensPerSecond);
        busyUntil += std::chrono::duration_cast<MonoTime::duration>(chunkTime);
        lock.unlock();
        std::this_thread::sleep_until(busyUntil);
        lock.lock();
        stream->m_remainingPrefillTokens -= chunkTokens;
        if (stream->m_remainingPrefillTokens == 0) {
            finishPrefill(stream, busyUntil);
        }
    }
}

StreamPtr EngineCore::mostUrgentPrefill() const
{
    StreamPtr mostUrgent;
    for (const auto &[id, it] : m_streams) {
        if (!it->hasStartedDecode() && (!mostUrgent || isMoreUrgent(*it, *mostUrgent))) {
            mostUrgent = it;
        }
    }
    return mostUrgent;
}

void EngineCore::finishPrefill(const StreamPtr &stream, MonoTime time)
{
    m_cache.touch(stream->request().prefixHash, time);
    stream->startDecode(time, Milliseconds(m_faults.tokenIntervalMs));
}

void EngineCore::runSampling()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const MonoTime end = monotonicNow() + m_options.loadSampleInterval;
        while (!m_isStopping && monotonicNow() < end) {
            m_changed.wait_until(lock, end);
        }
        removeExpiredReservations();
        m_sample = takeSampleLocked();
    }
}

EngineCore::LoadSample EngineCore::takeSampleLocked() const
{
    LoadSample sample;
    sample.time = monotonicNow();
    sample.freeKvTokens = m_memory.freeTokens();
    for (const auto &[id, it] : m_streams) {
        if (!it->hasStartedDecode()) {
            ++sample.waiting;
            sample.queuedPrefillTokens += it->m_remainingPrefillTokens;
        } else if (!it->isFinished(sample.time)) {
            ++sample.running;
        }
    }
    return sample;
}

nlohmann::json EngineCore::loadToJson() const
{
    const std::lock_guard lock(m_mutex);
    return {{"running", m_sample.running}, {"waiting", m_sample.waiting},
        {"queued_prefill_tokens", m_sample.queuedPrefillTokens}, {"free_memory_tokens", m_sample.freeKvTokens},
        {"memory_tokens", m_memory.capacity()},
        {"measured_ago_ms", toMilliseconds(monotonicNow() - m_sample.time).count()},
        {"leaving", m_faults.isLeaving.load()}};
}

nlohmann::json EngineCore::streamsToJson() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[id, it] : m_streams) {
        rows.push_back({{"request_id", id}, {"owner", it->request().owner}, {"memory_tokens", it->m_kvTokens}});
    }
    return {{"streams", std::move(rows)}};
}

nlohmann::json EngineCore::reservationsToJson()
{
    const std::lock_guard lock(m_mutex);
    removeExpiredReservations();
    return m_memory.reservationsToJson(monotonicNow());
}

nlohmann::json EngineCore::cacheEvents(std::uint64_t after) const
{
    return m_cache.eventsAfter(after, monotonicNow());
}

} // namespace magnolia::standin

// State of a simulated model engine: held streams, prefill queue, KV memory and load reports.
#pragma once

#include "standin/enginememory.h"
#include "standin/faults.h"
#include "standin/heldstream.h"
#include "standin/prefixcache.h"

#include <nlohmann/json_fwd.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace magnolia::standin
{

struct EngineOptions
{
    std::uint64_t kvCapacityTokens = 4'000'000;
    Milliseconds loadSampleInterval{200};
    Milliseconds cacheEventDelay{1000};
    std::size_t prefixCacheCapacity = 64;
    bool checksFencing = false;
    Milliseconds modelLoadTime{500};
    std::string model = "m-large";
};

using StreamPtr = std::shared_ptr<HeldStream>;

class EngineCore
{
public:
    EngineCore(const EngineOptions &options, Faults &faults);
    ~EngineCore();

    EngineCore(const EngineCore &) = delete;
    EngineCore &operator=(const EngineCore &) = delete;

    /** Replaces any held stream of this request id and queues the prefill of a new one; null if KV memory is short. */
    [[nodiscard]] StreamPtr admit(const GenerationRequest &request);
    [[nodiscard]] StreamPtr find(const std::string &requestId) const;
    /** Returns any held stream except that of `requestId`, for the fault `cross_answers`; null if there is none. */
    [[nodiscard]] StreamPtr findOther(const std::string &requestId) const;
    /** Cancels the stream and frees its KV memory. Returns the number of tokens freed. */
    std::uint64_t cancel(const std::string &requestId);
    /** Removes a stream that was delivered completely. */
    void complete(const StreamPtr &stream);

    [[nodiscard]] bool reserve(const std::string &id, Reservation reservation);
    void releaseReservation(const std::string &id);
    /** Ends the stream and keeps its KV under a new handle. Returns handle and tokens; nothing if it is not held. */
    [[nodiscard]] std::optional<std::pair<std::string, std::uint64_t>> exportKv(const std::string &requestId);
    /** Allocates memory for imported KV, in place of the reservation if that is large enough and unused. Returns false
     * if KV memory is short. */
    [[nodiscard]] bool importKv(const std::string &handle, std::uint64_t tokens, const std::string &reservation);
    [[nodiscard]] std::optional<std::uint64_t> kvTokens(const std::string &handle) const;
    std::uint64_t removeKv(const std::string &handle);

    [[nodiscard]] nlohmann::json streamsToJson() const;
    [[nodiscard]] nlohmann::json reservationsToJson();
    [[nodiscard]] nlohmann::json cacheEvents(std::uint64_t after) const;
    /** Returns the latest load sample, which may be older than the current state. */
    [[nodiscard]] nlohmann::json loadToJson() const;

private:
    struct LoadSample
    {
        std::uint64_t running = 0;
        std::uint64_t waiting = 0;
        std::uint64_t queuedPrefillTokens = 0;
        std::uint64_t freeKvTokens = 0;
        MonoTime time{};
    };

    void runPrefills();
    void runSampling();
    [[nodiscard]] StreamPtr mostUrgentPrefill() const;
    void finishPrefill(const StreamPtr &stream, MonoTime time);
    std::uint64_t removeLocked(const std::string &requestId);
    void removeExpiredReservations();
    void transferToStream(const Reservation &reservation);
    [[nodiscard]] LoadSample takeSampleLocked() const;

    const EngineOptions m_options;
    Faults &m_faults;
    PrefixCache m_cache;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    EngineMemory m_memory;
    // Invariant: the memory of a stream is allocated from m_memory or covered by the reservation that it names.
    std::map<std::string, StreamPtr> m_streams;
    LoadSample m_sample;
    std::uint64_t m_nextArrivalNumber = 0;
    std::uint64_t m_nextHandle = 1;
    bool m_isStopping = false;
    std::thread m_prefillThread;
    std::thread m_samplingThread;
};

} // namespace magnolia::standin

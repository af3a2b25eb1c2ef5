// A stream that an engine holds, and the times at which its tokens become available.
#pragma once

#include "framework/global/types/time.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace magnolia::standin
{

/** Parameters of a generation, as sent by the caller. */
struct GenerationRequest
{
    std::string requestId;
    std::string owner;
    std::string reservation;
    std::uint64_t promptHash = 0;
    std::uint64_t prefixHash = 0;
    std::uint64_t promptTokens = 0;
    /** Index of the first token to generate. */
    std::uint64_t firstIndex = 0;
    /** One past the index of the last token. */
    std::uint64_t endIndex = 0;
    /** Lower values are more urgent. */
    std::int64_t priority = 0;
};

/**
 * Token i becomes available (i - firstIndex) intervals after the end of the prefill. As the times are computed, the
 * generation continues while no caller reads and needs no thread.
 */
class HeldStream
{
public:
    HeldStream(GenerationRequest request, std::uint64_t arrivalNumber)
        : m_request(std::move(request))
        , m_arrivalNumber(arrivalNumber)
    {
        // A resumed generation also prefills the tokens that were generated before.
        m_remainingPrefillTokens = m_request.promptTokens + m_request.firstIndex;
    }

    [[nodiscard]] const GenerationRequest &request() const
    {
        return m_request;
    }
    /** Position in the order of arrival at the engine. */
    [[nodiscard]] std::uint64_t arrivalNumber() const
    {
        return m_arrivalNumber;
    }

    /** Starts the decode, with the first token available at `firstTokenAt`. */
    void startDecode(MonoTime firstTokenAt, Milliseconds interval);
    void cancel();
    [[nodiscard]] bool isCancelled() const;
    [[nodiscard]] bool hasStartedDecode() const;
    [[nodiscard]] bool isFinished(MonoTime now) const;
    /** Blocks until the token is available. Returns false if the stream is cancelled. */
    [[nodiscard]] bool waitForToken(std::uint64_t index);

    // Protected by the mutex of EngineCore, not by m_mutex.
    std::uint64_t m_kvTokens = 0;
    std::uint64_t m_remainingPrefillTokens = 0;

private:
    [[nodiscard]] MonoTime tokenAvailableAt(std::uint64_t index) const;

    const GenerationRequest m_request;
    const std::uint64_t m_arrivalNumber;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<MonoTime> m_firstTokenAt;
    Milliseconds m_interval{0};
    bool m_isCancelled = false;
};

/** Returns the text of token `index`, which depends only on prompt and index, so that any engine can continue. */
[[nodiscard]] std::string tokenText(std::uint64_t promptHash, std::uint64_t index);

} // namespace magnolia::standin

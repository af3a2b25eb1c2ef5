// Implements the model of a restart in steps of one millisecond.
#include "restartmodel.h"

#include "fleet/startupfetch.h"
#include "published/startupreadschedule.h"

#include <algorithm>
#include <optional>

namespace magnolia::gateway::tests
{

namespace
{

constexpr MonoTime start = MonoTime{} + std::chrono::hours(1);
constexpr Milliseconds maxTime{60'000};
constexpr std::size_t dataCentres = 3;
/** Two round trips: connection and first byte. */
constexpr int handshakeMs = 5;
/** Time of an instance with an eighth of a core to decode a state of 100 KB. */
constexpr int decodeMs = 5;
/** Size of a full-state message with its headers. */
constexpr double announcementBytes = 280;
/** Size of the message that the store answers, with its headers. */
constexpr double newsBytes = 120;
/** An instance knows the others from its seeds and their answers after this time. */
constexpr int fleetKnownMs = 60;
constexpr double datagramLoss = 0.01;
constexpr Milliseconds silenceTimeout{2000};

struct Instance
{
    published::StartupReadSchedule schedule;
    bool hasStoreAnswer = false;
    /** Bytes of a store answer that are still to come. */
    std::optional<double> storeBytesLeft;
    int storeBytesBeginAt = 0;
    /** Bytes of a snapshot that are still to come, and its sender. */
    std::optional<double> fetchBytesLeft;
    int fetchBeginsAt = 0;
    std::size_t source = 0;
    std::optional<int> hasStateAt;
    std::optional<int> readyAt;
    int nextLookAt = -1;
    /** Announcements that are waiting in the link. */
    double outputQueue = 0;
    double inputQueue = 0;
    std::size_t transfers = 0;
    int earliestFetchAt = 0;
    // Previous build: end of the open call and the delay after it.
    int callEndsAt = 0;
    int retryDelayMs = 0;
};

class RestartModel
{
public:
    explicit RestartModel(const RestartParameters &parameters)
        : m_parameters(parameters)
        , m_random(parameters.seed)
        , m_instances(parameters.instances)
        , m_knownAt(parameters.instances, std::vector<int>(parameters.instances, -1))
    {
    }

    RestartResult run()
    {
        for (m_now = 0; m_now < maxTime.count() && m_answeredCount < m_instances.size(); ++m_now) {
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                callStore(i);
                lookForSource(i);
            }
            transfer();
        }
        RestartResult result = m_result;
        for (const Instance &it : m_instances) {
            result.readyAt.emplace_back(it.readyAt.value_or(static_cast<int>(maxTime.count())));
        }
        std::size_t first = 0;
        for (std::size_t i = 0; i < m_calls.size(); ++i) {
            while (m_calls[i] - m_calls[first] >= 1000) {
                ++first;
            }
            result.maxStoreCallsPerSecond = std::max(result.maxStoreCallsPerSecond, i - first + 1);
        }
        result.storeCalls = m_calls.size();
        return result;
    }

private:
    [[nodiscard]] MonoTime now() const
    {
        return start + Milliseconds(m_now);
    }

    [[nodiscard]] bool isStoreBack() const
    {
        return m_now >= m_parameters.outage.count();
    }

    void recordCall()
    {
        m_calls.push_back(m_now);
        m_result.callsDuringOutage += isStoreBack() ? 0 : 1;
    }

    /** Begins a call if one is due; returns whether it will be answered. */
    [[nodiscard]] bool isAnswered()
    {
        return isStoreBack() && !(m_parameters.fault == StoreFault::LosesAnswers && m_random.chance(0.2));
    }

    void callStore(std::size_t index)
    {
        Instance &self = m_instances[index];
        if (self.hasStoreAnswer || self.storeBytesLeft) {
            return;
        }
        if (m_parameters.isPreviousBuild) {
            callStoreAsBefore(self);
            return;
        }
        const std::size_t known
            = m_now < fleetKnownMs ? std::min<std::size_t>(4, m_instances.size()) : m_instances.size();
        if (now() < self.schedule.dueAt(known, now())) {
            return;
        }
        recordCall();
        self.schedule.onAttempt(now(), m_random);
        if (isAnswered()) {
            self.storeBytesLeft = m_parameters.stateBytes;
            self.storeBytesBeginAt = m_now + handshakeMs;
        }
    }

    /** One call at a time, with a time limit of 2 s and delays that double from 150 to 800 ms. */
    void callStoreAsBefore(Instance &self)
    {
        if (m_now < self.callEndsAt) {
            return;
        }
        recordCall();
        if (isAnswered()) {
            self.storeBytesLeft = m_parameters.stateBytes;
            self.storeBytesBeginAt = m_now + handshakeMs;
            return;
        }
        const int delay = std::max(150, self.retryDelayMs);
        self.retryDelayMs = std::min(delay * 2, 800);
        const bool isFast = m_parameters.fault == StoreFault::Busy || m_parameters.fault == StoreFault::Resets;
        self.callEndsAt = m_now + (isFast ? handshakeMs : static_cast<int>(silenceTimeout.count())) + delay
            + static_cast<int>(m_random.below(static_cast<std::uint64_t>(delay) + 1));
    }

    void lookForSource(std::size_t index)
    {
        Instance &self = m_instances[index];
        if (self.hasStateAt || self.fetchBytesLeft || self.storeBytesLeft || m_now < self.earliestFetchAt
            || m_now < self.nextLookAt) {
            return;
        }
        std::vector<std::size_t> near;
        std::vector<std::size_t> all;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (m_knownAt[index][i] >= 0 && m_knownAt[index][i] <= m_now) {
                all.push_back(i);
                if (i % dataCentres == index % dataCentres) {
                    near.push_back(i);
                }
            }
        }
        if (all.empty()) {
            return;
        }
        if (!m_parameters.isPreviousBuild) {
            const bool isFirstLook = self.nextLookAt < 0;
            self.nextLookAt = m_now + static_cast<int>(fleet::startupLookDelay(m_random).count());
            if (isFirstLook) {
                self.nextLookAt = m_now + static_cast<int>(m_random.below(fleet::startupLookInterval.count()));
                return;
            }
            if (!m_random.chance(fleet::startupFetchShare({all.size(), m_instances.size() - all.size()}))) {
                return;
            }
        }
        const auto &candidates = near.empty() ? all : near;
        const std::size_t source = candidates[m_random.below(candidates.size())];
        if (m_instances[source].transfers >= fleet::maxConcurrentSnapshots) {
            ++m_result.refusedTransfers;
            self.earliestFetchAt = m_now + handshakeMs + (m_parameters.isPreviousBuild ? 120 : 0);
            return;
        }
        ++m_result.transfers;
        ++m_instances[source].transfers;
        self.source = source;
        self.fetchBytesLeft = m_parameters.stateBytes;
        self.fetchBeginsAt = m_now + handshakeMs;
    }

    /** Moves the bytes of one millisecond over all links; each link is shared evenly. */
    void transfer()
    {
        std::size_t storeReceivers = 0;
        for (const Instance &it : m_instances) {
            storeReceivers += it.storeBytesLeft && m_now >= it.storeBytesBeginAt ? 1 : 0;
        }
        std::vector<double> outputs(m_instances.size());
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            Instance &it = m_instances[i];
            const double queued = std::min(it.outputQueue, m_parameters.linkBytesPerMs);
            it.outputQueue -= queued;
            outputs[i]
                = (m_parameters.linkBytesPerMs - queued) / static_cast<double>(std::max<std::size_t>(1, it.transfers));
        }
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            Instance &it = m_instances[i];
            const double queued = std::min(it.inputQueue, m_parameters.linkBytesPerMs);
            it.inputQueue -= queued;
            double input = m_parameters.linkBytesPerMs - queued;
            const bool isReading = it.storeBytesLeft && m_now >= it.storeBytesBeginAt;
            const bool isFetching = it.fetchBytesLeft && m_now >= it.fetchBeginsAt;
            if (isReading && isFetching) {
                input /= 2;
            }
            if (isReading) {
                *it.storeBytesLeft
                    -= std::min(input, m_parameters.storeBytesPerMs / static_cast<double>(storeReceivers));
                if (*it.storeBytesLeft <= 0) {
                    it.storeBytesLeft.reset();
                    it.hasStoreAnswer = true;
                    ++m_answeredCount;
                    receiveState(i);
                }
            }
            if (isFetching) {
                *it.fetchBytesLeft -= std::min(input, outputs[it.source]);
                if (*it.fetchBytesLeft <= 0) {
                    it.fetchBytesLeft.reset();
                    --m_instances[it.source].transfers;
                    receiveState(i);
                }
            }
        }
    }

    void receiveState(std::size_t index)
    {
        Instance &self = m_instances[index];
        if (self.hasStateAt) {
            return;
        }
        self.hasStateAt = m_now;
        self.readyAt = m_now + decodeMs;
        const bool isOfStore = self.hasStoreAnswer;
        self.outputQueue += announcementBytes * static_cast<double>(m_instances.size());
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (i == index || m_random.chance(datagramLoss)) {
                continue;
            }
            // Messages leave one after the other.
            const int queueMs
                = static_cast<int>(announcementBytes * static_cast<double>(i) / m_parameters.linkBytesPerMs);
            m_knownAt[i][index] = *self.readyAt + queueMs + 1 + static_cast<int>(m_random.below(3));
            m_instances[i].inputQueue += announcementBytes;
            // The first instance with an answer tells all others that the store answers.
            if (isOfStore && !m_parameters.isPreviousBuild && !m_hasNews) {
                const int newsMs = static_cast<int>(newsBytes * static_cast<double>(i) / m_parameters.linkBytesPerMs);
                const MonoTime heardAt = start + Milliseconds(m_now + newsMs + 2);
                (void)m_instances[i].schedule.onPeerAnswered(heardAt, heardAt, m_random);
            }
        }
        m_hasNews = m_hasNews || isOfStore;
    }

    RestartParameters m_parameters;
    Random m_random;
    std::vector<Instance> m_instances;
    /** Time at which each instance learns that another has the state; -1 if it has not been sent. */
    std::vector<std::vector<int>> m_knownAt;
    std::vector<int> m_calls;
    RestartResult m_result;
    int m_now = 0;
    std::size_t m_answeredCount = 0;
    bool m_hasNews = false;
};

} // namespace

RestartResult runRestart(const RestartParameters &parameters)
{
    return RestartModel(parameters).run();
}

} // namespace magnolia::gateway::tests

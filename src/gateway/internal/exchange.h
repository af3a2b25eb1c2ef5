// Processes one request of a caller: places it, sends it to an upstream, retries where allowed and responds once.
#pragma once

#include "memory/answerorder.h"
#include "memory/heldbytes.h"
#include "quarantine/types/requesttraits.h"

#include "catalogue/homes.h"
#include "catalogue/types/catalogue.h"
#include "framework/eventloop/eventloop.h"
#include "gateway/internal/attempthistory.h"
#include "gateway/internal/iupstreamcalllistener.h"
#include "gateway/internal/reachabilityprobe.h"
#include "gateway/internal/relayprotocol.h"
#include "gateway/irequesthandler.h"
#include "outliers/types/attemptoutcome.h"
#include "placement/types/callertime.h"
#include "placement/types/decision.h"
#include "placement/types/workestimate.h"
#include "streaming/eventsplitter.h"
#include "streaming/types/eventid.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::gateway
{

class IResponseWriter;
class MemoryReservation;
class UpstreamCall;
struct GatewayContext;
struct KnownUpstream;

class Exchange : public IActiveRequest, public IUpstreamCallListener, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(GatewayContext &context, const catalogue::Route &route,
        std::optional<catalogue::OrganisationEntry> organisation, httpwire::RequestHead head, std::string body,
        MonoTime receivedAt, std::optional<RelayOrigin> relayOrigin, IResponseWriter &responseWriter);
    ~Exchange() override;

    void start();
    [[nodiscard]] bool isDone() const;

    void cancel() override;
    void onDrained() override;
    void onPartitioned() override;
    void onProcessEnding() override;
    [[nodiscard]] Milliseconds waitLimit() const override;

    void onCallConnected() override;
    void onOtherResponseHead(const httpwire::ResponseHead &head) override;
    void onResponseHead(const httpwire::ResponseHead &head) override;
    void onResponseBody(std::string_view bytes) override;
    void onResponseComplete() override;
    void onCallFailed(CallFailure failure, const std::string &detail) override;

private:
    void readEstimates();
    /** Returns how many events of the response the caller has, as far as its ids tell. */
    [[nodiscard]] std::uint64_t receivedEvents(const catalogue::EngineModel &engine) const;
    [[nodiscard]] std::vector<const KnownUpstream *> upstreamsInReach(
        const std::string &service, const std::vector<placement::UpstreamKey> &possiblyRunOn) const;
    [[nodiscard]] placement::Decision choosePlacement(
        const std::string &service, std::vector<placement::UpstreamKey> &usable);
    [[nodiscard]] std::vector<std::string> helperIds(const placement::Decision &decision) const;
    /** Whether the upstream may be beginning with the request, which is when a request crashes its upstream. */
    [[nodiscard]] bool isUpstreamBeginning() const;
    /** Gives up if such requests are in quarantine; returns whether it did. */
    bool refuseIfQuarantined();
    /** Ids of the parts of the prompt that other requests may share. */
    [[nodiscard]] std::vector<std::string> sharedParts() const;
    /** Whether the instance stops and the request, which has certainly not run, might not end before the process. */
    [[nodiscard]] bool mustBeRefusedInStop() const;
    /** Gives up if the request must be refused in a stop; returns whether it did. */
    bool refuseIfStopping();
    void place();
    void startAttempt(const placement::Decision &decision);
    void recordReportedLoad();
    /** Time left until the caller's deadline, or until the process stops if that is earlier and the response has not
     * begun. */
    [[nodiscard]] Milliseconds availableTime() const;
    void registerPlacement();
    /** Reserves memory at the helpers, then sends the request. */
    void reserveAndSend();
    void sendToPrimary();
    /** Whether the upstream of the current attempt or one of its helpers wants no requests now. */
    [[nodiscard]] bool isPaused(const KnownUpstream &primary, MonoTime now) const;
    /** Whether new requests of this kind may be sent to an upstream at all. */
    [[nodiscard]] bool isAllowed(const KnownUpstream &upstream) const;
    /** Whether the upstream of the current attempt and all its helpers are still allowed. */
    [[nodiscard]] bool isDecisionAllowed() const;
    [[nodiscard]] std::string requestBytes(const placement::Decision &decision) const;
    void endAttempt(std::optional<outliers::AttemptOutcome> attemptOutcome);
    /** Ends the current attempt, wherever it is, without an outcome for its upstream. */
    void withdrawAttempt();
    /** Prepares the state of an attempt that begins now. */
    void resetAttempt();
    /** Number of upstreams that may run this request. */
    [[nodiscard]] int maxAttempts() const;
    /** Whether the current attempt goes through a peer. */
    [[nodiscard]] bool isRelaying() const;
    /** Whether the request may go through a peer, because this instance can reach no upstream. */
    [[nodiscard]] bool mayRelay() const;
    /** Sends the request to a peer; returns false if there is none that takes it. */
    bool relay();
    [[nodiscard]] std::string relayedRequestBytes() const;
    void onRelayHead();
    void onRelayFailed(CallFailure failure, const std::string &detail);
    void onRelayedResponse();
    /** Retries the request or gives up; `reason` states why the last attempt failed. */
    void retryOrGiveUp(std::string_view reason);
    /** Like retryOrGiveUp(), after an attempt that reached no upstream. The next one may be the first that arrives, so
     * it is not charged to the retry budget. */
    void retryUnsent(std::string_view reason);
    /** Gives up unless the path monitor, which is investigating, finds that the request can be relayed. */
    void awaitPath(std::string_view reason, std::optional<Milliseconds> retryAfter);
    [[nodiscard]] bool canRetry() const;
    /** Whether the request would certainly be sent to another upstream if the current attempt ended now. */
    [[nodiscard]] bool canSwitchUpstream();
    /**
     * Ends the request without a response. `retryAfter` is the time after which the caller can be served; empty if that
     * is not known, or too late for this caller.
     */
    void giveUp(std::string_view reason, std::optional<Milliseconds> retryAfter);
    /** Returns when to come back while no upstream can be used, or none can be reached. */
    [[nodiscard]] Milliseconds outageRetryAfter();
    /** Returns the time until a new attempt of the caller can be placed; empty if it is too late for this caller. */
    [[nodiscard]] std::optional<Milliseconds> timeUntilPlaceable();
    /** Returns the time until memory that others hold is expected to be free; empty if it is too late. */
    [[nodiscard]] std::optional<Milliseconds> timeUntilMemory() const;
    /** Returns a delay from `retryAfter` on, so that callers who are refused together do not return together. */
    [[nodiscard]] Milliseconds spreadRetryAfter(Milliseconds retryAfter);
    void onFullResponse();
    /** Returns the head of the upstream's response for the caller or the relaying peer. */
    [[nodiscard]] httpwire::ResponseHead responseHead() const;
    /** Passes on the events that have arrived whole; other bytes among them end the attempt. */
    void forwardEvents();
    void passOn(const std::string &events);
    /** Reads a plain answer on, or pauses it until its turn comes while there is hardly any memory left. */
    void readOnOrPause();
    /** Upper bound of the bytes of the current plain answer that are still to come. */
    [[nodiscard]] Bytes answerBytesLeft() const;
    void leaveAnswerOrder();
    void finishStream();
    void forwardResponse();
    void onTimeout();
    void checkSilence();
    /**
     * Returns the silence after which the current attempt ends even if its upstream is reachable. The attempts that are
     * left have equal parts of the time in which the caller needs the next event.
     */
    [[nodiscard]] Milliseconds timeOfAttempt() const;
    /** Whether attempt number `attempt` goes on and its upstream has sent nothing for some time. */
    [[nodiscard]] bool isStillSilent(std::uint64_t attempt) const;
    void onReachabilityProbed(std::uint64_t attempt, Reachability reachability);
    void onPathConfirmed(std::uint64_t attempt, Reachability reachability, bool isPathSound);
    void respondWithError(int status, std::string_view reason, std::optional<Milliseconds> retryAfter);
    void logOutcome(std::string_view outcome, int status, std::string_view reason);
    [[nodiscard]] bool isStream() const;
    [[nodiscard]] placement::CallerTime callerTime() const;
    /** Returns the model of the engines of a service; null if it is a plain service. */
    [[nodiscard]] const catalogue::EngineModel *engineOf(const std::string &service) const;
    /** Returns the time in milliseconds from the first event that is still to come to the last. */
    [[nodiscard]] double decodeMs(const catalogue::EngineModel &engine, double outputTokens) const;
    /** The same for the estimated output. */
    [[nodiscard]] double decodeMs(const catalogue::EngineModel &engine) const;
    [[nodiscard]] int enginePriority() const;
    [[nodiscard]] Milliseconds elapsed() const;
    [[nodiscard]] Milliseconds remainingTime() const;

    GatewayContext &m_context;
    // Keeps `m_route` valid when a newer configuration arrives.
    std::shared_ptr<const catalogue::Catalogue> m_catalogue;
    const catalogue::Route &m_route;
    std::optional<catalogue::OrganisationEntry> m_organisation;
    catalogue::Homes m_homes;
    httpwire::RequestHead m_head;
    std::string m_body;
    MonoTime m_receivedAt;
    // Set if a peer has relayed this request.
    std::optional<RelayOrigin> m_relayOrigin;
    // End of the caller's time.
    MonoTime m_callerDeadline;
    // End of this attempt of the caller: its deadline or the timeout of the route. Invariant: not after
    // `m_callerDeadline`.
    MonoTime m_deadline;
    IResponseWriter &m_responseWriter;
    std::string m_requestId;

    double m_promptTokens = 0;
    double m_outputTokens = 0;
    double m_maxOutputTokens = 0;
    std::string m_service;
    quarantine::RequestTraits m_traits;
    quarantine::Fingerprint m_fingerprint{};

    AttemptHistory m_attempts;
    std::shared_ptr<UpstreamCall> m_upstreamCall;
    std::shared_ptr<MemoryReservation> m_reservation;
    // Peers to which the request was relayed. The current attempt goes to the last of them while `m_isRelaying`.
    std::vector<std::string> m_relayPeers;
    bool m_isRelaying = false;
    bool m_hasAwaitedPath = false;
    placement::Decision m_decision;
    placement::PlacementId m_placementId = 0;
    std::uint64_t m_attemptNumber = 0;
    MonoTime m_attemptStartedAt{};
    MonoTime m_lastProgressAt{};
    // Upstream of the current attempt, whose entry may be gone when the attempt ends.
    std::uint64_t m_upstreamStartedAt = 0;
    MonoTime m_sentAt{};
    // Upstreams that were no candidates of the last choice because they are cold.
    std::size_t m_coldWithheld = 0;
    std::optional<MonoTime> m_attemptFirstEventAt;
    // Whether the upstream is past the time in which a request crashes it.
    bool m_isPastBeginning = false;
    bool m_isProbing = false;
    MonoTime m_probedAt{};

    httpwire::ResponseHead m_upstreamHead;
    std::string m_upstreamBody;
    memory::HeldBytes m_heldAnswer;
    // Place of the current plain answer, once answers take turns.
    std::optional<memory::AnswerOrder::AnswerId> m_answerId;
    // Whether the answer of the current attempt has been paused for memory.
    bool m_wasAnswerPaused = false;
    streaming::EventSplitter m_eventSplitter;
    std::size_t m_bytesSinceEvent = 0;
    bool m_isStreaming = false;
    // Whether the response head has been sent to the caller; a resumed stream keeps the head of its first upstream.
    bool m_hasResponseBegun = false;
    // Id of the last event that the caller has; empty if it has none or has named it by an id that is no number.
    std::optional<streaming::EventId> m_lastEventId;
    std::uint64_t m_forwardedEvents = 0;
    MonoTime m_firstEventAt{};
    // Time at which the caller was last sent an event.
    MonoTime m_lastEventAt{};

    eventloop::TimerId m_timeoutTimer = 0;
    eventloop::TimerId m_silenceTimer = 0;
    bool m_isDone = false;
};

} // namespace magnolia::gateway

// One request of a caller: placed, sent, repeated where that is allowed, and answered once.
#pragma once

#include "catalogue/types/catalogue.h"
#include "framework/eventloop/eventloop.h"
#include "gateway/internal/attempthistory.h"
#include "gateway/internal/iupstreamcalluser.h"
#include "gateway/irequesthandler.h"
#include "outliers/types/attemptoutcome.h"
#include "placement/types/decision.h"
#include "placement/types/workestimate.h"
#include "streaming/eventsplitter.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::gateway
{

class ICallAnswer;
class MemoryTickets;
class UpstreamCall;
struct GatewayContext;

class Exchange : public ICall, public IUpstreamCallUser, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(GatewayContext &context, const catalogue::Route &route,
        std::optional<catalogue::OrganisationEntry> organisation, httpwire::RequestHead head, std::string body,
        MonoTime receivedAt, ICallAnswer &answer);
    ~Exchange() override;

    void start();
    [[nodiscard]] bool isAnswered() const;

    void cancel() override;
    void onDrained() override;

    void onAnswerHead(const httpwire::ResponseHead &head) override;
    void onAnswerBody(std::string_view bytes) override;
    void onAnswerComplete(bool isFramed) override;
    void onCallFailed(CallFailure failure, const std::string &detail) override;

private:
    void readEstimates();
    [[nodiscard]] placement::Decision decide(const std::string &service, std::vector<placement::UpstreamKey> &usable);
    [[nodiscard]] std::vector<std::string> helperNames(const placement::Decision &decision) const;
    void place();
    void send(const placement::Decision &decision);
    void noteLoad();
    /** The time in which a stopping process must have answered; the request's own time otherwise. */
    [[nodiscard]] Milliseconds timeBeforeStop() const;
    void placeOnBoard();
    /** Sets aside the memory that a group needs, then sends. */
    void reserveAndSend();
    void sendNow();
    [[nodiscard]] std::string requestBytes(const placement::Decision &decision) const;
    void endAttempt(std::optional<outliers::AttemptOutcome> evidence);
    /** Tries elsewhere, or gives up; `reason` says what the last attempt met. */
    void retryOrGiveUp(std::string_view reason);
    [[nodiscard]] bool mayRepeat() const;
    /** Whether the request would surely be sent elsewhere if the present attempt were ended now. */
    [[nodiscard]] bool canMove();
    void giveUp(std::string_view reason, Milliseconds retryAfter);
    void onWhole();
    void onEvents();
    void finishStream(bool isFramed);
    void passAnswer();
    void onTimeout();
    void checkSilence();
    void onSilenceTested(std::uint64_t attempt, bool isReached);
    void fail(int status, std::string_view reason, std::optional<Milliseconds> retryAfter);
    void logEnd(std::string_view outcome, int status, std::string_view reason);
    [[nodiscard]] bool isStream() const;
    /** Whether the answer can only be late. */
    [[nodiscard]] bool isLate() const;
    /** How long callers wait for a first event, or for the next. */
    [[nodiscard]] Milliseconds patience() const;
    [[nodiscard]] Milliseconds elapsed() const;
    [[nodiscard]] Milliseconds left() const;

    GatewayContext &m_context;
    // Keeps the route alive when a newer configuration comes.
    std::shared_ptr<const catalogue::Catalogue> m_catalogue;
    const catalogue::Route &m_route;
    std::optional<catalogue::OrganisationEntry> m_organisation;
    httpwire::RequestHead m_head;
    std::string m_body;
    MonoTime m_receivedAt;
    MonoTime m_dueAt;
    ICallAnswer &m_answer;
    std::string m_requestId;

    double m_promptTokens = 0;
    double m_outputTokens = 0;
    double m_mostOutputTokens = 0;
    // The caller waits so much less than others of its route that it must have been refused before.
    bool m_isReturning = false;
    std::string m_service;

    AttemptLedger m_attempts;
    std::shared_ptr<UpstreamCall> m_call;
    std::shared_ptr<MemoryTickets> m_tickets;
    placement::Decision m_decision;
    placement::PlacementId m_placement = 0;
    std::uint64_t m_attemptNumber = 0;
    MonoTime m_sentAt{};
    MonoTime m_progressAt{};
    bool m_isTestingSilence = false;
    MonoTime m_silenceTestedAt{};

    httpwire::ResponseHead m_upstreamHead;
    std::string m_upstreamBody;
    streaming::EventSplitter m_events;
    bool m_isStreaming = false;
    // Whether the caller has the head of the answer, which is then that of the first upstream for good.
    bool m_isBegun = false;
    std::optional<std::uint64_t> m_lastEventId;
    std::uint64_t m_eventsPassed = 0;
    MonoTime m_firstEventAt{};

    eventloop::TimerId m_timeout = 0;
    eventloop::TimerId m_silenceTimer = 0;
    bool m_isDone = false;
};

} // namespace magnolia::gateway

#pragma once

#include "core/error.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "http/linkpool.h"
#include "http/serverconnection.h"
#include "instance/attempt.h"
#include "instance/dispatchqueue.h"
#include "instance/homeservice.h"
#include "instance/isolationdetector.h"
#include "platform/callcodec.h"
#include "serving/routetable.h"
#include "serving/turncache.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace flamingo
{

/// The parts of an instance that its requests share.
struct RelayContext {
    TimerService &timers;
    RouteTable &routes;
    EndpointDirectory &directory;
    Placement &placement;
    LinkPool &endpoints;
    HomeClient &homes;
    TurnStore &turns;
    const IsolationWatch &isolation;
    Metrics &metrics;
};

/// One caller's request from its arrival to the end of its answer: admitted, placed, sent, answered. It is sent again
/// only when the endpoint has provably not run it, or when its route lets it run more than once.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(RelayContext &context, ServerConnectionPtr connection, ServerRequest request);

    void start();

private:
    void admit();
    void onGrant(TurnGrant grant);
    void reportEnd(Tokens used, TurnRecordPtr turn);
    void enqueue();
    void send(const EndpointEntry &endpoint, const std::string &reason);
    LinkRequest buildCall(const EndpointEntry &endpoint, Instant now) const;

    void onHead(const MessageHead &head);
    void onBody(std::string_view bytes);
    void onEvents(const std::vector<StreamEvent> &events);
    void startAnswer();
    void passEvent(const StreamEvent &event);
    void onComplete();
    void onFailure(const CallFailure &failure);
    void onRejected();
    void onBroken(const std::string &reason, bool mayUseSameEndpoint);
    void finishAnswer();
    void finishStream();
    void onOverdue(std::uint64_t attempt);
    void onTimeout();
    void onCallerGone();

    void endAttempt(bool isFault);
    void refuse(int status, const char *reason, std::optional<Milliseconds> retryAfter = std::nullopt);
    void finish(const char *outcome, int status);
    bool isStreaming() const;
    bool mayRunAgain() const;
    Milliseconds timeLeft(Instant now) const;
    Tokens generatedTokens() const;
    ProgramId affinity() const;

    RelayContext &m_context;
    ServerConnectionPtr m_connection;
    ServerRequest m_request;
    RequestMetadata m_facts;
    Route m_route;
    PoolId m_pool;
    std::int64_t m_tokensPerEvent = 1;
    Instant m_deadline;
    TimerService::Subscription m_deadlineTimer = 0;
    std::string m_body;
    std::vector<RequestId> m_ancestors;
    std::string m_output; ///< Of a stateful turn so far.
    DispatchRequest m_waitingCall;
    std::optional<CallId> m_queued;
    std::optional<Attempt> m_attempt;
    std::set<EndpointId> m_ranAt; ///< Endpoints at which it may have run.
    std::string m_lastEvent; ///< The last event passed on.
    std::optional<InstanceId> m_home; ///< The program's home, until the turn's end has been reported there.
    Tokens m_reserved;
    std::optional<CachedPrefix> m_cachedAt; ///< Where the line's prompt is cached, before and after this turn.
    int m_passedEvents = 0;
    int m_rejections = 0;
    int m_resends = 0;
    std::uint64_t m_attempts = 0;
    bool m_hasAnswerBegun = false;
    bool m_isOver = false;
};

} // namespace flamingo

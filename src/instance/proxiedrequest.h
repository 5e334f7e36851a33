#pragma once

#include "core/error.h"
#include "core/metrics.h"
#include "core/timerservice.h"
#include "http/connectionpool.h"
#include "http/serverconnection.h"
#include "instance/attempt.h"
#include "instance/callerstream.h"
#include "instance/dispatchqueue.h"
#include "instance/endpointsender.h"
#include "instance/forwardedbody.h"
#include "instance/homeservice.h"
#include "instance/isolationdetector.h"
#include "instance/quotaclient.h"
#include "instance/streamoriginclient.h"
#include "instance/turnreservation.h"
#include "platform/headercodec.h"
#include "serving/admission.h"
#include "serving/responseverdict.h"
#include "serving/retrypolicy.h"
#include "serving/routetable.h"
#include "serving/turncache.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// The components of an instance that its requests share.
struct ProxyContext {
    TimerService &timers;
    const Admission &admission;
    QuotaClient &quotas;
    RouteTable &routes;
    EndpointDirectory &endpointDirectory;
    DispatchQueue &dispatchQueue;
    EndpointSender &endpointSender;
    HomeClient &homeClient;
    StreamOriginClient &streamOrigins;
    TurnStore &turnStore;
    BufferQuota &responseBuffers;
    const IsolationDetector &isolationDetector;
    Metrics &metrics;
};

/// One caller's request, from its arrival to the end of its response: it is admitted, queued, forwarded to an endpoint and
/// answered. It is retried only if the endpoint has provably not run it, or if its route allows it to run more than once.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(ProxyContext &context, ServerConnectionPtr connection, ServerRequest request);

    /// Begins processing. The request keeps itself alive until it is finished.
    void start();

    /// Whether the request is at no endpoint now.
    bool isWaiting() const;

    /// Ends the request, since the process ends: refuses it if no endpoint may have run it, otherwise its outcome is unknown.
    void end();

private:
    void onQuotaDecided(const std::optional<Refusal> &refusal);
    void findOrigin();
    void onOriginFound(const std::optional<StreamOrigin> &origin);
    void reserveTurn();
    void onTurnReserved(tl::expected<TurnChain, Refusal> history);
    void enqueue();
    void onNotQueued(const Error &error);
    void sendTo(const EndpointEntry &endpoint, const std::string &reason);
    ClientRequest buildRequest(const EndpointEntry &endpoint, Instant now) const;

    void onResponseHead(const MessageHead &head);
    void onEndpointLeaving(const EndpointEntry &endpoint);
    void onResponseBody(std::string_view bytes);
    void breakOffStream();
    void onResponseTooLong();
    void onResponseComplete();
    void onCallFailure(const RequestFailure &failure);
    void onRejected();
    void onAttemptFailed(const std::string &reason, bool mayUseSameEndpoint);
    void finishResponse();
    void finishStream();
    void avoidOtherEndpoints(const EndpointId &last);
    void onAttemptOverdue(std::uint64_t attemptNumber);
    void onDeadline();
    void endUnanswered(const char *outcome, int unknownStatus, const char *refusal, Milliseconds retryAfter);
    void onCallerDisconnected();

    void endAttempt(bool isEndpointFault);
    void refuse(const Refusal &refusal);
    void refuse(int status, const char *reason, std::optional<Milliseconds> retryAfter = std::nullopt);
    void finish(const char *outcome, int status);
    ResponseExpectation expectation() const;
    bool isStreaming() const;
    bool resumesStream() const;
    bool mayBeResumed() const;
    void noteOrigin();
    bool mayRetry() const;
    Milliseconds timeLeft(Instant now) const;
    Tokens generatedTokens() const;

    ProxyContext &m_context;
    ServerConnectionPtr m_connection;
    ServerRequest m_request;
    RequestMetadata m_metadata;
    AdmittedRequest m_admitted;
    TimerService::TimerId m_deadlineTimer = 0;
    ForwardedBody m_forwardedBody;
    TurnChain m_history; ///< Of a stateful turn that continues another one. Its text is in m_forwardedBody.
    Instant m_historyLoadedAt;
    CallerStream m_stream;
    std::optional<SoftwareVersion> m_streamVersion; ///< That began the caller's stream. Only endpoints of this version may go on with it.
    DispatchRequest m_dispatchRequest;
    std::optional<CallId> m_queuedCallId;
    std::optional<Attempt> m_attempt;
    std::vector<ConnectionRef> m_usedConnections; ///< Connections that have carried the request.
    RetryPolicy m_retries;
    TurnReservation m_reservation;
    std::uint64_t m_attemptCount = 0;
    bool m_isFinished = false;
};

} // namespace flamingo

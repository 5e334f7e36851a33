#include "instance/proxiedrequest.h"

#include "core/digest.h"
#include "core/log.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
/// A request that must not be repeated reuses a connection only if that was in use very recently, since the endpoint may be
/// closing an idle one.
constexpr Milliseconds MaxIdleForNonRepeatable{300};
constexpr Milliseconds MaxIdleForRepeatable{60000};
constexpr Milliseconds EndpointConnectTimeout{400};
/// A request that may run elsewhere is sent again when its endpoint has acknowledged nothing for this long: longer than sound endpoints
/// fall silent, and shorter than callers wait for the next event.
constexpr Milliseconds MovableSilenceLimit{1800};
/// The caller gets a response this long before its deadline, so that it still arrives in time.
constexpr Milliseconds ResponseMargin{15};
/// The load balancer routes callers to other instances after two failed readiness checks, one second apart.
constexpr Milliseconds IsolatedRetryAfter{2000};
/// A repeatable request is sent to another endpoint after this many latency objectives without a byte of the response.
constexpr int OverdueObjectiveFactor = 3;
constexpr Milliseconds MinOverdueTime{250};
/// A turn is expected to generate one part in this many of its maximum.
constexpr std::int64_t ExpectedOutputDivisor = 2;
constexpr int MostUrgentEnginePriority = 3;
constexpr int LeastUrgentEnginePriority = 9;
constexpr int StatusBadGateway = 502;
constexpr std::size_t MaxEventBytes = std::size_t(1024) * 1024;

PriorityClass priorityClass(int routePriority)
{
    return routePriority <= 0 ? PriorityClass::Urgent : PriorityClass::Normal;
}
} // namespace

ProxiedRequest::ProxiedRequest(ProxyContext &context, ServerConnectionPtr connection, ServerRequest request)
    : m_context(context)
    , m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_metadata(platform::decodeRequest(m_request.head))
    , m_stream(m_context.responseBuffers)
    , m_reservation(m_context.homeClient)
{
}

void ProxiedRequest::start()
{
    m_connection->setDisconnectHandler([self = shared_from_this()] { self->onCallerDisconnected(); });
    auto admitted = m_context.admission.admit(m_metadata, m_request.arrivedAt, std::chrono::steady_clock::now(), suspendAwareNow());
    if (!admitted) {
        refuse(admitted.error());
        return;
    }
    m_admitted = std::move(*admitted);
    m_retries = RetryPolicy(m_admitted.route.mayRepeat(), static_cast<std::size_t>(m_admitted.route.maxAttempts));
    if (m_admitted.route.isStateful) {
        m_stream.setKeepsOutput();
    }
    m_deadlineTimer = m_context.timers.at(m_admitted.deadline - ResponseMargin, [self = weak_from_this()](Instant) {
        if (const auto it = self.lock()) {
            it->onDeadline();
        }
    });
    m_context.quotas.admit(m_admitted.workspace, [self = shared_from_this()](const std::optional<Refusal> &refusal) { self->onQuotaDecided(refusal); });
}

// The caller may have left, or the deadline may have passed.
void ProxiedRequest::onQuotaDecided(const std::optional<Refusal> &refusal)
{
    if (m_isFinished) {
        return;
    }
    if (refusal) {
        refuse(*refusal);
    } else if (resumesStream()) {
        findOrigin();
    } else {
        reserveTurn();
    }
}

bool ProxiedRequest::resumesStream() const
{
    return m_admitted.route.kind == CallKind::Stream && m_metadata.lastEventId && !m_metadata.lastEventId->empty();
}

// What two software versions write doesn't fit together, so the stream has to go on at the one that began it.
void ProxiedRequest::findOrigin()
{
    std::vector<PoolId> pools;
    for (const WeightedPool &it : m_admitted.route.pools) {
        pools.push_back(it.pool);
    }
    m_context.streamOrigins.find(
        m_metadata.resumedAttempt, pools, [self = shared_from_this()](const std::optional<StreamOrigin> &origin) { self->onOriginFound(origin); });
}

void ProxiedRequest::onOriginFound(const std::optional<StreamOrigin> &origin)
{
    const auto &pools = m_admitted.route.pools;
    const bool isAllowed = origin && std::any_of(pools.begin(), pools.end(), [&](const WeightedPool &it) { return it.pool == origin->pool; });
    if (m_isFinished) {
        return;
    }
    if (!isAllowed) {
        refuse(503, "stream-origin-unknown", DefaultRetryAfter);
        return;
    }
    m_admitted.pool = origin->pool;
    m_streamVersion = origin->version;
    reserveTurn();
}

bool ProxiedRequest::mayBeResumed() const
{
    return m_admitted.route.kind == CallKind::Stream && m_admitted.route.isResumable && !resumesStream();
}

// Before the endpoint can begin the stream, so that the note is usually there when the first event reaches the caller.
void ProxiedRequest::noteOrigin()
{
    if (mayBeResumed() && !m_stream.hasStarted()) {
        m_context.streamOrigins.note(m_metadata.id, {m_admitted.pool, m_attempt->endpoint.version}, m_admitted.route.pools.size() > 1);
    }
}

// Turns with a budget or a history ask the program's home first; everything else is queued at once.
void ProxiedRequest::reserveTurn()
{
    if (!m_forwardedBody.set(std::move(m_request.body), std::move(m_request.memory), m_admitted.route.isStateful)) {
        refuse(503, "memory", DefaultRetryAfter);
        return;
    }
    if (!TurnReservation::isNeeded(m_metadata, m_admitted.route.isStateful)) {
        enqueue();
        return;
    }
    m_reservation.begin(
        m_admitted, m_metadata, [self = shared_from_this()](tl::expected<TurnChain, Refusal> history) { self->onTurnReserved(std::move(history)); });
}

void ProxiedRequest::onTurnReserved(tl::expected<TurnChain, Refusal> history)
{
    if (m_isFinished) {
        m_reservation.end(Tokens(0), nullptr);
    } else if (!history) {
        refuse(history.error());
    } else {
        m_history = std::move(*history);
        m_historyLoadedAt = std::chrono::steady_clock::now();
        if (m_forwardedBody.prependHistory(std::exchange(m_history.text, {}))) {
            enqueue();
        } else {
            refuse(503, "memory", DefaultRetryAfter);
        }
    }
}

void ProxiedRequest::enqueue()
{
    DispatchRequest request;
    request.program = m_admitted.program;
    request.workspace = workspaceId(m_admitted);
    request.pool = m_admitted.pool;
    request.priority = priorityClass(m_admitted.priority);
    request.arrivedAt = m_request.arrivedAt;
    request.deadline = m_admitted.deadline;
    request.promptTokens = m_metadata.unsharedTokens();
    request.expectedAnswerTokens = Tokens(m_metadata.maxOutputTokens.value_or(Tokens(0)).value() / ExpectedOutputDivisor);
    request.isRepeatable = m_admitted.route.mayRepeat();
    request.isRetry = m_attemptCount > 0;
    request.requiredVersion = m_streamVersion;
    request.failedEndpoints = m_dispatchRequest.failedEndpoints;
    request.isContinuation = m_metadata.continuesProgram() || m_reservation.cachedPrefix();
    if (const auto &prefix = m_reservation.cachedPrefix()) {
        request.prefixEndpoint = prefix->endpoint;
        request.cachedPrefixTokens = prefix->tokens;
    }
    m_dispatchRequest = request;
    DispatchQueue::Handlers handlers;
    handlers.onDispatch = [self = shared_from_this()](const EndpointEntry &endpoint, const std::string &reason) {
        self->m_queuedCallId.reset();
        self->sendTo(endpoint, reason);
    };
    handlers.onRefused = [self = shared_from_this()](const Error &error) {
        self->m_queuedCallId.reset();
        self->onNotQueued(error);
    };
    const auto queued = m_context.dispatchQueue.enqueue(m_dispatchRequest, std::move(handlers));
    if (!queued) {
        onNotQueued(queued.error());
        return;
    }
    if (!m_attempt && !m_isFinished) {
        m_queuedCallId = *queued;
    }
}

void ProxiedRequest::onNotQueued(const Error &error)
{
    if (!m_retries.mayHaveRun() && !m_stream.hasStarted()) {
        refuse(503, errorInfo(error.kind).name, error.retryAfter.value_or(DefaultRetryAfter));
    } else {
        onAttemptFailed("no endpoint available", false);
    }
}

ClientRequest ProxiedRequest::buildRequest(const EndpointEntry &endpoint, Instant now) const
{
    platform::AttemptMetadata attemptMetadata;
    attemptMetadata.expectedEndpoint = endpoint.id;
    attemptMetadata.timeLeft = timeLeft(now);
    attemptMetadata.workspace = workspaceId(m_admitted);
    // Where workspaces have come into force since the request was accepted, its credentials are hidden as well.
    attemptMetadata.hidesCredentials = m_admitted.hidesCredentials || m_context.routes.workspaces().isConfigured();
    if (m_metadata.promptTokens) {
        attemptMetadata.priority = std::min(MostUrgentEnginePriority + 2 * std::max(0, m_admitted.priority), LeastUrgentEnginePriority);
    }
    if (!m_stream.lastEventId().empty()) {
        attemptMetadata.lastEventId = m_stream.lastEventId();
    }
    ClientRequest request;
    request.address = endpoint.address;
    request.head = platform::encodeRequest(m_request.head, attemptMetadata);
    request.sharedBody = m_forwardedBody.bytes();
    request.maxIdleTime = m_admitted.route.mayRepeat() ? MaxIdleForRepeatable : MaxIdleForNonRepeatable;
    request.connectTimeout = EndpointConnectTimeout;
    request.sendBy = now + EndpointConnectTimeout;
    // The silence of an endpoint ends nothing that can't go on elsewhere; the deadline does.
    request.silenceLimit = m_retries.mayRunElsewhere() ? MovableSilenceLimit : timeLeft(now) + MovableSilenceLimit;
    request.responseId = m_metadata.id.value();
    request.responseIdField = platform::attemptIdField();
    request.usedConnections = m_usedConnections;
    request.maxBodyBytes = m_admitted.route.kind == CallKind::Stream ? UnlimitedBodyBytes : BufferQuota::MaxResponseBytes;
    return request;
}

void ProxiedRequest::sendTo(const EndpointEntry &endpoint, const std::string &reason)
{
    const Instant now = std::chrono::steady_clock::now();
    if (m_isFinished || now >= m_admitted.deadline - ResponseMargin) {
        // The request has ended meanwhile, or the process was paused and the deadline's timer has yet to run.
        m_context.dispatchQueue.onFailed(m_dispatchRequest, endpoint.id, false);
        onDeadline();
        return;
    }
    if (const auto refusal = m_context.admission.recheck(m_admitted, suspendAwareNow())) {
        m_context.dispatchQueue.onFailed(m_dispatchRequest, endpoint.id, false);
        endUnanswered(refusal->reason, StatusBadGateway, refusal->reason, *refusal->retryAfter);
        return;
    }
    if (m_streamVersion && endpoint.version != *m_streamVersion) {
        // It has been started anew since it was chosen.
        m_context.dispatchQueue.onFailed(m_dispatchRequest, endpoint.id, false);
        onNotQueued({ErrorKind::NoEndpoint, "the chosen endpoint has another version now", std::nullopt});
        return;
    }
    if (!m_retries.maySendTo(endpoint.id)) {
        m_context.dispatchQueue.onFailed(m_dispatchRequest, endpoint.id, false);
        onAttemptFailed("the endpoint that may have run the request can't be reached again", false);
        return;
    }
    m_attempt.emplace(m_context.responseBuffers);
    m_attempt->endpoint = endpoint;
    m_attempt->sentAt = now;
    m_attempt->number = ++m_attemptCount;
    m_attempt->isResumption = m_stream.hasStarted();
    m_stream.beginAttempt();
    noteOrigin();
    m_retries.onSent(endpoint.id);
    logChange("request-sent",
              "id={} endpoint={} software={} resumes={} attempt={} waited_ms={} reason=\"{}\"",
              m_metadata.id.value(),
              endpoint.id.value(),
              endpoint.version.value(),
              m_metadata.resumedAttempt ? m_metadata.resumedAttempt->value()
              : m_stream.hasStarted()   ? "self"
                                        : "-",
              m_attemptCount,
              toMilliseconds(now - m_request.arrivedAt),
              reason);
    ResponseHandlers handlers;
    const auto self = shared_from_this();
    handlers.onHead = [self](const MessageHead &head) { self->onResponseHead(head); };
    handlers.onBody = [self](std::string_view bytes) { self->onResponseBody(bytes); };
    handlers.onComplete = [self] { self->onResponseComplete(); };
    handlers.onFailure = [self, number = m_attemptCount](const RequestFailure &failure) {
        if (self->m_attempt && self->m_attempt->number == number) {
            self->onCallFailure(failure);
        }
    };
    m_attempt->call = m_context.endpointSender.send(endpoint, buildRequest(endpoint, now), std::move(handlers));
    m_usedConnections.push_back(m_attempt->call.connection());
    if (m_retries.mayRunElsewhere()) {
        const Milliseconds overdue = std::max(MinOverdueTime, m_admitted.route.latencyObjective * OverdueObjectiveFactor);
        m_attempt->overdueTimer = m_context.timers.at(now + overdue, [weak = weak_from_this(), number = m_attemptCount](Instant) {
            if (const auto it = weak.lock()) {
                it->onAttemptOverdue(number);
            }
        });
    }
}

void ProxiedRequest::onResponseHead(const MessageHead &head)
{
    m_attempt->responseHead = head;
    m_attempt->responseMetadata = platform::decodeResponse(head);
    if (m_attempt->responseMetadata.load) {
        m_context.dispatchQueue.onLoad(m_attempt->endpoint.id, *m_attempt->responseMetadata.load);
    }
    if (m_attempt->responseMetadata.isLeaving) {
        onEndpointLeaving(m_attempt->endpoint);
    }
}

// What is in progress there goes on; new and waiting requests, retries and resumed streams go elsewhere.
void ProxiedRequest::onEndpointLeaving(const EndpointEntry &endpoint)
{
    if (!m_context.endpointDirectory.markLeaving(endpoint.id, endpoint.startedAtMs, std::chrono::steady_clock::now())) {
        return;
    }
    logChange("endpoint-leaving", "endpoint={} id={}", endpoint.id.value(), m_metadata.id.value());
    m_context.metrics.add("flamingo_endpoints_leaving_total");
    m_context.dispatchQueue.markLeaving(endpoint.id);
}

void ProxiedRequest::onResponseBody(std::string_view bytes)
{
    Attempt &attempt = *m_attempt;
    if (!attempt.firstByteAt) {
        attempt.firstByteAt = std::chrono::steady_clock::now();
    }
    if (mayForwardEvents(attempt.responseHead.status, attempt.responseMetadata, expectation())) {
        const int eventsBefore = m_stream.forwardedEvents();
        const auto result = m_stream.forward(*m_connection, attempt.responseHead, attempt.eventSplitter.feed(bytes));
        attempt.eventCount += m_stream.forwardedEvents() - eventsBefore;
        if (m_stream.hasStarted() && !m_streamVersion) {
            m_streamVersion = attempt.endpoint.version;
        }
        if (result == CallerStream::ForwardResult::OverLimit) {
            breakOffStream();
        } else if (result == CallerStream::ForwardResult::NotContinued) {
            attempt.call.cancel();
            onAttemptFailed(verdictText(ResponseVerdict::NotContinued), false);
        } else if (attempt.eventSplitter.incompleteEvent().size() > MaxEventBytes) {
            onResponseTooLong();
        }
    } else if (!attempt.bufferedBytes.tryAppend(attempt.responseBody, bytes)) {
        onResponseTooLong();
    }
}

// The caller doesn't read its stream, or a turn's output is too long to be kept. Another endpoint's events would fare no better.
void ProxiedRequest::breakOffStream()
{
    m_attempt->call.cancel();
    endAttempt(false);
    m_connection->abort();
    finish("stream-over-limit", 0);
}

void ProxiedRequest::onResponseTooLong()
{
    m_attempt->call.cancel();
    onAttemptFailed("response over the size limit", false);
}

void ProxiedRequest::onResponseComplete()
{
    const Attempt &attempt = *m_attempt;
    const ReceivedResponse response{attempt.responseHead.status, attempt.responseMetadata, attempt.eventCount, attempt.eventSplitter.isInsideEvent()};
    const ResponseVerdict verdict = judgeResponse(response, expectation());
    const bool isLastResort = verdict == ResponseVerdict::ServerError && !mayRetry() && !m_stream.hasStarted();
    if (verdict == ResponseVerdict::NotExecuted) {
        onRejected();
    } else if (verdict != ResponseVerdict::Usable && !isLastResort) {
        onAttemptFailed(verdictText(verdict), false);
    } else if (isStreaming()) {
        finishStream();
    } else {
        finishResponse();
    }
}

ResponseExpectation ProxiedRequest::expectation() const
{
    return {m_admitted.route.kind == CallKind::Stream, m_attempt->isResumption};
}

bool ProxiedRequest::isStreaming() const
{
    return m_admitted.route.kind == CallKind::Stream && isSuccessStatus(m_attempt->responseHead.status);
}

void ProxiedRequest::finishResponse()
{
    const int status = m_attempt->responseHead.status;
    const HeaderFields fields = platform::encodeResponseFields(m_attempt->responseHead);
    std::string body = std::move(m_attempt->responseBody);
    endAttempt(false);
    m_connection->respond(status, fields, std::move(body));
    finish("answered", status);
}

// The caller may continue a stateful turn once it has seen the turn's end, so the turn has to be saved before that.
void ProxiedRequest::finishStream()
{
    if (!m_stream.hasStarted()) {
        m_stream.start(*m_connection, m_attempt->responseHead);
    }
    m_connection->write(m_attempt->eventSplitter.incompleteEvent());
    if (m_metadata.promptTokens) {
        m_reservation.setCachedPrefix({m_attempt->endpoint.id, m_metadata.unsharedTokens() + generatedTokens()});
    }
    endAttempt(false);
    if (!m_admitted.route.isStateful) {
        m_connection->finishStream();
        finish("answered", 200);
        return;
    }
    auto record = std::make_shared<TurnRecord>();
    record->id = m_metadata.id;
    record->input = m_forwardedBody.takeInput();
    record->output = m_stream.takeOutput();
    record->retention = m_admitted.route.retention;
    record->workspace = workspaceId(m_admitted);
    record->continueFrom(m_history, std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - m_historyLoadedAt));
    m_reservation.end(generatedTokens(), record);
    m_context.turnStore.save(record, [self = shared_from_this()](bool isSaved) {
        if (self->m_isFinished) {
            return;
        }
        if (isSaved) {
            self->m_connection->finishStream();
            self->finish("answered", 200);
        } else {
            self->m_connection->abort();
            self->finish("turn-not-kept", 0);
        }
    });
}

// The endpoint has not run the request, so any other one may.
void ProxiedRequest::onRejected()
{
    const EndpointId endpoint = m_attempt->endpoint.id;
    const bool isOtherEndpoint = m_attempt->responseMetadata.isFromOtherEndpoint;
    logChange("request-rejected",
              "id={} endpoint={} status={} other_instance={}",
              m_metadata.id.value(),
              endpoint.value(),
              m_attempt->responseHead.status,
              isOtherEndpoint);
    const bool mayQueueAgain = m_retries.onNotExecuted(endpoint);
    m_dispatchRequest.failedEndpoints.insert(endpoint);
    endAttempt(true);
    if (mayQueueAgain) {
        enqueue();
    } else if (!m_retries.mayHaveRun() && !m_stream.hasStarted()) {
        refuse(503, "rejected-everywhere", m_context.dispatchQueue.retryAfter(m_admitted.pool));
    } else {
        onAttemptFailed("too many rejections", false);
    }
}

void ProxiedRequest::onCallFailure(const RequestFailure &failure)
{
    const EndpointId endpoint = m_attempt->endpoint.id;
    if (failure.kind == RequestFailure::Kind::NotSent) {
        logChange("endpoint-unreachable", "id={} endpoint={} reason=\"{}\"", m_metadata.id.value(), endpoint.value(), failure.detail);
        const bool mayQueueAgain = m_retries.onNotExecuted(endpoint);
        if (!failure.isForwarderFault) {
            m_dispatchRequest.failedEndpoints.insert(endpoint);
        }
        endAttempt(!failure.isForwarderFault);
        if (mayQueueAgain) {
            enqueue();
        } else if (!m_retries.mayHaveRun() && !m_stream.hasStarted()) {
            refuse(503, "endpoints-unreachable", DefaultRetryAfter);
        } else {
            onAttemptFailed("too many unreachable endpoints", false);
        }
        return;
    }
    onAttemptFailed(failure.detail, failure.wasConnectionReused);
}

bool ProxiedRequest::mayRetry() const
{
    return m_stream.canResume() && m_retries.mayRunElsewhere();
}

// The request may have run. It is retried only if it may run more than once; otherwise the caller learns that it failed.
void ProxiedRequest::onAttemptFailed(const std::string &reason, bool mayUseSameEndpoint)
{
    std::optional<EndpointEntry> lastEndpoint;
    if (m_attempt) {
        lastEndpoint = m_attempt->endpoint;
        logChange(
            "attempt-failed", "id={} endpoint={} events={} reason=\"{}\"", m_metadata.id.value(), lastEndpoint->id.value(), m_attempt->eventCount, reason);
        m_dispatchRequest.failedEndpoints.insert(lastEndpoint->id);
        endAttempt(!mayUseSameEndpoint);
    }
    const EndpointEntry *sameEndpoint = lastEndpoint && mayUseSameEndpoint ? m_context.endpointDirectory.find(lastEndpoint->id) : nullptr;
    if (lastEndpoint && m_stream.canResume() && sameEndpoint && m_retries.tryRetryAtSameEndpoint()) {
        avoidOtherEndpoints(lastEndpoint->id);
        enqueue();
        return;
    }
    if (lastEndpoint && mayRetry()) {
        enqueue();
        return;
    }
    if (m_stream.hasStarted()) {
        m_connection->abort();
        finish("broken-off", 0);
    } else {
        refuse(502, "outcome-unknown");
    }
}

// Where the request may run at no further endpoint, the dispatcher would choose one in vain.
void ProxiedRequest::avoidOtherEndpoints(const EndpointId &last)
{
    m_dispatchRequest.failedEndpoints.erase(last);
    if (m_retries.mayRunElsewhere()) {
        return;
    }
    for (const EndpointEntry &entry : m_context.endpointDirectory.all()) {
        if (entry.pool == m_admitted.pool && entry.id != last) {
            m_dispatchRequest.failedEndpoints.insert(entry.id);
        }
    }
}

void ProxiedRequest::onAttemptOverdue(std::uint64_t attemptNumber)
{
    if (m_isFinished || !m_attempt || m_attempt->number != attemptNumber || m_attempt->firstByteAt || !mayRetry()) {
        return;
    }
    m_attempt->overdueTimer = 0;
    m_attempt->call.cancel();
    onAttemptFailed("overdue", false);
}

void ProxiedRequest::onDeadline()
{
    constexpr int GatewayTimeout = 504;
    endUnanswered("timed-out", GatewayTimeout, "timed-out-waiting", DefaultRetryAfter);
}

bool ProxiedRequest::isWaiting() const
{
    return !m_attempt;
}

void ProxiedRequest::end()
{
    endUnanswered("stopped", StatusBadGateway, "stopping", StoppingRetryAfter);
}

// The status of a request that may have run promises nothing; a refusal says that it hasn't.
void ProxiedRequest::endUnanswered(const char *outcome, int unknownStatus, const char *refusal, Milliseconds retryAfter)
{
    constexpr int ServiceUnavailable = 503;
    if (m_isFinished) {
        return;
    }
    const bool mayHaveRun = m_retries.mayHaveRun();
    if (m_attempt) {
        m_attempt->call.cancel();
        endAttempt(false);
    }
    if (m_stream.hasStarted()) {
        m_connection->abort();
        finish(outcome, 0);
    } else if (mayHaveRun) {
        refuse(unknownStatus, outcome);
    } else {
        refuse(ServiceUnavailable, refusal, retryAfter);
    }
}

void ProxiedRequest::onCallerDisconnected()
{
    if (m_isFinished) {
        return;
    }
    if (m_attempt) {
        m_attempt->call.cancel();
        endAttempt(false);
    }
    finish("caller-gone", 0);
}

void ProxiedRequest::endAttempt(bool isEndpointFault)
{
    if (!m_attempt) {
        return;
    }
    const Attempt attempt = std::move(*m_attempt);
    m_attempt.reset();
    m_context.timers.cancel(attempt.overdueTimer);
    const Instant now = std::chrono::steady_clock::now();
    const bool isComplete = !isEndpointFault && attempt.firstByteAt && isSuccessStatus(attempt.responseHead.status);
    if (!isComplete) {
        m_context.dispatchQueue.onFailed(m_dispatchRequest, attempt.endpoint.id, isEndpointFault);
        return;
    }
    CallObservation observation;
    observation.timeToFirstToken = std::chrono::duration_cast<Milliseconds>(*attempt.firstByteAt - attempt.sentAt);
    observation.totalTime = std::chrono::duration_cast<Milliseconds>(now - attempt.sentAt);
    // The generation rate is measured between the first event and the last, so the first one counts as a single token.
    observation.generatedTokens = Tokens(attempt.eventCount == 0 ? 0 : 1 + (attempt.eventCount - 1) * m_admitted.tokensPerEvent);
    m_context.dispatchQueue.onFinished(m_dispatchRequest, attempt.endpoint.id, observation);
}

void ProxiedRequest::refuse(const Refusal &refusal)
{
    refuse(refusal.status, refusal.reason, refusal.retryAfter);
}

void ProxiedRequest::refuse(int status, const char *reason, std::optional<Milliseconds> retryAfter)
{
    if (retryAfter && m_context.isolationDetector.isIsolated()) {
        retryAfter = std::max(*retryAfter, IsolatedRetryAfter);
    }
    m_context.metrics.add("flamingo_requests_refused_total", fmt::format("reason=\"{}\"", reason));
    const std::optional<RequestId> id = m_metadata.id.value().empty() ? std::nullopt : std::optional<RequestId>(m_metadata.id);
    m_connection->respond(status, platform::errorFields(status, id, retryAfter), {});
    finish(reason, status);
}

void ProxiedRequest::finish(const char *outcome, int status)
{
    if (m_isFinished) {
        return;
    }
    m_isFinished = true;
    const Instant now = std::chrono::steady_clock::now();
    m_context.timers.cancel(m_deadlineTimer);
    if (m_queuedCallId) {
        m_context.dispatchQueue.remove(*m_queuedCallId);
    }
    m_reservation.end(generatedTokens(), nullptr);
    m_forwardedBody.clear();
    const auto total = toMilliseconds(now - m_request.arrivedAt);
    m_context.metrics.observe("flamingo_request_milliseconds", static_cast<double>(total));
    m_context.metrics.add("flamingo_requests_total", fmt::format("outcome=\"{}\"", outcome));
    logChange("request-done",
              "id={} program={} workspace={} route={} version={} outcome={} status={} total_ms={} attempts={} events={}",
              m_metadata.id.value(),
              m_metadata.program ? m_metadata.program->value() : "-",
              m_admitted.workspace ? m_admitted.workspace->id.value() : "-",
              m_admitted.route.id.value(),
              m_context.routes.configuration().version.value(),
              outcome,
              status,
              total,
              m_attemptCount,
              m_stream.forwardedEvents());
    m_connection.reset();
}

Milliseconds ProxiedRequest::timeLeft(Instant now) const
{
    const auto left = std::chrono::duration_cast<Milliseconds>(m_admitted.deadline - now);
    return std::max(Milliseconds(1), left);
}

Tokens ProxiedRequest::generatedTokens() const
{
    return Tokens(m_stream.forwardedEvents() * m_admitted.tokensPerEvent);
}

} // namespace flamingo

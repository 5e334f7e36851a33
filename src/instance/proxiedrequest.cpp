#include "instance/proxiedrequest.h"

#include "core/digest.h"
#include "core/log.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// Endpoints that may turn a request down before the caller is told to come back.
constexpr int MaxRejections = 6;
/// Repeats at one endpoint after a kept connection broke without an answer.
constexpr int MaxResends = 2;
/// A kept connection is used for what must not be repeated only if it was in use just now, since the endpoint may be
/// closing it.
constexpr Milliseconds FreshIdle{300};
constexpr Milliseconds AnyIdle{60000};
constexpr Milliseconds EndpointConnectLimit{400};
/// An answer is given this much before the caller's time is over, so that it arrives.
constexpr Milliseconds AnswerMargin{15};
constexpr Milliseconds RetrySoon{300};
constexpr Milliseconds StoreRetry{500};
/// The balancer sends callers to other instances once this one has not been ready twice, a second apart.
constexpr Milliseconds RotationRetry{2000};
/// A repeatable request without a sign from its endpoint for so many objectives goes to another one.
constexpr int OverdueObjectives = 3;
constexpr Milliseconds LeastOverdue{250};
constexpr std::int64_t ExpectedShareOfMost = 2;
constexpr int MostUrgentEnginePriority = 3;
constexpr int LeastUrgentEnginePriority = 9;

PriorityClass priorityClass(int routePriority)
{
    return routePriority <= 0 ? PriorityClass::Urgent : PriorityClass::Normal;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// Whether an event comes after another; ids that aren't numbers are taken as they come.
bool isBehind(const std::string &event, const std::string &last)
{
    const auto isNumber = [](const std::string &text) {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    };
    if (!isNumber(event) || !isNumber(last)) {
        return true;
    }
    return event.size() != last.size() ? event.size() > last.size() : event > last;
}
} // namespace

Relay::Relay(RelayContext &context, ServerConnectionPtr connection, ServerRequest request)
    : m_context(context)
    , m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_facts(platform::decodeCall(m_request.head))
{
}

void Relay::start()
{
    m_connection->setGoneHandler([self = shared_from_this()] { self->onCallerGone(); });
    if (!m_context.routes.isLoaded()) {
        refuse(503, "no-configuration", RetrySoon);
        return;
    }
    const Route *route = m_context.routes.find(m_facts.host, m_facts.path);
    if (!route) {
        refuse(404, "no-route");
        return;
    }
    if (m_facts.id.value().empty()) {
        refuse(400, "no-attempt-id");
        return;
    }
    m_route = *route;
    const std::string &spreadBy = m_facts.session ? m_facts.session->value() : m_facts.id.value();
    m_pool = choosePool(m_route, stableHash(spreadBy, 0));
    const PoolInfo *pool = m_context.routes.pool(m_pool);
    m_tokensPerEvent = pool ? pool->tokensPerEvent : 1;
    Milliseconds limit = m_route.timeout.count() > 0 ? m_route.timeout : Milliseconds(60000);
    limit = std::min(limit, m_facts.timeLeft.value_or(limit));
    m_deadline = m_request.arrivedAt + limit;
    m_deadlineTimer = m_context.timers.at(m_deadline - AnswerMargin, [self = weak_from_this()](Instant) {
        if (const auto it = self.lock()) {
            it->m_deadlineTimer = 0;
            it->onTimeout();
        }
    });
    admit();
}

// Turns of programs ask the program's home for budget and history first; everything else goes straight on.
void Relay::admit()
{
    m_body = m_request.body;
    const bool hasBudget = m_facts.tokenBudget && m_facts.program && m_facts.maxOutputTokens;
    const bool needsHistory = m_route.isStateful && m_facts.previousTurn;
    if (!hasBudget && !needsHistory) {
        enqueue();
        return;
    }
    TurnBegin begin;
    begin.program = affinity();
    begin.session = m_facts.session;
    if (hasBudget) {
        begin.budget = m_facts.tokenBudget;
        begin.most = *m_facts.maxOutputTokens;
    }
    if (needsHistory) {
        begin.previous = m_facts.previousTurn;
    }
    m_context.homes.begin(begin, [self = shared_from_this(), reserved = begin.most](TurnGrant grant) {
        if (grant.verdict == BudgetVerdict::Reserved) {
            self->m_home = grant.home;
            self->m_reserved = reserved;
        }
        self->onGrant(std::move(grant));
    });
}

void Relay::onGrant(TurnGrant grant)
{
    m_cachedAt = grant.cachedAt;
    if (m_isOver) {
        reportEnd(Tokens(0), nullptr);
        return;
    }
    if (grant.verdict == BudgetVerdict::Exhausted) {
        refuse(402, "budget-spent");
    } else if (grant.verdict != BudgetVerdict::Reserved) {
        refuse(503, "budget-unsure", StoreRetry);
    } else if (grant.chain.status == TurnLookup::Status::Absent) {
        logChange("turn-unknown", "id={} previous={} home={}", m_facts.id.value(), m_facts.previousTurn->value(), grant.home.value());
        refuse(404, "no-such-turn");
    } else if (grant.chain.status == TurnLookup::Status::Unknown) {
        refuse(503, "history-unsure", StoreRetry);
    } else {
        m_ancestors = std::move(grant.chain.ids);
        m_body = grant.chain.text + m_request.body;
        enqueue();
    }
}

void Relay::reportEnd(Tokens used, TurnRecordPtr turn)
{
    if (m_home) {
        m_context.homes.end(*m_home, {affinity(), m_facts.session, m_reserved, used, m_cachedAt, std::move(turn)});
        m_home.reset();
    }
}

void Relay::enqueue()
{
    DispatchRequest call;
    call.program = affinity();
    call.pool = m_pool;
    call.priority = priorityClass(m_route.priority);
    call.arrivedAt = m_request.arrivedAt;
    call.deadline = m_deadline;
    call.promptTokens = m_facts.unsharedTokens();
    call.expectedAnswerTokens = Tokens(m_facts.maxOutputTokens.value_or(Tokens(0)).value() / ExpectedShareOfMost);
    call.isRepeatable = m_route.mayRepeat();
    call.isRetry = m_attempts > 0;
    call.failedEndpoints = m_waitingCall.failedEndpoints;
    if (m_cachedAt) {
        call.prefixEndpoint = m_cachedAt->endpoint;
        call.cachedPrefixTokens = m_cachedAt->tokens;
    }
    m_waitingCall = call;
    const auto queued = m_context.placement.enqueue(call, [self = shared_from_this()](const EndpointEntry &endpoint, const std::string &reason) {
        self->m_queued.reset();
        self->send(endpoint, reason);
    });
    if (!queued) {
        if (m_ranAt.empty() && !m_hasAnswerBegun) {
            refuse(503, errorInfo(queued.error().kind).name, queued.error().retryAfter.value_or(RetrySoon));
        } else {
            onBroken("no endpoint is left", false);
        }
        return;
    }
    if (!m_attempt && !m_isOver) {
        m_queued = *queued;
    }
}

LinkRequest Relay::buildCall(const EndpointEntry &endpoint, Instant now) const
{
    platform::SendFacts facts;
    facts.expected = endpoint.id;
    facts.timeLeft = timeLeft(now);
    if (m_facts.promptTokens) {
        facts.priority = std::min(MostUrgentEnginePriority + 2 * std::max(0, m_route.priority), LeastUrgentEnginePriority);
    }
    if (!m_lastEvent.empty()) {
        facts.lastEvent = m_lastEvent;
    }
    LinkRequest request;
    request.address = endpoint.address;
    request.head = platform::encodeCall(m_request.head, facts);
    request.body = m_body;
    request.maxIdle = m_route.mayRepeat() ? AnyIdle : FreshIdle;
    request.connectTimeout = EndpointConnectLimit;
    request.answerId = m_facts.id.value();
    request.answerIdField = platform::attemptIdField();
    return request;
}

void Relay::send(const EndpointEntry &endpoint, const std::string &reason)
{
    if (m_isOver) {
        m_context.placement.onFailed(m_waitingCall, endpoint.id, false);
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    m_attempt.emplace();
    m_attempt->endpoint = endpoint;
    m_attempt->sentAt = now;
    m_attempt->number = ++m_attempts;
    m_ranAt.insert(endpoint.id);
    logChange("request-sent",
              "id={} endpoint={} attempt={} waited_ms={} reason=\"{}\"",
              m_facts.id.value(),
              endpoint.id.value(),
              m_attempts,
              toMilliseconds(now - m_request.arrivedAt),
              reason);
    CallHandlers handlers;
    const auto self = shared_from_this();
    handlers.onHead = [self](const MessageHead &head) { self->onHead(head); };
    handlers.onBody = [self](std::string_view bytes) { self->onBody(bytes); };
    handlers.onComplete = [self] { self->onComplete(); };
    handlers.onFailure = [self](const CallFailure &failure) { self->onFailure(failure); };
    m_attempt->call = m_context.endpoints.call(buildCall(endpoint, now), std::move(handlers));
    const bool mayMove = m_route.mayRepeat() && (static_cast<int>(m_ranAt.size()) < m_route.maxAttempts);
    if (mayMove) {
        const Milliseconds overdue = std::max(LeastOverdue, m_route.latencyObjective * OverdueObjectives);
        m_attempt->overdueTimer = m_context.timers.at(now + overdue, [weak = weak_from_this(), number = m_attempts](Instant) {
            if (const auto it = weak.lock()) {
                it->onOverdue(number);
            }
        });
    }
}

void Relay::onHead(const MessageHead &head)
{
    m_attempt->head = head;
    m_attempt->facts = platform::decodeAnswer(head);
    if (m_attempt->facts.load) {
        m_context.placement.onLoad(m_attempt->endpoint.id, *m_attempt->facts.load);
    }
}

void Relay::onBody(std::string_view bytes)
{
    Attempt &attempt = *m_attempt;
    if (!attempt.firstPieceAt) {
        attempt.firstPieceAt = std::chrono::steady_clock::now();
    }
    const bool isUsable = isSuccess(attempt.head.status) && attempt.facts.hasSignature && !attempt.facts.isContentEncoded;
    if (m_route.kind == CallKind::Stream && isUsable) {
        onEvents(attempt.events.feed(bytes));
    } else {
        attempt.body += bytes;
    }
}

void Relay::onEvents(const std::vector<StreamEvent> &events)
{
    for (const StreamEvent &event : events) {
        if (!m_lastEvent.empty() && !isBehind(event.id, m_lastEvent)) {
            continue;
        }
        if (!m_hasAnswerBegun) {
            startAnswer();
        }
        passEvent(event);
    }
}

void Relay::startAnswer()
{
    constexpr long long UnknownLength = -1;
    m_hasAnswerBegun = true;
    m_connection->startStream(m_attempt->head.status, platform::encodeAnswer(m_attempt->head), UnknownLength);
}

void Relay::passEvent(const StreamEvent &event)
{
    ++m_attempt->eventCount;
    ++m_passedEvents;
    if (!event.id.empty()) {
        m_lastEvent = event.id;
    }
    if (m_route.isStateful) {
        m_output += event.data;
        m_output += '\n';
    }
    m_connection->write(event.bytes);
}

void Relay::onComplete()
{
    const Attempt &attempt = *m_attempt;
    if (attempt.facts.isNotExecuted) {
        onRejected();
        return;
    }
    const bool isGarbled = isSuccess(attempt.head.status) && (!attempt.facts.hasSignature || attempt.facts.isContentEncoded);
    const bool isServerError = attempt.head.status >= 500;
    if (isGarbled || (isServerError && (mayRunAgain() || m_hasAnswerBegun))) {
        onBroken(isGarbled ? "unsigned answer" : "endpoint error", false);
        return;
    }
    if (!isSuccess(attempt.head.status) && m_hasAnswerBegun) {
        onBroken("endpoint failed to go on", false);
        return;
    }
    if (isStreaming()) {
        finishStream();
    } else {
        finishAnswer();
    }
}

bool Relay::isStreaming() const
{
    return m_route.kind == CallKind::Stream && isSuccess(m_attempt->head.status);
}

void Relay::finishAnswer()
{
    const int status = m_attempt->head.status;
    const HeaderFields fields = platform::encodeAnswer(m_attempt->head);
    const std::string body = std::move(m_attempt->body);
    endAttempt(false);
    m_connection->respond(status, fields, body);
    finish("answered", status);
}

// The caller sees the end of a stateful turn only when the turn is kept, since from then on it may be continued.
void Relay::finishStream()
{
    if (!m_hasAnswerBegun) {
        startAnswer();
    }
    m_connection->write(m_attempt->events.rest());
    if (m_facts.promptTokens) {
        m_cachedAt = CachedPrefix{m_attempt->endpoint.id, m_facts.unsharedTokens() + generatedTokens()};
    }
    endAttempt(false);
    if (!m_route.isStateful) {
        m_connection->finishStream();
        finish("answered", 200);
        return;
    }
    auto turn = std::make_shared<TurnRecord>();
    turn->id = m_facts.id;
    turn->ancestors = m_ancestors;
    turn->input = std::move(m_request.body);
    turn->output = std::move(m_output);
    turn->retention = m_route.retention;
    reportEnd(generatedTokens(), turn);
    m_context.turns.save(turn, [self = shared_from_this()](bool isKept) {
        if (self->m_isOver) {
            return;
        }
        if (isKept) {
            self->m_connection->finishStream();
            self->finish("answered", 200);
        } else {
            self->m_connection->abort();
            self->finish("turn-not-kept", 0);
        }
    });
}

// The endpoint has not run the request, so any other may.
void Relay::onRejected()
{
    const EndpointId endpoint = m_attempt->endpoint.id;
    const bool isOther = m_attempt->facts.isFromOtherEndpoint;
    logChange("request-rejected", "id={} endpoint={} status={} other_instance={}", m_facts.id.value(), endpoint.value(), m_attempt->head.status, isOther);
    m_ranAt.erase(endpoint);
    m_waitingCall.failedEndpoints.insert(endpoint);
    endAttempt(true);
    if (++m_rejections <= MaxRejections) {
        enqueue();
    } else if (m_ranAt.empty() && !m_hasAnswerBegun) {
        refuse(503, "rejected-everywhere", m_context.placement.retryAfter(m_pool));
    } else {
        onBroken("rejected everywhere", false);
    }
}

void Relay::onFailure(const CallFailure &failure)
{
    const EndpointId endpoint = m_attempt->endpoint.id;
    if (failure.kind == CallFailure::Kind::NotSent) {
        logChange("endpoint-unreachable", "id={} endpoint={} reason=\"{}\"", m_facts.id.value(), endpoint.value(), failure.detail);
        m_ranAt.erase(endpoint);
        m_waitingCall.failedEndpoints.insert(endpoint);
        endAttempt(true);
        if (++m_rejections <= MaxRejections) {
            enqueue();
        } else if (m_ranAt.empty() && !m_hasAnswerBegun) {
            refuse(503, "endpoints-unreachable", RetrySoon);
        } else {
            onBroken("endpoints unreachable", false);
        }
        return;
    }
    onBroken(failure.detail, failure.wasReused);
}

bool Relay::mayRunAgain() const
{
    return m_route.mayRepeat() && static_cast<int>(m_ranAt.size()) < m_route.maxAttempts;
}

// The request may have run. Only where it may run more than once does it go on, else the caller learns that it broke off.
void Relay::onBroken(const std::string &reason, bool mayUseSameEndpoint)
{
    std::optional<EndpointEntry> last;
    if (m_attempt) {
        last = m_attempt->endpoint;
        logChange("attempt-broken", "id={} endpoint={} events={} reason=\"{}\"", m_facts.id.value(), last->id.value(), m_attempt->eventCount, reason);
        m_waitingCall.failedEndpoints.insert(last->id);
        endAttempt(!mayUseSameEndpoint);
    }
    const EndpointEntry *same = last && mayUseSameEndpoint ? m_context.directory.find(last->id) : nullptr;
    if (last && m_route.mayRepeat() && same && m_resends < MaxResends) {
        ++m_resends;
        m_waitingCall.failedEndpoints.erase(last->id);
        enqueue();
        return;
    }
    if (last && mayRunAgain()) {
        enqueue();
        return;
    }
    if (m_hasAnswerBegun) {
        m_connection->abort();
        finish("broken-off", 0);
    } else {
        refuse(502, "outcome-unknown");
    }
}

void Relay::onOverdue(std::uint64_t attempt)
{
    if (m_isOver || !m_attempt || m_attempt->number != attempt || m_attempt->firstPieceAt || !mayRunAgain()) {
        return;
    }
    m_attempt->overdueTimer = 0;
    m_attempt->call.cancel();
    onBroken("overdue", false);
}

void Relay::onTimeout()
{
    if (m_isOver) {
        return;
    }
    const bool hasRun = !m_ranAt.empty();
    if (m_attempt) {
        m_attempt->call.cancel();
        endAttempt(false);
    }
    if (m_hasAnswerBegun) {
        m_connection->abort();
        finish("timed-out", 0);
    } else if (hasRun) {
        refuse(504, "timed-out");
    } else {
        refuse(503, "timed-out-waiting", RetrySoon);
    }
}

void Relay::onCallerGone()
{
    if (m_isOver) {
        return;
    }
    if (m_attempt) {
        m_attempt->call.cancel();
        endAttempt(false);
    }
    finish("caller-gone", 0);
}

void Relay::endAttempt(bool isFault)
{
    if (!m_attempt) {
        return;
    }
    const Attempt attempt = std::move(*m_attempt);
    m_attempt.reset();
    if (attempt.overdueTimer != 0) {
        m_context.timers.cancel(attempt.overdueTimer);
    }
    const Instant now = std::chrono::steady_clock::now();
    const bool isWhole = !isFault && attempt.firstPieceAt && isSuccess(attempt.head.status);
    if (!isWhole) {
        m_context.placement.onFailed(m_waitingCall, attempt.endpoint.id, isFault);
        return;
    }
    CallObservation observation;
    observation.timeToFirstToken = std::chrono::duration_cast<Milliseconds>(*attempt.firstPieceAt - attempt.sentAt);
    observation.totalTime = std::chrono::duration_cast<Milliseconds>(now - attempt.sentAt);
    // The pace shows between the first event and the last.
    observation.generatedTokens = Tokens(attempt.eventCount == 0 ? 0 : 1 + (attempt.eventCount - 1) * m_tokensPerEvent);
    m_context.placement.onFinished(m_waitingCall, attempt.endpoint.id, observation);
}

void Relay::refuse(int status, const char *reason, std::optional<Milliseconds> retryAfter)
{
    if (retryAfter && m_context.isolation.isIsolated()) {
        retryAfter = std::max(*retryAfter, RotationRetry);
    }
    m_context.metrics.add("flamingo_requests_refused_total", fmt::format("reason=\"{}\"", reason));
    const std::optional<RequestId> id = m_facts.id.value().empty() ? std::nullopt : std::optional<RequestId>(m_facts.id);
    m_connection->respond(status, platform::refusalFields(id, retryAfter), {});
    finish(reason, status);
}

void Relay::finish(const char *outcome, int status)
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    const Instant now = std::chrono::steady_clock::now();
    if (m_deadlineTimer != 0) {
        m_context.timers.cancel(m_deadlineTimer);
    }
    if (m_queued) {
        m_context.placement.remove(*m_queued);
    }
    reportEnd(generatedTokens(), nullptr);
    const auto total = toMilliseconds(now - m_request.arrivedAt);
    m_context.metrics.observe("flamingo_request_milliseconds", static_cast<double>(total));
    m_context.metrics.add("flamingo_requests_total", fmt::format("outcome=\"{}\"", outcome));
    logChange("request-done",
              "id={} program={} route={} version={} outcome={} status={} total_ms={} attempts={} events={}",
              m_facts.id.value(),
              m_facts.program ? m_facts.program->value() : "-",
              m_route.id.value(),
              m_context.routes.configuration().version.value(),
              outcome,
              status,
              total,
              m_attempts,
              m_passedEvents);
    m_connection.reset();
}

Milliseconds Relay::timeLeft(Instant now) const
{
    const auto left = std::chrono::duration_cast<Milliseconds>(m_deadline - now);
    return std::max(Milliseconds(1), left);
}

Tokens Relay::generatedTokens() const
{
    return Tokens(m_passedEvents * m_tokensPerEvent);
}

// Turns of one program share their prompts, so they go where the program's last turn was.
ProgramId Relay::affinity() const
{
    if (m_facts.program) {
        return *m_facts.program;
    }
    return ProgramId(m_facts.affinityKey.empty() ? m_facts.id.value() : m_facts.affinityKey);
}

} // namespace flamingo

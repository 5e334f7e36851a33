#include "scheduler/callrunner.h"

#include "scheduler/prompt.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr Tokens DefaultMaxTokens{256};
constexpr Milliseconds DefaultDeadline{60000};
constexpr Milliseconds MinAttemptTimeout{50};
constexpr double MaxRetryBudget = 100;
/// The store counts as unavailable when records have waited for it this long.
constexpr Milliseconds StoreOutageThreshold{400};
/// Deltas of a stream over which the time per token is averaged.
constexpr unsigned DeltasPerSample = 8;
constexpr std::size_t MaxUncommittedRecords = 20000;
/// Attempt numbers of different processes must differ, since engines cancel by them. Each process counts up from a hash of its
/// instance and incarnation, shifted left by this many bits.
constexpr unsigned AttemptNumberShift = 20;

Digest requestDigest(const SubmitCall &request)
{
    return digestOf(fmt::format("{}\n{}\n{}\n{}", request.service, request.operation, request.maxTokens.value(), request.input));
}

Error ownershipLostError()
{
    return {ErrorKind::OwnershipLost, "another instance has taken the program over", std::nullopt};
}
} // namespace

CallRunner::CallRunner(SchedulerContext &context, ShardManager &shards, DecisionLog &log)
    : m_context(context)
    , m_shards(shards)
    , m_decisionLog(log)
    , m_lastAttemptId(stableHash(context.settings.instance.value() + context.settings.incarnation) << AttemptNumberShift)
{
}

void CallRunner::onSubmit(LinkId link, const SubmitCall &request)
{
    const auto owned = m_shards.findProgram(request.caller, request.program);
    if (!owned) {
        m_context.refuse(link, request.request, owned.error());
        return;
    }
    Shard &shard = *owned->shard;
    const Program &program = *owned->program;
    auto call = buildCall(request, program, shard.id());
    if (!call) {
        m_context.refuse(link, request.request, call.error());
        return;
    }
    const AgentSpec *agent = m_context.configuration.agent(program.start.agent);
    const auto admission =
        shard.table().admit({call->program, call->number, call->digest, call->maxCost}, {agent->maxTurns, agent->maxDuration}, m_context.nowMs);
    if (!admission) {
        m_context.refuse(link, request.request, admission.error());
        return;
    }
    if (const auto *replay = std::get_if<ReplayTurn>(&*admission)) {
        const Turn &turn = replay->turn;
        const bool isDurable = shard.isDurable(request.program);
        m_context.metrics.add("flamingo_answers_replayed_total");
        m_context.reply(link, AnswerDone{request.request, request.program, turn.number, turn.outcome, turn.digest, isDurable, {}});
    } else if (std::holds_alternative<AttachToRunningCall>(*admission)) {
        subscribe(m_calls.at(m_callByProgram.at(request.program)), link, request.request, request.wantsDeltas);
    } else {
        startCall(std::move(*call), shard, link, request);
    }
}

void CallRunner::onFetch(LinkId link, const FetchAnswer &request)
{
    const auto owned = m_shards.findProgram(request.caller, request.program);
    if (!owned) {
        m_context.refuse(link, request.request, owned.error());
        return;
    }
    Shard &shard = *owned->shard;
    const Program &program = *owned->program;
    const auto running = m_callByProgram.find(request.program);
    if (request.number.value() >= 1 && request.number < program.nextCallNumber()) {
        const Turn &turn = program.turns[request.number.value() - 1];
        const bool isDurable = shard.isDurable(request.program);
        m_context.reply(link, AnswerDone{request.request, request.program, turn.number, turn.outcome, turn.digest, isDurable, {}});
    } else if (running != m_callByProgram.end() && m_calls.at(running->second).number == request.number) {
        subscribe(m_calls.at(running->second), link, request.request, true);
    } else {
        m_context.refuse(link, request.request, {ErrorKind::NotFound, "no such call has been taken", std::nullopt});
    }
}

Result<void> CallRunner::fillServiceCall(RunningCall &call, const SubmitCall &request, const AgentSpec &agent) const
{
    const PoolSpec *pool = m_context.configuration.pool(PoolId(request.service));
    if (!pool || pool->isModel || agent.services.count(request.service) == 0) {
        return failure(ErrorKind::UnknownPool, fmt::format("the agent has no service {}", request.service));
    }
    const auto operation = pool->operations.find(request.operation);
    if (operation == pool->operations.end()) {
        return failure(ErrorKind::UnknownPool, fmt::format("{} has no operation {}", request.service, request.operation));
    }
    call.dispatchRequest.pool = PoolId(request.service);
    call.isRepeatable = operation->second.isRepeatable && !request.mustNotRepeat;
    call.serviceCost = operation->second.cost;
    call.maxCost = operation->second.cost;
    call.requestBody = request.input;
    call.input = fmt::format(R"({{"service":{},"operation":{},"body":{}}})", dumpJson(request.service), dumpJson(request.operation), request.input);
    return {};
}

void CallRunner::fillModelCall(RunningCall &call, const SubmitCall &request, const AgentSpec &agent, const Program &program) const
{
    call.dispatchRequest.pool = agent.pool;
    call.isRepeatable = !request.mustNotRepeat;
    call.maxTokens = request.maxTokens > Tokens(0) ? request.maxTokens : DefaultMaxTokens;
    call.input = fmt::format(R"({{"messages":{}}})", request.input);
    const Tokens promptTokens = maxPromptTokens(agent, program, call.input);
    call.maxCost = promptTokens + call.maxTokens;
    call.dispatchRequest.promptTokens = promptTokens;
    call.dispatchRequest.expectedAnswerTokens = call.maxTokens;
}

Result<RunningCall> CallRunner::buildCall(const SubmitCall &request, const Program &program, ShardId shard) const
{
    const AgentSpec *agent = m_context.configuration.agent(program.start.agent);
    if (!agent) {
        return failure(ErrorKind::UnknownAgent, fmt::format("there is no agent {}", program.start.agent.value()));
    }
    RunningCall call;
    call.shard = shard;
    call.program = request.program;
    call.number = request.number.value_or(program.nextCallNumber());
    call.digest = requestDigest(request);
    call.service = request.service;
    call.operation = request.operation;
    call.startedAt = m_context.now;
    if (request.service.empty()) {
        fillModelCall(call, request, *agent, program);
    } else {
        const auto filled = fillServiceCall(call, request, *agent);
        if (!filled) {
            return tl::make_unexpected(filled.error());
        }
    }
    DispatchRequest &dispatchRequest = call.dispatchRequest;
    dispatchRequest.program = request.program;
    dispatchRequest.priority = program.start.priority;
    dispatchRequest.isRepeatable = call.isRepeatable;
    dispatchRequest.arrivedAt = m_context.now;
    dispatchRequest.deadline = m_context.now + (request.deadlineMs > 0 ? Milliseconds(request.deadlineMs) : DefaultDeadline);
    return call;
}

void CallRunner::subscribe(RunningCall &call, LinkId link, RequestNumber request, bool wantsDeltas)
{
    call.subscribers.push_back({link, request, wantsDeltas});
    if (wantsDeltas && !call.deliveredText.empty()) {
        m_context.reply(link, AnswerDelta{request, 0, call.deliveredText});
    }
}

void CallRunner::startCall(RunningCall call, Shard &shard, LinkId link, const SubmitCall &request)
{
    if (shard.isHandingOver()) {
        m_context.refuse(link, request.request, {ErrorKind::NotOwner, "the shard is being handed over", std::nullopt});
        return;
    }
    if (shard.uncommittedRecords() > MaxUncommittedRecords) {
        m_context.refuse(link, request.request, {ErrorKind::StoreUnavailable, "too many turns wait for the store", Milliseconds(1000)});
        return;
    }
    call.id = CallId(++m_lastCallId);
    call.dispatchRequest.id = call.id;
    const auto attained = m_attainedServiceByProgram.find(call.program);
    call.dispatchRequest.attainedService = attained == m_attainedServiceByProgram.end() ? Milliseconds(0) : attained->second;
    call.subscribers.push_back({link, request.request, request.wantsDeltas});
    shard.table().setRunningRequest(call.program, call.digest);
    const auto it = m_calls.emplace(call.id, std::move(call)).first;
    m_callByProgram[it->second.program] = it->first;
    m_context.metrics.add("flamingo_calls_total", it->second.service.empty() ? "kind=\"model\"" : "kind=\"service\"");
    recordIntent(it->second, shard);
}

// The claim and the budget reservation are committed to the journal before the call is sent. A program whose start isn't
// committed yet is known to this owner alone, so its repeatable calls need not wait for the reservation.
void CallRunner::recordIntent(RunningCall &call, Shard &shard)
{
    const bool isKnownHereOnly = !shard.isStartDurable(call.program);
    if (!shard.table().isBudgetReserved(call.program, call.maxCost)) {
        const auto reserved = shard.appendRecord(shard.table().nextReservation(call.program, call.maxCost));
        if (reserved && !isKnownHereOnly) {
            call.awaitedRecord = *reserved;
        }
    }
    if (!call.isRepeatable) {
        const auto claimed = shard.appendRecord(CallClaimed{call.program, call.number, call.digest});
        if (!claimed) {
            refuse(call, claimed.error());
            return;
        }
        call.awaitedRecord = *claimed;
    }
    if (shard.isCommitted(call.awaitedRecord)) {
        enqueue(call);
    }
}

void CallRunner::onCommitted(Shard &shard)
{
    std::vector<CallId> ids;
    for (const auto &[id, call] : m_calls) {
        const bool isWaiting = call.stage == RunningCall::Stage::Journalling || call.stage == RunningCall::Stage::Committing;
        if (isWaiting && call.shard == shard.id() && shard.isCommitted(call.awaitedRecord)) {
            ids.push_back(id);
        }
    }
    for (const CallId id : ids) {
        RunningCall &call = m_calls.at(id);
        if (call.stage == RunningCall::Stage::Journalling) {
            enqueue(call);
        } else {
            sendAnswer(call, true);
        }
    }
}

void CallRunner::enqueue(RunningCall &call)
{
    call.stage = RunningCall::Stage::Queued;
    const auto queued = m_context.dispatcher.enqueue(call.dispatchRequest, m_context.now);
    if (!queued) {
        failCall(call, queued.error().kind, queued.error().detail);
    }
}

// If no attempt can have run, the call is refused as not run, and its claim is withdrawn before the subscribers are told.
// Otherwise the call is repeatable: a call that must not be repeated is never queued again after an attempt that may have run.
void CallRunner::failCall(RunningCall &call, ErrorKind kind, const std::string &detail)
{
    logDecision(call, fmt::format("refused: {}: {}", errorInfo(kind).name, detail));
    if (call.mayHaveRun) {
        refuse(call, {ErrorKind::EndpointFailed, detail, std::nullopt});
        return;
    }
    Shard *shard = shardOfCall(call);
    if (shard && !call.isRepeatable) {
        (void)shard->appendRecord(ClaimWithdrawn{call.program, call.number});
    }
    refuse(call, {kind, detail, m_context.dispatcher.retryAfter(call.dispatchRequest.pool)});
}

void CallRunner::startAttempt(RunningCall &call, const EndpointId &endpoint, const std::string &reason)
{
    const EndpointSpec *spec = m_context.configuration.endpoint(endpoint);
    Shard *shard = shardOfCall(call);
    const Program *program = shard ? shard->table().find(call.program) : nullptr;
    const AgentSpec *agent = program ? m_context.configuration.agent(program->start.agent) : nullptr;
    if (!spec || !agent) {
        m_context.dispatcher.onAttemptFailed(call.dispatchRequest, endpoint, false, m_context.now);
        if (call.attempts.empty()) {
            failCall(call, ErrorKind::NoEndpoint, "the endpoint or the agent has been removed");
        }
        return;
    }
    Attempt attempt;
    attempt.id = AttemptId(++m_lastAttemptId);
    attempt.endpoint = endpoint;
    attempt.sentAt = m_context.now;
    attempt.resumeOffset = call.deliveredText.size();
    EndpointRequest request;
    request.attempt = attempt.id;
    request.endpoint = endpoint;
    request.address = spec->address;
    request.isModel = call.service.empty();
    request.program = call.program;
    request.number = call.number;
    request.fence = shard->fence();
    request.priority = m_context.settings.rules.usesPriority ? call.dispatchRequest.priority : PriorityClass::Normal;
    request.operation = call.operation;
    request.body = request.isModel ? buildPrompt(*agent, *program, call.input) : call.requestBody;
    request.maxTokens = call.maxTokens;
    request.resumeText = call.deliveredText;
    request.timeout = std::max(MinAttemptTimeout, std::chrono::duration_cast<Milliseconds>(call.dispatchRequest.deadline - m_context.now));
    call.stage = RunningCall::Stage::Sent;
    ++call.attemptCount;
    call.attempts.push_back(attempt);
    m_callByAttempt[attempt.id] = call.id;
    m_context.metrics.add("flamingo_attempts_total");
    logDecision(call, fmt::format("call {} sent to {}: {}", call.number.value(), endpoint.value(), reason));
    m_context.actions.emplace_back(StartAttempt{std::move(request)});
}

void CallRunner::onDelta(AttemptId attemptId, const std::string &text)
{
    RunningCall *call = findByAttempt(attemptId);
    if (!call) {
        return;
    }
    const auto it = std::find_if(call->attempts.begin(), call->attempts.end(), [&](const Attempt &attempt) { return attempt.id == attemptId; });
    if (!it->firstTokenAt) {
        it->firstTokenAt = m_context.now;
        m_context.metrics.observe("flamingo_first_token_milliseconds", std::chrono::duration<double, std::milli>(m_context.now - call->startedAt).count());
        cancelOtherAttempts(*call, attemptId);
    }
    const std::size_t offset = call->deliveredText.size();
    call->deliveredText += text;
    for (const Subscriber &subscriber : call->subscribers) {
        if (subscriber.wantsDeltas) {
            m_context.reply(subscriber.link, AnswerDelta{subscriber.request, offset, text});
        }
    }
    ++call->deliveredDeltas;
    if (observeTokenTime(call->attempts.front())) {
        moveIfSlow(*call);
    }
}

// An engine sends a delta for each token, so the time between deltas is the time per token.
bool CallRunner::observeTokenTime(Attempt &attempt)
{
    if (attempt.deltasInSample == 0) {
        attempt.sampleStartedAt = m_context.now;
    }
    if (++attempt.deltasInSample <= DeltasPerSample) {
        return false;
    }
    const std::chrono::duration<double, std::milli> elapsed = m_context.now - attempt.sampleStartedAt;
    m_context.dispatcher.onTokenTimeObserved(attempt.endpoint, elapsed.count() / DeltasPerSample, m_context.now);
    attempt.deltasInSample = 0;
    return true;
}

void CallRunner::moveIfSlow(RunningCall &call)
{
    const Attempt slow = call.attempts.front();
    const auto target = m_context.dispatcher.tryMove(call.dispatchRequest, slow.endpoint, Tokens(call.deliveredDeltas), m_context.now);
    if (!target) {
        return;
    }
    m_context.metrics.add("flamingo_moves_total");
    call.mayHaveRun = true;
    cancelOtherAttempts(call, AttemptId());
    startAttempt(call, *target, fmt::format("moved from {}, which is slow", slow.endpoint.value()));
}

void CallRunner::cancelOtherAttempts(RunningCall &call, AttemptId winner)
{
    for (const Attempt &attempt : call.attempts) {
        if (attempt.id != winner) {
            m_context.dispatcher.onAttemptFailed(call.dispatchRequest, attempt.endpoint, false, m_context.now);
            m_context.actions.emplace_back(CancelAttempt{attempt.id});
            m_callByAttempt.erase(attempt.id);
            m_context.metrics.add("flamingo_attempts_cancelled_total");
        }
    }
    call.attempts.erase(std::remove_if(call.attempts.begin(), call.attempts.end(), [&](const Attempt &attempt) { return attempt.id != winner; }),
                        call.attempts.end());
}

void CallRunner::onResult(const EndpointResult &result)
{
    RunningCall *call = findByAttempt(result.attempt);
    if (!call) {
        m_context.metrics.add("flamingo_late_results_total");
        return;
    }
    m_callByAttempt.erase(result.attempt);
    const auto it = std::find_if(call->attempts.begin(), call->attempts.end(), [&](const Attempt &attempt) { return attempt.id == result.attempt; });
    const Attempt attempt = *it;
    call->attempts.erase(it);
    if (result.status == EndpointResult::Status::Answered) {
        onAnswered(*call, attempt, result);
    } else {
        onUnanswered(*call, attempt, result);
    }
}

void CallRunner::onAnswered(RunningCall &call, const Attempt &attempt, const EndpointResult &result)
{
    cancelOtherAttempts(call, attempt.id);
    CallObservation observation;
    observation.totalTime = std::chrono::duration_cast<Milliseconds>(m_context.now - attempt.sentAt);
    observation.timeToFirstToken = std::chrono::duration_cast<Milliseconds>(attempt.firstTokenAt.value_or(m_context.now) - attempt.sentAt);
    observation.uncachedPromptTokens = result.promptTokens - result.cachedTokens;
    observation.generatedTokens = result.completionTokens;
    m_context.dispatcher.onAttemptFinished(call.dispatchRequest, attempt.endpoint, observation, m_context.now);
    Outcome outcome;
    if (call.service.empty()) {
        outcome.text = call.deliveredText.substr(0, attempt.resumeOffset) + result.text;
        outcome.cost = result.promptTokens + result.completionTokens;
        outcome.contextTokens = outcome.cost;
        m_context.dispatcher.onPrefixCached(call.program, attempt.endpoint, outcome.contextTokens);
        m_context.metrics.add("flamingo_prompt_tokens_total", {}, static_cast<std::uint64_t>(result.promptTokens.value()));
        m_context.metrics.add("flamingo_cached_tokens_total", {}, static_cast<std::uint64_t>(result.cachedTokens.value()));
    } else {
        outcome.text = result.text;
        outcome.cost = call.serviceCost;
        outcome.contextTokens = call.dispatchRequest.promptTokens;
    }
    commitTurn(call, outcome, attempt.endpoint.value());
}

void CallRunner::onUnanswered(RunningCall &call, const Attempt &attempt, const EndpointResult &result)
{
    using Status = EndpointResult::Status;
    const bool isNotRun = result.status == Status::NotSent || result.status == Status::Refused || result.status == Status::Leaving;
    const bool isFault = result.status == Status::NotSent || result.status == Status::OutcomeUnknown;
    call.mayHaveRun = call.mayHaveRun || !isNotRun;
    m_context.dispatcher.onAttemptFailed(call.dispatchRequest, attempt.endpoint, isFault, m_context.now);
    if (result.status == Status::Leaving) {
        m_context.dispatcher.markLeaving(attempt.endpoint);
    }
    if (!call.attempts.empty()) {
        return;
    }
    if (result.status == Status::Rejected) {
        Outcome outcome;
        outcome.text = result.text;
        outcome.error = errorInfo(ErrorKind::EndpointRejected).name;
        outcome.cost = call.serviceCost;
        outcome.contextTokens = call.dispatchRequest.promptTokens;
        commitTurn(call, outcome, attempt.endpoint.value());
        return;
    }
    if (mayRetry(call, isNotRun)) {
        static const std::map<Status, std::string> reasons = {{Status::NotSent, "not-sent"},
                                                              {Status::Refused, "refused"},
                                                              {Status::Leaving, "leaving"},
                                                              {Status::OutcomeUnknown, "lost"},
                                                              {Status::Cancelled, "cancelled"}};
        retry(call, attempt.endpoint, reasons.at(result.status));
        return;
    }
    if (isNotRun) {
        failCall(call, ErrorKind::NoEndpoint, result.detail);
    } else if (call.isRepeatable) {
        refuse(call, {ErrorKind::EndpointFailed, result.detail, std::nullopt});
    } else {
        Outcome outcome;
        outcome.error = errorInfo(ErrorKind::OutcomeUnknown).name;
        outcome.cost = call.maxCost;
        outcome.contextTokens = call.dispatchRequest.promptTokens;
        commitTurn(call, outcome, attempt.endpoint.value());
    }
}

bool CallRunner::mayRetry(const RunningCall &call, bool isSurelyNotRun) const
{
    const bool isSafe = call.isRepeatable || isSurelyNotRun;
    return isSafe && call.attemptCount < m_context.settings.maxAttempts && m_retryBudget >= 1 && call.dispatchRequest.deadline > m_context.now;
}

void CallRunner::retry(RunningCall &call, const EndpointId &failedAt, const std::string &reason)
{
    m_retryBudget -= 1;
    m_context.metrics.addRetry(reason);
    logDecision(call, fmt::format("call {} is tried again after {} at {}", call.number.value(), reason, failedAt.value()));
    call.dispatchRequest.failedEndpoints.insert(failedAt);
    call.dispatchRequest.isRetry = true;
    enqueue(call);
}

void CallRunner::commitTurn(RunningCall &call, Outcome outcome, const std::string &endpoint)
{
    Shard *shard = shardOfCall(call);
    if (!shard) {
        refuse(call, ownershipLostError());
        return;
    }
    const Program *program = shard->table().find(call.program);
    call.outcome = std::move(outcome);
    if (!call.service.empty()) {
        // The engine counts the tokens of this text with the next prompt. Until then its bytes stand in for its tokens.
        call.outcome.contextTokens = program->contextTokens() + Tokens(static_cast<std::int64_t>(call.outcome.text.size()));
    }
    call.answeringEndpoint = endpoint;
    call.finishedAt = m_context.now;
    m_attainedServiceByProgram[call.program] += std::chrono::duration_cast<Milliseconds>(m_context.now - call.startedAt);
    m_retryBudget = std::min(MaxRetryBudget, m_retryBudget + m_context.settings.retryRatio);
    const auto appended = shard->appendRecord(TurnCommitted{call.program, call.number, call.digest, program->historyDigest, call.input, call.outcome});
    shard->table().setRunningRequest(call.program, std::nullopt);
    m_callByProgram.erase(call.program);
    if (!appended) {
        refuse(call, appended.error());
        return;
    }
    call.awaitedRecord = *appended;
    call.stage = RunningCall::Stage::Committing;
    if (shard->stalledFor(m_context.now) > StoreOutageThreshold) {
        sendAnswer(call, false);
    }
}

void CallRunner::sendAnswer(RunningCall &call, bool isDurable)
{
    Shard *shard = shardOfCall(call);
    const Program *program = shard ? shard->table().find(call.program) : nullptr;
    const Digest digest = program && program->turns.size() >= call.number.value() ? program->turns[call.number.value() - 1].digest : Digest();
    for (const Subscriber &subscriber : call.subscribers) {
        m_context.reply(subscriber.link, AnswerDone{subscriber.request, call.program, call.number, call.outcome, digest, isDurable, call.answeringEndpoint});
    }
    m_context.metrics.add("flamingo_answers_total", isDurable ? "durable=\"true\"" : "durable=\"false\"");
    m_context.metrics.observe("flamingo_call_milliseconds", std::chrono::duration<double, std::milli>(m_context.now - call.startedAt).count());
    eraseCall(call.id);
}

void CallRunner::refuse(RunningCall &call, const Error &error)
{
    for (const Subscriber &subscriber : call.subscribers) {
        m_context.refuse(subscriber.link, subscriber.request, error);
    }
    eraseCall(call.id);
}

void CallRunner::eraseCall(CallId id)
{
    const auto it = m_calls.find(id);
    RunningCall &call = it->second;
    for (const Attempt &attempt : call.attempts) {
        m_context.dispatcher.onAttemptFailed(call.dispatchRequest, attempt.endpoint, false, m_context.now);
        m_callByAttempt.erase(attempt.id);
        if (call.isRepeatable) {
            m_context.actions.emplace_back(CancelAttempt{attempt.id});
        }
    }
    const auto running = m_callByProgram.find(call.program);
    if (running != m_callByProgram.end() && running->second == id) {
        m_callByProgram.erase(running);
        if (Shard *shard = shardOfCall(call)) {
            shard->table().setRunningRequest(call.program, std::nullopt);
        }
    }
    m_calls.erase(it);
}

void CallRunner::onLinkDown(LinkId link)
{
    for (auto &[id, call] : m_calls) {
        auto &subscribers = call.subscribers;
        subscribers.erase(std::remove_if(subscribers.begin(), subscribers.end(), [&](const Subscriber &subscriber) { return subscriber.link == link; }),
                          subscribers.end());
    }
}

// A call that must not be repeated may finish at its endpoint, but its outcome can no longer be committed: the new owner
// reports that it may have run. The entry processes send repeatable calls to the new owner, where they run again.
void CallRunner::onShardLost(ShardId shard)
{
    std::vector<CallId> ids;
    for (const auto &[id, call] : m_calls) {
        if (call.shard == shard) {
            ids.push_back(id);
        }
    }
    for (const CallId id : ids) {
        RunningCall &call = m_calls.at(id);
        m_context.dispatcher.remove(id);
        refuse(call, ownershipLostError());
    }
}

void CallRunner::dispatchWaiting()
{
    for (const DispatchDecision &decision : m_context.dispatcher.nextDecisions(m_context.now)) {
        if (RunningCall *call = findCall(decision.call)) {
            startAttempt(*call, decision.endpoint, decision.reason);
        }
    }
}

void CallRunner::checkOverdue()
{
    expireOverdue();
    hedgeOverdue();
}

void CallRunner::forgetProgram(const ProgramId &program)
{
    m_attainedServiceByProgram.erase(program);
}

void CallRunner::expireOverdue()
{
    for (const CallId id : m_context.dispatcher.takeExpiredCalls(m_context.now)) {
        if (RunningCall *call = findCall(id)) {
            failCall(*call, ErrorKind::DeadlineUnreachable, "the deadline passed in the queue");
        }
    }
    std::vector<CallId> overdue;
    for (const auto &[id, call] : m_calls) {
        const bool isUnsent = call.stage == RunningCall::Stage::Journalling && m_context.now > call.dispatchRequest.deadline;
        const bool isUncommitted = call.stage == RunningCall::Stage::Committing && m_context.now - call.finishedAt > m_context.settings.commitWait;
        if (isUnsent || isUncommitted) {
            overdue.push_back(id);
        }
    }
    for (const CallId id : overdue) {
        RunningCall &call = m_calls.at(id);
        if (call.stage == RunningCall::Stage::Committing) {
            sendAnswer(call, false);
        } else {
            failCall(call, call.isRepeatable ? ErrorKind::BudgetUnconfirmed : ErrorKind::StoreUnavailable, "the journal could not be written in time");
        }
    }
}

void CallRunner::hedgeOverdue()
{
    for (auto &[id, call] : m_calls) {
        const bool mayHedge = call.stage == RunningCall::Stage::Sent && call.attempts.size() == 1 && call.isRepeatable && !call.attempts[0].firstTokenAt;
        if (!mayHedge) {
            continue;
        }
        const Attempt &first = call.attempts[0];
        const auto second = m_context.dispatcher.tryHedge(call.dispatchRequest, first.endpoint, first.sentAt, m_context.now);
        if (second) {
            m_context.metrics.add("flamingo_hedges_total");
            startAttempt(call, *second, "hedge");
        }
    }
}

bool CallRunner::hasRunningCall(const ProgramId &program) const
{
    return m_callByProgram.count(program) != 0;
}

bool CallRunner::isBusy(ShardId shard) const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto &item) { return item.second.shard == shard; });
}

std::size_t CallRunner::callCount() const
{
    return m_calls.size();
}

void CallRunner::logDecision(const RunningCall &call, std::string decision)
{
    m_decisionLog.add(call.program, m_context.nowMs, std::move(decision));
}

RunningCall *CallRunner::findCall(CallId id)
{
    const auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : &it->second;
}

RunningCall *CallRunner::findByAttempt(AttemptId attempt)
{
    const auto it = m_callByAttempt.find(attempt);
    return it == m_callByAttempt.end() ? nullptr : findCall(it->second);
}

Shard *CallRunner::shardOfCall(const RunningCall &call)
{
    return m_shards.findOwned(call.shard);
}

} // namespace flamingo

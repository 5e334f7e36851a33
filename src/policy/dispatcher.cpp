#include "policy/dispatcher.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr double MaxHedgeBudget = 5.0;
constexpr double HedgeDelayFactor = 3.0;
constexpr double HedgeSlackMs = 150.0;
/// A stream is moved only if that saves at least this much.
constexpr double MinMoveGainMs = 400.0;
constexpr Milliseconds MinRetryAfter{200};
constexpr Milliseconds MaxRetryAfter{10000};
} // namespace

Dispatcher::Dispatcher(PolicyRules rules, DomainId ownDomain)
    : m_rules(rules)
    , m_chooser(rules, std::move(ownDomain))
{
}

void Dispatcher::setEndpoints(const std::vector<EndpointInfo> &endpoints, int dispatcherCount)
{
    std::map<EndpointId, EndpointState> known;
    for (auto &[id, pool] : m_pools) {
        for (const PoolEndpoint &endpoint : pool.endpointPool.endpoints) {
            known.emplace(endpoint.info.id, endpoint.state);
        }
        pool.endpointPool.endpoints.clear();
    }
    m_poolOfEndpoint.clear();
    for (const EndpointInfo &info : endpoints) {
        const auto it = known.find(info.id);
        EndpointState state = it == known.end() ? EndpointState(info.slots, dispatcherCount) : it->second;
        state.setCapacity(info.slots, dispatcherCount);
        m_pools[info.pool].endpointPool.endpoints.push_back({info, state});
        m_poolOfEndpoint[info.id] = info.pool;
    }
}

PoolEndpoint *Dispatcher::findEndpoint(const EndpointId &id)
{
    const auto it = m_poolOfEndpoint.find(id);
    return it == m_poolOfEndpoint.end() ? nullptr : m_pools.at(it->second).endpointPool.find(id);
}

void Dispatcher::setDispatchers(std::size_t count, std::uint64_t seed)
{
    m_chooser.setDispatchers(count, seed);
}

void Dispatcher::setUnreachableDomains(std::set<DomainId> domains)
{
    m_chooser.setUnreachableDomains(std::move(domains));
}

void Dispatcher::markLeaving(const EndpointId &endpoint)
{
    if (PoolEndpoint *it = findEndpoint(endpoint)) {
        it->info.isLeaving = true;
    }
}

std::size_t Dispatcher::queueLimit(PriorityClass priority) const
{
    if (!m_rules.refusesEarly) {
        return m_rules.maxQueueLength;
    }
    return m_rules.maxQueueLength * static_cast<std::size_t>(PriorityClassCount - static_cast<int>(priority)) / PriorityClassCount;
}

Result<void> Dispatcher::enqueue(DispatchRequest &call, Instant now)
{
    Pool &pool = m_pools[call.pool];
    if (!pool.endpointPool.hasUsableEndpoint(call)) {
        return failure(ErrorKind::NoEndpoint, fmt::format("no endpoint serves {}", call.pool.value()));
    }
    if (!call.isRetry) {
        if (pool.queue.size() >= queueLimit(call.priority)) {
            return tl::make_unexpected(Error{ErrorKind::Overloaded, "too many calls wait", retryAfter(call.pool)});
        }
        pool.endpointPool.updateStatistics(now);
        const auto wait = Milliseconds(static_cast<std::int64_t>(expectedWaitMs(call, pool)));
        if (m_rules.refusesEarly && now + wait > call.deadline) {
            return tl::make_unexpected(Error{ErrorKind::DeadlineUnreachable, fmt::format("the expected wait is {} ms", wait.count()), retryAfter(call.pool)});
        }
        m_hedgeBudget = std::min(MaxHedgeBudget, m_hedgeBudget + m_rules.hedgeRatio);
    }
    call.isLong = isLong(call, pool);
    pool.queue.push_back(call);
    return {};
}

std::vector<CallId> Dispatcher::takeUnservable()
{
    std::vector<CallId> calls;
    for (auto &[id, pool] : m_pools) {
        const auto firstUnservable = std::stable_partition(
            pool.queue.begin(), pool.queue.end(), [&endpoints = pool.endpointPool](const DispatchRequest &call) { return endpoints.hasUsableEndpoint(call); });
        for (auto it = firstUnservable; it != pool.queue.end(); ++it) {
            calls.push_back(it->id);
        }
        pool.queue.erase(firstUnservable, pool.queue.end());
    }
    return calls;
}

bool Dispatcher::remove(CallId call)
{
    for (auto &[id, pool] : m_pools) {
        const auto it = std::find_if(pool.queue.begin(), pool.queue.end(), [&](const DispatchRequest &waiting) { return waiting.id == call; });
        if (it != pool.queue.end()) {
            pool.queue.erase(it);
            return true;
        }
    }
    return false;
}

double Dispatcher::expectedWaitMs(const DispatchRequest &call, const Pool &pool) const
{
    double slots = 0;
    int running = 0;
    for (const PoolEndpoint &endpoint : pool.endpointPool.endpoints) {
        if (!endpoint.info.isLeaving) {
            slots += endpoint.state.concurrencyLimit(m_rules);
            running += endpoint.state.runningCalls();
        }
    }
    const auto ahead = std::count_if(
        pool.queue.begin(), pool.queue.end(), [&](const DispatchRequest &waiting) { return !m_rules.usesPriority || waiting.priority <= call.priority; });
    const double freeSlots = std::max(0.0, slots - running);
    const double queuedAhead = std::max(0.0, static_cast<double>(ahead) + 1 - freeSlots);
    return queuedAhead * pool.endpointPool.meanServiceTimeMs / std::max(1.0, slots);
}

bool Dispatcher::isLong(const DispatchRequest &call, const Pool &pool) const
{
    const double expectedMs = pool.endpointPool.medianMsPerToken * static_cast<double>(call.expectedAnswerTokens.value());
    return expectedMs > static_cast<double>(m_rules.longCallThreshold.count());
}

bool Dispatcher::mayTakeSlot(const DispatchRequest &call, const Pool &pool) const
{
    double slots = 0;
    int running = 0;
    int runningLong = 0;
    for (const PoolEndpoint &endpoint : pool.endpointPool.endpoints) {
        const EndpointState &state = endpoint.state;
        slots += state.concurrencyLimit(m_rules);
        running += state.runningCalls();
        runningLong += state.runningLongCalls();
    }
    if (m_rules.reservesUrgentSlots && call.priority != PriorityClass::Urgent && running > 0 && running + 1 > slots * (1 - m_rules.urgentSlotShare)) {
        return false;
    }
    if (m_rules.limitsLongCalls && call.isLong && runningLong > 0 && runningLong + 1 > slots * m_rules.longCallSlotShare) {
        return false;
    }
    return true;
}

void Dispatcher::dispatchPool(Pool &pool, Instant now, std::vector<DispatchDecision> &decisions)
{
    EndpointPool &endpoints = pool.endpointPool;
    if (pool.queue.empty() || endpoints.endpoints.empty()) {
        return;
    }
    endpoints.updateStatistics(now);
    if (!endpoints.hasFreeSlot(m_rules)) {
        return;
    }
    std::set<std::size_t, std::greater<>> takenIndexes;
    for (const std::size_t n : firstCalls(pool.queue, m_rules, now)) {
        const DispatchRequest &call = pool.queue[n];
        if (!mayTakeSlot(call, pool)) {
            continue;
        }
        const EndpointChoice choice = m_chooser.choose(call, knownPrefix(call), endpoints, now);
        if (choice.endpoint) {
            pool.endpointPool.find(*choice.endpoint)->state.beginCall(call.isLong, now);
            decisions.push_back({call.id, *choice.endpoint, choice.reason});
            takenIndexes.insert(n);
        } else if (!choice.waitsForAffinity && !call.requiredVersion) {
            break;
        }
    }
    for (const std::size_t n : takenIndexes) {
        pool.queue.erase(pool.queue.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

std::vector<DispatchDecision> Dispatcher::nextDecisions(Instant now)
{
    std::vector<DispatchDecision> decisions;
    for (auto &[id, pool] : m_pools) {
        dispatchPool(pool, now, decisions);
    }
    return decisions;
}

std::vector<CallId> Dispatcher::takeExpiredCalls(Instant now)
{
    std::vector<CallId> expired;
    for (auto &[id, pool] : m_pools) {
        const auto it = std::stable_partition(pool.queue.begin(), pool.queue.end(), [&](const DispatchRequest &call) { return call.deadline > now; });
        for (auto late = it; late != pool.queue.end(); ++late) {
            expired.push_back(late->id);
        }
        pool.queue.erase(it, pool.queue.end());
    }
    return expired;
}

std::optional<EndpointId> Dispatcher::takeSlotElsewhere(const DispatchRequest &call, const EndpointId &from, Pool &pool, Instant now)
{
    DispatchRequest other = call;
    other.failedEndpoints.insert(from);
    other.arrivedAt = now - m_rules.maxAffinityWait;
    const EndpointChoice choice = m_chooser.choose(other, knownPrefix(other), pool.endpointPool, now);
    if (!choice.endpoint || *choice.endpoint == from) {
        return std::nullopt;
    }
    m_hedgeBudget -= 1;
    pool.endpointPool.find(*choice.endpoint)->state.beginCall(call.isLong, now);
    return choice.endpoint;
}

std::optional<EndpointId> Dispatcher::tryHedge(const DispatchRequest &call, const EndpointId &firstEndpoint, Instant sentAt, Instant now)
{
    if (!m_rules.hedgesCalls || !call.isRepeatable || m_hedgeBudget < 1) {
        return std::nullopt;
    }
    PoolEndpoint *it = findEndpoint(firstEndpoint);
    if (it == nullptr) {
        return std::nullopt;
    }
    const EndpointState &state = it->state;
    Pool &pool = m_pools[call.pool];
    const double expectedFirstTokenMs = state.prefillMsPerToken() * static_cast<double>(call.promptTokens.value()) + state.startDelayMs();
    if (static_cast<double>(toMilliseconds(now - sentAt)) < HedgeDelayFactor * expectedFirstTokenMs + HedgeSlackMs) {
        return std::nullopt;
    }
    auto second = takeSlotElsewhere(call, firstEndpoint, pool, now);
    if (second) {
        it->state.observeLateFirstToken(now);
    }
    return second;
}

std::optional<EndpointId> Dispatcher::tryMove(const DispatchRequest &call, const EndpointId &from, Tokens generatedTokens, Instant now)
{
    const PoolEndpoint *it = findEndpoint(from);
    if (!m_rules.movesStreams || !call.isRepeatable || m_hedgeBudget < 1 || it == nullptr) {
        return std::nullopt;
    }
    Pool &pool = m_pools[call.pool];
    pool.endpointPool.updateStatistics(now);
    const EndpointState &state = it->state;
    const double msPerToken = state.msPerToken(now, pool.endpointPool.medianMsPerToken);
    const auto remainingTokens = static_cast<double>((call.expectedAnswerTokens - generatedTokens).value());
    const double gainMs = remainingTokens * (msPerToken - pool.endpointPool.medianMsPerToken)
                          - state.prefillMsPerToken() * static_cast<double>((call.promptTokens + generatedTokens).value());
    if (!isSlowEndpoint(msPerToken, pool.endpointPool) || gainMs < MinMoveGainMs) {
        return std::nullopt;
    }
    return takeSlotElsewhere(call, from, pool, now);
}

void Dispatcher::onTokenTimeObserved(const EndpointId &endpoint, double msPerToken, Instant now)
{
    if (PoolEndpoint *it = findEndpoint(endpoint)) {
        it->state.observeTokenTime(msPerToken, now);
    }
}

void Dispatcher::onLoadReported(const EndpointId &endpoint, const EndpointLoad &load, Instant now)
{
    if (PoolEndpoint *it = findEndpoint(endpoint)) {
        it->state.observeLoad(load, now);
    }
}

void Dispatcher::onAttemptFinished(const DispatchRequest &call, const EndpointId &endpoint, const CallObservation &observation, Instant now)
{
    PoolEndpoint *it = findEndpoint(endpoint);
    if (it == nullptr) {
        return;
    }
    it->state.observeCall(observation, now);
    it->state.endCall(call.isLong, now);
}

void Dispatcher::onAttemptFailed(const DispatchRequest &call, const EndpointId &endpoint, bool isEndpointFault, Instant now)
{
    PoolEndpoint *it = findEndpoint(endpoint);
    if (it == nullptr) {
        return;
    }
    if (isEndpointFault) {
        it->state.observeFailure(now);
    }
    it->state.endCall(call.isLong, now);
}

void Dispatcher::forgiveFailures()
{
    for (auto &[id, pool] : m_pools) {
        for (PoolEndpoint &endpoint : pool.endpointPool.endpoints) {
            endpoint.state.forgiveFailures();
        }
    }
}

void Dispatcher::onPrefixCached(const ProgramId &program, const EndpointId &endpoint, Tokens tokens)
{
    m_cachedPrefixes[program] = {endpoint, tokens};
}

std::optional<EndpointId> Dispatcher::prefixEndpoint(const ProgramId &program) const
{
    const auto it = m_cachedPrefixes.find(program);
    if (it == m_cachedPrefixes.end()) {
        return std::nullopt;
    }
    return it->second.endpoint;
}

KnownPrefix Dispatcher::knownPrefix(const DispatchRequest &call) const
{
    if (call.prefixEndpoint) {
        return {call.prefixEndpoint, std::min(call.promptTokens, call.cachedPrefixTokens)};
    }
    const auto it = m_cachedPrefixes.find(call.program);
    if (it == m_cachedPrefixes.end()) {
        return {};
    }
    return {it->second.endpoint, std::min(call.promptTokens, it->second.tokens)};
}

void Dispatcher::forgetProgram(const ProgramId &program)
{
    m_cachedPrefixes.erase(program);
}

std::size_t Dispatcher::queuedCalls() const
{
    std::size_t n = 0;
    for (const auto &[id, pool] : m_pools) {
        n += pool.queue.size();
    }
    return n;
}

Milliseconds Dispatcher::retryAfter(const PoolId &id) const
{
    const auto it = m_pools.find(id);
    if (it == m_pools.end()) {
        return MinRetryAfter;
    }
    DispatchRequest batchCall;
    batchCall.priority = PriorityClass::Batch;
    const auto wait = Milliseconds(static_cast<std::int64_t>(expectedWaitMs(batchCall, it->second)));
    return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
}

const EndpointState *Dispatcher::endpointState(const EndpointId &endpoint) const
{
    const auto it = m_poolOfEndpoint.find(endpoint);
    if (it == m_poolOfEndpoint.end()) {
        return nullptr;
    }
    const auto &endpoints = m_pools.at(it->second).endpointPool.endpoints;
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const PoolEndpoint &candidate) { return candidate.info.id == endpoint; });
    return found == endpoints.end() ? nullptr : &found->state;
}

} // namespace flamingo

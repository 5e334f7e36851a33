#include "policy/dispatcher.h"

#include "core/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace flamingo
{

namespace
{
/// Attained service and waiting time enter the rank in units of this many milliseconds.
constexpr double ServiceUnitMs = 250.0;
constexpr double AgeingWeight = 2.0;
constexpr double MaxHedgeBudget = 5.0;
constexpr double HedgeDelayFactor = 3.0;
constexpr double HedgeSlackMs = 150.0;
constexpr double SlowEndpointFactor = 1.6;
/// Relative differences in time per token below this are treated as noise.
constexpr double TokenTimeNoiseShare = 0.12;
/// Assumed slowdown, as a share of the pool's mean service time, when other dispatchers have as many calls at an endpoint as it
/// has slots.
constexpr double CrowdingCostShare = 0.5;
/// A slow endpoint that was last observed this long ago is probed.
constexpr Milliseconds ProbeInterval{2000};
/// A stream is moved only if that saves at least this much.
constexpr double MinMoveGainMs = 400.0;
/// Differences in cost up to this one are noise.
constexpr double EqualCostMs = 1.0;
constexpr double DefaultServiceTimeMs = 200.0;
constexpr Milliseconds MinRetryAfter{200};
constexpr Milliseconds MaxRetryAfter{10000};
/// How many queued calls are examined for one that may be sent, when the first ones may not.
constexpr std::size_t MaxLookAhead = 64;
} // namespace

Dispatcher::Dispatcher(PolicyRules rules, DomainId ownDomain)
    : m_rules(rules)
    , m_domainCosts(std::move(ownDomain))
{
}

void Dispatcher::setEndpoints(const std::vector<EndpointInfo> &endpoints, int dispatcherCount)
{
    std::map<EndpointId, Endpoint> updated;
    for (auto &[id, pool] : m_pools) {
        pool.endpoints.clear();
    }
    for (const EndpointInfo &info : endpoints) {
        const auto known = m_endpoints.find(info.id);
        EndpointState state = known == m_endpoints.end() ? EndpointState(info.slots, dispatcherCount) : known->second.state;
        state.setCapacity(info.slots, dispatcherCount);
        updated.emplace(info.id, Endpoint{info, state});
        m_pools[info.pool].endpoints.push_back(info.id);
    }
    m_endpoints = std::move(updated);
}

void Dispatcher::markLeaving(const EndpointId &endpoint)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
        it->second.info.isLeaving = true;
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
    if (!hasUsableEndpoint(pool)) {
        return failure(ErrorKind::NoEndpoint, fmt::format("no endpoint serves {}", call.pool.value()));
    }
    if (!call.isRetry) {
        if (pool.queue.size() >= queueLimit(call.priority)) {
            return tl::make_unexpected(Error{ErrorKind::Overloaded, "too many calls wait", retryAfter(call.pool)});
        }
        updatePoolStatistics(pool, now);
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

bool Dispatcher::hasUsableEndpoint(const Pool &pool) const
{
    return std::any_of(pool.endpoints.begin(), pool.endpoints.end(), [this](const EndpointId &id) { return !m_endpoints.at(id).info.isLeaving; });
}

std::vector<CallId> Dispatcher::takeUnservable()
{
    std::vector<CallId> calls;
    for (auto &[id, pool] : m_pools) {
        if (hasUsableEndpoint(pool)) {
            continue;
        }
        for (const DispatchRequest &call : pool.queue) {
            calls.push_back(call.id);
        }
        pool.queue.clear();
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

// A lower rank goes first. The distance between classes is far larger than the other terms. Within a class the program with the least
// attained service goes first, and waiting time offsets attained service, so that no call starves within its class.
double Dispatcher::rank(const DispatchRequest &call, Instant now) const
{
    constexpr double ClassRankDistance = 1e9;
    double rank = m_rules.usesPriority ? ClassRankDistance * static_cast<int>(call.priority) : 0;
    const auto waitedMs = static_cast<double>(toMilliseconds(now - call.arrivedAt));
    if (m_rules.usesLeastAttainedService) {
        const double attainedService = static_cast<double>(call.attainedService.count()) / ServiceUnitMs;
        rank += attainedService - (m_rules.usesAgeing ? AgeingWeight * waitedMs / ServiceUnitMs : 0);
    } else {
        rank -= waitedMs;
    }
    // A call that has waited very long counts as one class higher, so that it doesn't starve behind other classes.
    constexpr double PromoteAfterMs = 20000;
    if (m_rules.usesAgeing && m_rules.usesPriority && call.priority != PriorityClass::Urgent && waitedMs > PromoteAfterMs) {
        rank -= ClassRankDistance;
    }
    return rank;
}

void Dispatcher::updatePoolStatistics(Pool &pool, Instant now) const
{
    std::vector<double> tokenTimes;
    double totalServiceTimeMs = 0;
    int observed = 0;
    for (const EndpointId &id : pool.endpoints) {
        const EndpointState &state = m_endpoints.at(id).state;
        const double msPerToken = state.msPerToken(now, pool.medianMsPerToken);
        if (msPerToken > 0) {
            tokenTimes.push_back(msPerToken);
        }
        if (state.serviceTimeMs() > 0) {
            totalServiceTimeMs += state.serviceTimeMs();
            ++observed;
        }
    }
    if (!tokenTimes.empty()) {
        // The lower of two middle values, so that in a pool of two the slower endpoint stands out from the median.
        const auto middle = tokenTimes.begin() + static_cast<std::ptrdiff_t>((tokenTimes.size() - 1) / 2);
        std::nth_element(tokenTimes.begin(), middle, tokenTimes.end());
        pool.medianMsPerToken = *middle;
    }
    pool.meanServiceTimeMs = observed > 0 ? totalServiceTimeMs / observed : DefaultServiceTimeMs;
}

double Dispatcher::expectedWaitMs(const DispatchRequest &call, const Pool &pool) const
{
    double slots = 0;
    int running = 0;
    for (const EndpointId &id : pool.endpoints) {
        const Endpoint &endpoint = m_endpoints.at(id);
        if (!endpoint.info.isLeaving) {
            slots += endpoint.state.concurrencyLimit(m_rules);
            running += endpoint.state.runningCalls();
        }
    }
    const auto ahead = std::count_if(
        pool.queue.begin(), pool.queue.end(), [&](const DispatchRequest &waiting) { return !m_rules.usesPriority || waiting.priority <= call.priority; });
    const double freeSlots = std::max(0.0, slots - running);
    const double queuedAhead = std::max(0.0, static_cast<double>(ahead) + 1 - freeSlots);
    return queuedAhead * pool.meanServiceTimeMs / std::max(1.0, slots);
}

bool Dispatcher::isLong(const DispatchRequest &call, const Pool &pool) const
{
    const double expectedMs = pool.medianMsPerToken * static_cast<double>(call.expectedAnswerTokens.value());
    return expectedMs > static_cast<double>(m_rules.longCallThreshold.count());
}

// When the last observation of a slow endpoint is older than ProbeInterval, the endpoint gets one call at a time until a new
// observation shows its present speed.
bool Dispatcher::isBeingProbed(const Endpoint &endpoint, const Pool &pool, Instant now) const
{
    const bool wasSlow = pool.medianMsPerToken > 0
                         && endpoint.state.msPerToken(endpoint.state.lastObservedAt(), pool.medianMsPerToken) > SlowEndpointFactor * pool.medianMsPerToken;
    const bool isStale = now - endpoint.state.lastObservedAt() > ProbeInterval;
    return m_rules.avoidsSlowEndpoints && wasSlow && isStale && endpoint.state.runningCalls() > 0;
}

bool Dispatcher::mayTakeSlot(const DispatchRequest &call, const Pool &pool) const
{
    double slots = 0;
    int running = 0;
    int runningLong = 0;
    for (const EndpointId &id : pool.endpoints) {
        const EndpointState &state = m_endpoints.at(id).state;
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

double Dispatcher::estimatedCostMs(const DispatchRequest &call, const Endpoint &endpoint, const Pool &pool, Instant now) const
{
    const EndpointState &state = endpoint.state;
    const Tokens cached = m_rules.usesPrefixAffinity ? cachedPrefixTokens(call, endpoint.info.id) : Tokens(0);
    const auto prefillTokens = static_cast<double>((call.promptTokens - cached).value());
    // Small differences in speed are noise and don't justify giving up a cached prefix.
    const double observedMsPerToken = state.msPerToken(now, pool.medianMsPerToken);
    const bool isSlow = m_rules.avoidsSlowEndpoints && observedMsPerToken > SlowEndpointFactor * pool.medianMsPerToken;
    // A call without a cached prefix loses nothing by going to a slightly faster or less loaded endpoint.
    const bool hasNoCachedPrefix = m_rules.avoidsSlowEndpoints && !knownPrefixEndpoint(call);
    const bool usesObservedTokenTime =
        isSlow || (hasNoCachedPrefix && std::abs(observedMsPerToken - pool.medianMsPerToken) > TokenTimeNoiseShare * pool.medianMsPerToken);
    const double msPerToken = (usesObservedTokenTime ? observedMsPerToken : pool.medianMsPerToken) * (hasNoCachedPrefix ? state.reportedSlowdown(now) : 1.0);
    const double slowdown = pool.medianMsPerToken > 0 ? msPerToken / pool.medianMsPerToken : 1.0;
    double costMs = state.prefillMsPerToken() * prefillTokens * slowdown;
    costMs += msPerToken * static_cast<double>(call.expectedAnswerTokens.value());
    costMs += isSlow ? state.startDelayMs() : 0;
    costMs += pool.meanServiceTimeMs * 0.25 * state.runningCalls() / std::max(1.0, state.concurrencyLimit(m_rules));
    costMs += !hasNoCachedPrefix ? 0 : pool.meanServiceTimeMs * CrowdingCostShare * state.callsOfOtherDispatchers(now) / std::max(1, endpoint.info.slots);
    return costMs + m_domainCosts.costMs(endpoint.info.domain);
}

Dispatcher::EndpointChoice Dispatcher::chooseRoundRobin(const DispatchRequest &call, Pool &pool, Instant now) const
{
    for (const bool allowFailed : {false, true}) {
        for (std::size_t n = 0; n < pool.endpoints.size(); ++n) {
            const std::size_t index = (pool.nextRoundRobinIndex + n) % pool.endpoints.size();
            const Endpoint &endpoint = m_endpoints.at(pool.endpoints[index]);
            const bool hasFailed = call.failedEndpoints.count(endpoint.info.id) != 0;
            if (endpoint.info.isLeaving || !endpoint.state.isUsable(now) || !endpoint.state.hasFreeSlot(m_rules) || (hasFailed && !allowFailed)) {
                continue;
            }
            pool.nextRoundRobinIndex = index + 1;
            return {endpoint.info.id, false, "round-robin"};
        }
    }
    return {};
}

// Many dispatchers that know nothing of each other see the same costs. If each took the first of the cheapest endpoints, all would take
// the same one. A hash spreads the programs, and sends the calls of one program to the same endpoint whichever dispatcher has them.
std::optional<EndpointId>
Dispatcher::chooseAmongEqual(const DispatchRequest &call, const std::vector<std::pair<double, EndpointId>> &candidates, double lowestCostMs) const
{
    std::optional<EndpointId> best;
    std::uint64_t highestWeight = 0;
    for (const auto &[costMs, id] : candidates) {
        if (costMs > lowestCostMs + EqualCostMs) {
            continue;
        }
        const std::uint64_t weight = stableHash(id.value(), stableHash(call.program.value()));
        if (!best || weight > highestWeight) {
            best = id;
            highestWeight = weight;
        }
    }
    return best;
}

Dispatcher::EndpointChoice Dispatcher::chooseEndpoint(const DispatchRequest &call, Pool &pool, Instant now) const
{
    if (!m_rules.usesPrefixAffinity && !m_rules.avoidsSlowEndpoints) {
        return chooseRoundRobin(call, pool, now);
    }
    EndpointChoice best;
    double lowestCostMs = std::numeric_limits<double>::max();
    std::vector<std::pair<double, EndpointId>> candidates;
    for (const EndpointId &id : pool.endpoints) {
        const Endpoint &endpoint = m_endpoints.at(id);
        if (endpoint.info.isLeaving || !endpoint.state.isUsable(now) || isBeingProbed(endpoint, pool, now)) {
            continue;
        }
        constexpr double FailedEndpointCostMs = 1e6;
        double totalCostMs = estimatedCostMs(call, endpoint, pool, now) + (call.failedEndpoints.count(id) != 0 ? FailedEndpointCostMs : 0);
        const bool hasFreeSlot = endpoint.state.hasFreeSlot(m_rules);
        if (!hasFreeSlot) {
            const bool isPrefixEndpoint = m_rules.usesPrefixAffinity && knownPrefixEndpoint(call) == id;
            const bool mayWait = now - call.arrivedAt < m_rules.maxAffinityWait && call.priority != PriorityClass::Urgent;
            if (!isPrefixEndpoint || !mayWait) {
                continue;
            }
            totalCostMs += endpoint.state.serviceTimeMs() / std::max(1.0, endpoint.state.concurrencyLimit(m_rules));
        }
        if (hasFreeSlot) {
            candidates.emplace_back(totalCostMs, id);
        }
        if (totalCostMs < lowestCostMs) {
            lowestCostMs = totalCostMs;
            best.waitsForAffinity = !hasFreeSlot;
        }
    }
    if (!best.waitsForAffinity) {
        best.endpoint = chooseAmongEqual(call, candidates, lowestCostMs);
    }
    if (best.endpoint) {
        best.reason = fmt::format("lowest cost {:.1f} ms", lowestCostMs);
    }
    return best;
}

void Dispatcher::dispatchPool(Pool &pool, Instant now, std::vector<DispatchDecision> &decisions)
{
    if (pool.queue.empty() || pool.endpoints.empty()) {
        return;
    }
    updatePoolStatistics(pool, now);
    const bool hasAnyFreeSlot =
        std::any_of(pool.endpoints.begin(), pool.endpoints.end(), [this](const EndpointId &id) { return m_endpoints.at(id).state.hasFreeSlot(m_rules); });
    if (!hasAnyFreeSlot) {
        return;
    }
    std::vector<std::pair<double, std::size_t>> ranking;
    ranking.reserve(pool.queue.size());
    for (std::size_t n = 0; n < pool.queue.size(); ++n) {
        ranking.emplace_back(rank(pool.queue[n], now), n);
    }
    const std::size_t lookAhead = std::min(MaxLookAhead, ranking.size());
    std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(lookAhead), ranking.end());
    std::set<std::size_t, std::greater<>> takenIndexes;
    for (std::size_t n = 0; n < lookAhead; ++n) {
        const DispatchRequest &call = pool.queue[ranking[n].second];
        if (!mayTakeSlot(call, pool)) {
            continue;
        }
        const EndpointChoice choice = chooseEndpoint(call, pool, now);
        if (choice.endpoint) {
            m_endpoints.at(*choice.endpoint).state.beginCall(call.isLong);
            decisions.push_back({call.id, *choice.endpoint, choice.reason});
            takenIndexes.insert(ranking[n].second);
        } else if (!choice.waitsForAffinity) {
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
    const EndpointChoice choice = chooseEndpoint(other, pool, now);
    if (!choice.endpoint || *choice.endpoint == from) {
        return std::nullopt;
    }
    m_hedgeBudget -= 1;
    m_endpoints.at(*choice.endpoint).state.beginCall(call.isLong);
    return choice.endpoint;
}

std::optional<EndpointId> Dispatcher::tryHedge(const DispatchRequest &call, const EndpointId &firstEndpoint, Instant sentAt, Instant now)
{
    if (!m_rules.hedgesCalls || !call.isRepeatable || m_hedgeBudget < 1) {
        return std::nullopt;
    }
    const auto it = m_endpoints.find(firstEndpoint);
    if (it == m_endpoints.end()) {
        return std::nullopt;
    }
    const EndpointState &state = it->second.state;
    Pool &pool = m_pools[call.pool];
    const double expectedFirstTokenMs = state.prefillMsPerToken() * static_cast<double>(call.promptTokens.value()) + state.startDelayMs();
    if (static_cast<double>(toMilliseconds(now - sentAt)) < HedgeDelayFactor * expectedFirstTokenMs + HedgeSlackMs) {
        return std::nullopt;
    }
    auto second = takeSlotElsewhere(call, firstEndpoint, pool, now);
    if (second) {
        it->second.state.observeLateFirstToken(now);
    }
    return second;
}

std::optional<EndpointId> Dispatcher::tryMove(const DispatchRequest &call, const EndpointId &from, Tokens generatedTokens, Instant now)
{
    const auto it = m_endpoints.find(from);
    if (!m_rules.movesStreams || !call.isRepeatable || m_hedgeBudget < 1 || it == m_endpoints.end()) {
        return std::nullopt;
    }
    Pool &pool = m_pools[call.pool];
    updatePoolStatistics(pool, now);
    const EndpointState &state = it->second.state;
    const double msPerToken = state.msPerToken(now, pool.medianMsPerToken);
    const auto remainingTokens = static_cast<double>((call.expectedAnswerTokens - generatedTokens).value());
    const double gainMs =
        remainingTokens * (msPerToken - pool.medianMsPerToken) - state.prefillMsPerToken() * static_cast<double>((call.promptTokens + generatedTokens).value());
    if (msPerToken < SlowEndpointFactor * pool.medianMsPerToken || gainMs < MinMoveGainMs) {
        return std::nullopt;
    }
    return takeSlotElsewhere(call, from, pool, now);
}

void Dispatcher::onTokenTimeObserved(const EndpointId &endpoint, double msPerToken, Instant now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
        it->second.state.observeTokenTime(msPerToken, now);
    }
}

void Dispatcher::onLoadReported(const EndpointId &endpoint, const EndpointLoad &load, Instant now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
        it->second.state.observeLoad(load, now);
    }
}

void Dispatcher::onAttemptFinished(const DispatchRequest &call, const EndpointId &endpoint, const CallObservation &observation, Instant now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return;
    }
    it->second.state.observeCall(observation, now);
    it->second.state.endCall(call.isLong);
}

void Dispatcher::onAttemptFailed(const DispatchRequest &call, const EndpointId &endpoint, bool isEndpointFault, Instant now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return;
    }
    if (isEndpointFault) {
        it->second.state.observeFailure(now);
    }
    it->second.state.endCall(call.isLong);
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

std::optional<EndpointId> Dispatcher::knownPrefixEndpoint(const DispatchRequest &call) const
{
    return call.prefixEndpoint ? call.prefixEndpoint : prefixEndpoint(call.program);
}

Tokens Dispatcher::cachedPrefixTokens(const DispatchRequest &call, const EndpointId &endpoint) const
{
    if (knownPrefixEndpoint(call) != endpoint) {
        return Tokens(0);
    }
    return std::min(call.promptTokens, call.prefixEndpoint ? call.cachedPrefixTokens : m_cachedPrefixes.at(call.program).tokens);
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
    const auto it = m_endpoints.find(endpoint);
    return it == m_endpoints.end() ? nullptr : &it->second.state;
}

} // namespace flamingo

#include "policy/dispatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace flamingo
{

namespace
{
/// Service is compared in octaves, so that small differences don't reorder calls.
constexpr double ServiceUnitMs = 250.0;
constexpr double AgeingWeight = 2.0;
constexpr double MaxHedgeTokens = 5.0;
constexpr double HedgeFactor = 3.0;
constexpr double HedgeSlackMs = 150.0;
constexpr double SlowFactor = 1.6;
/// Differences of pace below this share of it are noise.
constexpr double NoisyShare = 0.12;
/// How much longer a call takes beside as many others as an endpoint has slots.
constexpr double CrowdingShare = 0.5;
/// What was seen of a slow endpoint this long ago is to be looked at again.
constexpr Milliseconds ProbeAfter{2000};
/// A stream is moved only if that saves at least this.
constexpr double MinMoveGainMs = 400.0;
constexpr double OtherDomainCostMs = 3.0;
constexpr double DefaultServiceMs = 200.0;
constexpr Milliseconds MinRetryAfter{200};
constexpr Milliseconds MaxRetryAfter{10000};
/// How far down the queue a dispatch looks for a call that may go, when the first ones may not.
constexpr std::size_t LookAhead = 64;
} // namespace

Dispatcher::Dispatcher(PolicyRules rules, DomainId ownDomain)
    : m_rules(rules)
    , m_ownDomain(std::move(ownDomain))
{
}

void Dispatcher::setEndpoints(const std::vector<EndpointView> &endpoints, int owners)
{
    std::map<EndpointId, Endpoint> next;
    for (auto &[id, pool] : m_pools) {
        pool.endpoints.clear();
    }
    for (const EndpointView &view : endpoints) {
        const auto known = m_endpoints.find(view.id);
        EndpointState state = known == m_endpoints.end() ? EndpointState(view.slots, owners) : known->second.state;
        state.resize(view.slots, owners);
        next.emplace(view.id, Endpoint{view, state});
        m_pools[view.pool].endpoints.push_back(view.id);
    }
    m_endpoints = std::move(next);
}

void Dispatcher::setLeaving(const EndpointId &endpoint)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
        it->second.view.isLeaving = true;
    }
}

std::size_t Dispatcher::queueLimit(PriorityClass priority) const
{
    if (!m_rules.refusesEarly) {
        return m_rules.maxQueue;
    }
    return m_rules.maxQueue * static_cast<std::size_t>(PriorityClassCount - static_cast<int>(priority)) / PriorityClassCount;
}

Result<void> Dispatcher::enqueue(WaitingCall &call, Instant now)
{
    Pool &pool = m_pools[call.pool];
    const bool hasEndpoint =
        std::any_of(pool.endpoints.begin(), pool.endpoints.end(), [this](const EndpointId &id) { return !m_endpoints.at(id).view.isLeaving; });
    if (!hasEndpoint) {
        return failure(ErrorKind::NoEndpoint, fmt::format("no endpoint serves {}", call.pool.value()));
    }
    if (!call.isRetry) {
        if (pool.waiting.size() >= queueLimit(call.priority)) {
            return tl::make_unexpected(Error{ErrorKind::Overloaded, "too many calls wait", retryAfter(call.pool)});
        }
        refreshPool(pool, now);
        const auto wait = Milliseconds(static_cast<std::int64_t>(expectedWait(call, pool)));
        if (m_rules.refusesEarly && now + wait > call.deadline) {
            return tl::make_unexpected(Error{ErrorKind::DeadlineUnreachable, fmt::format("the expected wait is {} ms", wait.count()), retryAfter(call.pool)});
        }
        m_hedgeTokens = std::min(MaxHedgeTokens, m_hedgeTokens + m_rules.hedgeBudget);
    }
    call.isLong = isLong(call, pool);
    pool.waiting.push_back(call);
    return {};
}

bool Dispatcher::remove(CallId call)
{
    for (auto &[id, pool] : m_pools) {
        const auto it = std::find_if(pool.waiting.begin(), pool.waiting.end(), [&](const WaitingCall &waiting) { return waiting.id == call; });
        if (it != pool.waiting.end()) {
            pool.waiting.erase(it);
            return true;
        }
    }
    return false;
}

// A lower rank goes first. The classes are far apart; inside a class the program that has had the least service leads,
// and waiting makes up for service, so that nothing starves inside its class.
double Dispatcher::rank(const WaitingCall &call, Instant now) const
{
    constexpr double ClassDistance = 1e9;
    double rank = m_rules.usesPriority ? ClassDistance * static_cast<int>(call.priority) : 0;
    const auto waited = static_cast<double>(toMilliseconds(now - call.arrived));
    if (m_rules.usesLeastService) {
        const double service = static_cast<double>(call.serviceSoFar.count()) / ServiceUnitMs;
        rank += service - (m_rules.usesAgeing ? AgeingWeight * waited / ServiceUnitMs : 0);
    } else {
        rank -= waited;
    }
    // Across classes, a call that has waited very long counts as one class higher.
    constexpr double PromoteAfterMs = 20000;
    if (m_rules.usesAgeing && m_rules.usesPriority && call.priority != PriorityClass::Urgent && waited > PromoteAfterMs) {
        rank -= ClassDistance;
    }
    return rank;
}

void Dispatcher::refreshPool(Pool &pool, Instant now) const
{
    std::vector<double> paces;
    double serviceTime = 0;
    int observed = 0;
    for (const EndpointId &id : pool.endpoints) {
        const EndpointState &state = m_endpoints.at(id).state;
        const double pace = state.pace(now, pool.pace);
        if (pace > 0) {
            paces.push_back(pace);
        }
        if (state.serviceTime() > 0) {
            serviceTime += state.serviceTime();
            ++observed;
        }
    }
    if (!paces.empty()) {
        // The lower of two middle ones, so that in a pool of two the slow one is told from the other.
        const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
        std::nth_element(paces.begin(), middle, paces.end());
        pool.pace = *middle;
    }
    pool.serviceTime = observed > 0 ? serviceTime / observed : DefaultServiceMs;
}

double Dispatcher::expectedWait(const WaitingCall &call, const Pool &pool) const
{
    double slots = 0;
    int running = 0;
    for (const EndpointId &id : pool.endpoints) {
        const Endpoint &endpoint = m_endpoints.at(id);
        if (!endpoint.view.isLeaving) {
            slots += endpoint.state.limit(m_rules);
            running += endpoint.state.running();
        }
    }
    const auto ahead = std::count_if(
        pool.waiting.begin(), pool.waiting.end(), [&](const WaitingCall &waiting) { return !m_rules.usesPriority || waiting.priority <= call.priority; });
    const double free = std::max(0.0, slots - running);
    const double queued = std::max(0.0, static_cast<double>(ahead) + 1 - free);
    return queued * pool.serviceTime / std::max(1.0, slots);
}

bool Dispatcher::isLong(const WaitingCall &call, const Pool &pool) const
{
    const double expected = pool.pace * static_cast<double>(call.expectedTokens.value());
    return expected > static_cast<double>(m_rules.longCall.count());
}

// An endpoint that was slow when it was last seen gets one call at a time, until that one shows how it does now.
bool Dispatcher::isBeingProbed(const Endpoint &endpoint, const Pool &pool, Instant now) const
{
    const bool wasSlow = pool.pace > 0 && endpoint.state.pace(endpoint.state.observedAt(), pool.pace) > SlowFactor * pool.pace;
    const bool isStale = now - endpoint.state.observedAt() > ProbeAfter;
    return m_rules.avoidsSlow && wasSlow && isStale && endpoint.state.running() > 0;
}

bool Dispatcher::mayTakeSlot(const WaitingCall &call, const Pool &pool) const
{
    double slots = 0;
    int running = 0;
    int runningLong = 0;
    for (const EndpointId &id : pool.endpoints) {
        const EndpointState &state = m_endpoints.at(id).state;
        slots += state.limit(m_rules);
        running += state.running();
        runningLong += state.runningLong();
    }
    if (m_rules.reservesForUrgent && call.priority != PriorityClass::Urgent && running > 0 && running + 1 > slots * (1 - m_rules.urgentReserve)) {
        return false;
    }
    if (m_rules.limitsLongCalls && call.isLong && runningLong > 0 && runningLong + 1 > slots * m_rules.longShare) {
        return false;
    }
    return true;
}

double Dispatcher::cost(const WaitingCall &call, const Endpoint &endpoint, const Pool &pool, Instant now) const
{
    const EndpointState &state = endpoint.state;
    const Tokens cached = m_rules.usesAffinity ? cachedTokens(call, endpoint.view.id) : Tokens(0);
    const auto prefillTokens = static_cast<double>((call.contextTokens - cached).value());
    // Small differences between endpoints are noise, for which no cached prefix is given up.
    const double seen = state.pace(now, pool.pace);
    const bool isSlow = m_rules.avoidsSlow && seen > SlowFactor * pool.pace;
    // A call without a cached prefix loses nothing by going where it is a little faster or emptier at the moment.
    const bool isFree = m_rules.avoidsSlow && !prefixAt(call);
    const bool isOtherPace = isSlow || (isFree && std::abs(seen - pool.pace) > NoisyShare * pool.pace);
    const double pace = (isOtherPace ? seen : pool.pace) * (isFree ? state.momentarySlowness(now) : 1.0);
    const double slowness = pool.pace > 0 ? pace / pool.pace : 1.0;
    double cost = state.prefillPace() * prefillTokens * slowness;
    cost += pace * static_cast<double>(call.expectedTokens.value());
    cost += isSlow ? state.startDelay() : 0;
    cost += pool.serviceTime * 0.25 * state.running() / std::max(1.0, state.limit(m_rules));
    cost += !isFree ? 0 : pool.serviceTime * CrowdingShare * state.runningForOthers(now) / std::max(1, endpoint.view.slots);
    cost += endpoint.view.domain == m_ownDomain ? 0 : OtherDomainCostMs;
    return cost;
}

Dispatcher::Choice Dispatcher::chooseRoundRobin(const WaitingCall &call, Pool &pool, Instant now) const
{
    for (const bool allowFailed : {false, true}) {
        for (std::size_t n = 0; n < pool.endpoints.size(); ++n) {
            const std::size_t index = (pool.nextRoundRobin + n) % pool.endpoints.size();
            const Endpoint &endpoint = m_endpoints.at(pool.endpoints[index]);
            const bool hasFailed = call.failedAt.count(endpoint.view.id) != 0;
            if (endpoint.view.isLeaving || !endpoint.state.isUsable(now) || !endpoint.state.hasRoom(m_rules) || (hasFailed && !allowFailed)) {
                continue;
            }
            pool.nextRoundRobin = index + 1;
            return {endpoint.view.id, false, "round-robin"};
        }
    }
    return {};
}

Dispatcher::Choice Dispatcher::choose(const WaitingCall &call, Pool &pool, Instant now) const
{
    if (!m_rules.usesAffinity && !m_rules.avoidsSlow) {
        return chooseRoundRobin(call, pool, now);
    }
    Choice best;
    double bestCost = std::numeric_limits<double>::max();
    for (const EndpointId &id : pool.endpoints) {
        const Endpoint &endpoint = m_endpoints.at(id);
        if (endpoint.view.isLeaving || !endpoint.state.isUsable(now) || isBeingProbed(endpoint, pool, now)) {
            continue;
        }
        constexpr double FailedCostMs = 1e6;
        double total = cost(call, endpoint, pool, now) + (call.failedAt.count(id) != 0 ? FailedCostMs : 0);
        const bool hasRoom = endpoint.state.hasRoom(m_rules);
        if (!hasRoom) {
            const bool isAffine = m_rules.usesAffinity && prefixAt(call) == id;
            const bool mayWait = now - call.arrived < m_rules.maxAffinityWait && call.priority != PriorityClass::Urgent;
            if (!isAffine || !mayWait) {
                continue;
            }
            total += endpoint.state.serviceTime() / std::max(1.0, endpoint.state.limit(m_rules));
        }
        if (total < bestCost) {
            bestCost = total;
            best.endpoint = hasRoom ? std::optional<EndpointId>(id) : std::nullopt;
            best.waitsForAffinity = !hasRoom;
        }
    }
    if (best.endpoint) {
        best.reason = fmt::format("lowest cost {:.1f} ms", bestCost);
    }
    return best;
}

void Dispatcher::dispatchPool(Pool &pool, Instant now, std::vector<Dispatch> &dispatches)
{
    if (pool.waiting.empty() || pool.endpoints.empty()) {
        return;
    }
    refreshPool(pool, now);
    const bool hasAnyRoom =
        std::any_of(pool.endpoints.begin(), pool.endpoints.end(), [this](const EndpointId &id) { return m_endpoints.at(id).state.hasRoom(m_rules); });
    if (!hasAnyRoom) {
        return;
    }
    std::vector<std::pair<double, std::size_t>> order;
    order.reserve(pool.waiting.size());
    for (std::size_t n = 0; n < pool.waiting.size(); ++n) {
        order.emplace_back(rank(pool.waiting[n], now), n);
    }
    const std::size_t look = std::min(LookAhead, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(look), order.end());
    std::set<std::size_t, std::greater<>> taken;
    for (std::size_t n = 0; n < look; ++n) {
        const WaitingCall &call = pool.waiting[order[n].second];
        if (!mayTakeSlot(call, pool)) {
            continue;
        }
        const Choice choice = choose(call, pool, now);
        if (choice.endpoint) {
            m_endpoints.at(*choice.endpoint).state.begin(call.isLong);
            dispatches.push_back({call.id, *choice.endpoint, choice.reason});
            taken.insert(order[n].second);
        } else if (!choice.waitsForAffinity) {
            break;
        }
    }
    for (const std::size_t n : taken) {
        pool.waiting.erase(pool.waiting.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

std::vector<Dispatch> Dispatcher::next(Instant now)
{
    std::vector<Dispatch> dispatches;
    for (auto &[id, pool] : m_pools) {
        dispatchPool(pool, now, dispatches);
    }
    return dispatches;
}

std::vector<CallId> Dispatcher::takeExpired(Instant now)
{
    std::vector<CallId> expired;
    for (auto &[id, pool] : m_pools) {
        const auto it = std::stable_partition(pool.waiting.begin(), pool.waiting.end(), [&](const WaitingCall &call) { return call.deadline > now; });
        for (auto late = it; late != pool.waiting.end(); ++late) {
            expired.push_back(late->id);
        }
        pool.waiting.erase(it, pool.waiting.end());
    }
    return expired;
}

std::optional<EndpointId> Dispatcher::takeElsewhere(const WaitingCall &call, const EndpointId &from, Pool &pool, Instant now)
{
    WaitingCall other = call;
    other.failedAt.insert(from);
    other.arrived = now - m_rules.maxAffinityWait;
    const Choice choice = choose(other, pool, now);
    if (!choice.endpoint || *choice.endpoint == from) {
        return std::nullopt;
    }
    m_hedgeTokens -= 1;
    m_endpoints.at(*choice.endpoint).state.begin(call.isLong);
    return choice.endpoint;
}

std::optional<EndpointId> Dispatcher::hedge(const WaitingCall &call, const EndpointId &first, Instant sentAt, Instant now)
{
    if (!m_rules.hedges || !call.isRepeatable || m_hedgeTokens < 1) {
        return std::nullopt;
    }
    const auto it = m_endpoints.find(first);
    if (it == m_endpoints.end()) {
        return std::nullopt;
    }
    const EndpointState &state = it->second.state;
    Pool &pool = m_pools[call.pool];
    const double expected = state.prefillPace() * static_cast<double>(call.contextTokens.value()) + state.startDelay();
    if (static_cast<double>(toMilliseconds(now - sentAt)) < HedgeFactor * expected + HedgeSlackMs) {
        return std::nullopt;
    }
    auto second = takeElsewhere(call, first, pool, now);
    if (second) {
        it->second.state.observeOverdue(now);
    }
    return second;
}

std::optional<EndpointId> Dispatcher::move(const WaitingCall &call, const EndpointId &from, Tokens generated, Instant now)
{
    const auto it = m_endpoints.find(from);
    if (!m_rules.moves || !call.isRepeatable || m_hedgeTokens < 1 || it == m_endpoints.end()) {
        return std::nullopt;
    }
    Pool &pool = m_pools[call.pool];
    refreshPool(pool, now);
    const EndpointState &state = it->second.state;
    const double pace = state.pace(now, pool.pace);
    const auto left = static_cast<double>((call.expectedTokens - generated).value());
    const double gain = left * (pace - pool.pace) - state.prefillPace() * static_cast<double>((call.contextTokens + generated).value());
    if (pace < SlowFactor * pool.pace || gain < MinMoveGainMs) {
        return std::nullopt;
    }
    return takeElsewhere(call, from, pool, now);
}

void Dispatcher::onPace(const EndpointId &endpoint, double msPerToken, Instant now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
        it->second.state.observePace(msPerToken, now);
    }
}

void Dispatcher::onLoad(const EndpointId &endpoint, const EndpointLoad &load, Instant now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
        it->second.state.observeLoad(load, now);
    }
}

void Dispatcher::onFinished(const WaitingCall &call, const EndpointId &endpoint, const CallObservation &observation, Instant now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return;
    }
    it->second.state.observe(observation, now);
    it->second.state.end(call.isLong);
}

void Dispatcher::onFailed(const WaitingCall &call, const EndpointId &endpoint, bool isFault, Instant now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return;
    }
    if (isFault) {
        it->second.state.observeFailure(now);
    }
    it->second.state.end(call.isLong);
}

void Dispatcher::onCached(const ProgramId &program, const EndpointId &endpoint, Tokens tokens)
{
    m_cached[program] = {endpoint, tokens};
}

std::optional<EndpointId> Dispatcher::cachedAt(const ProgramId &program) const
{
    const auto it = m_cached.find(program);
    if (it == m_cached.end()) {
        return std::nullopt;
    }
    return it->second.endpoint;
}

std::optional<EndpointId> Dispatcher::prefixAt(const WaitingCall &call) const
{
    return call.cachedAt ? call.cachedAt : cachedAt(call.program);
}

Tokens Dispatcher::cachedTokens(const WaitingCall &call, const EndpointId &endpoint) const
{
    if (prefixAt(call) != endpoint) {
        return Tokens(0);
    }
    return std::min(call.contextTokens, call.cachedAt ? call.cachedTokens : m_cached.at(call.program).tokens);
}

void Dispatcher::forgetProgram(const ProgramId &program)
{
    m_cached.erase(program);
}

std::size_t Dispatcher::waiting() const
{
    std::size_t n = 0;
    for (const auto &[id, pool] : m_pools) {
        n += pool.waiting.size();
    }
    return n;
}

Milliseconds Dispatcher::retryAfter(const PoolId &id) const
{
    const auto it = m_pools.find(id);
    if (it == m_pools.end()) {
        return MinRetryAfter;
    }
    WaitingCall probe;
    probe.priority = PriorityClass::Batch;
    const auto wait = Milliseconds(static_cast<std::int64_t>(expectedWait(probe, it->second)));
    return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
}

const EndpointState *Dispatcher::endpointState(const EndpointId &endpoint) const
{
    const auto it = m_endpoints.find(endpoint);
    return it == m_endpoints.end() ? nullptr : &it->second.state;
}

} // namespace flamingo

#include "policy/endpointchoice.h"

#include "core/digest.h"
#include "policy/dispatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace flamingo
{

namespace
{
constexpr double SlowEndpointFactor = 1.6;
/// Relative differences in time per token below this are treated as noise.
constexpr double TokenTimeNoiseShare = 0.12;
/// Assumed slowdown, as a share of the pool's mean service time, when other dispatchers have as many calls at an endpoint as it
/// has slots.
constexpr double CrowdingCostShare = 0.5;
/// A slow endpoint that was last observed this long ago is probed.
constexpr Milliseconds ProbeInterval{2000};
constexpr double CrossDomainCostMs = 3.0;
/// More than any other cost of an endpoint that has not failed.
constexpr double UnreachableDomainCostMs = 1e5;
/// Differences in cost up to this one are noise.
constexpr double EqualCostMs = 1.0;
constexpr double DefaultServiceTimeMs = 200.0;

/// Cost of a further call at an endpoint, in mean service times for as many calls as it has slots. It contains what the call costs the
/// others there: slower tokens, and cached parts that are evicted for its memory.
constexpr double EvenCrowdingCostShare = 3.0;
/// Reading a prompt again costs this many times its own duration, since the endpoint's other calls wait meanwhile and lose cached parts.
constexpr double ReadAgainCostFactor = 10.0;
/// Share of the usual difference in speed that enters the cost. With all of it the fast endpoints get far more calls than the mean.
constexpr double UsualSpeedWeight = 0.2;
/// An endpoint of another failure domain is taken if it is estimated to have this many calls fewer: less than that is uncertain, while
/// the network delay is certain.
constexpr double CrossDomainCalls = 0.5;
/// The pool's mean load changes more slowly than the load of one endpoint.
constexpr int MeanLoadDecayFactor = 10;
constexpr double MinReportWeight = 1e-3;

/// What a report says is lost as the calls that it counted end.
Milliseconds loadDecayTime(const EndpointPool &pool)
{
    return std::max(Milliseconds(1), Milliseconds(static_cast<std::int64_t>(pool.meanServiceTimeMs)));
}

/// Returns the lower of two middle values, so that in a pool of two the slower endpoint stands out from the median. The values must not
/// be empty.
double lowerMedian(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

// Many dispatchers that know nothing of each other see the same costs. If each took the first of the cheapest endpoints, all would take
// the same one. A hash spreads the programs, and sends the calls of one program to the same endpoint whichever dispatcher has them, unless
// the seed differs between dispatchers.
std::optional<EndpointId> chooseAmongEqual(std::uint64_t seed, const std::vector<std::pair<double, EndpointId>> &candidates, double lowestCostMs)
{
    std::optional<EndpointId> best;
    std::uint64_t highestWeight = 0;
    for (const auto &[costMs, id] : candidates) {
        if (costMs > lowestCostMs + EqualCostMs) {
            continue;
        }
        const std::uint64_t weight = stableHash(id.value(), seed);
        if (!best || weight > highestWeight) {
            best = id;
            highestWeight = weight;
        }
    }
    return best;
}

} // namespace

PoolEndpoint *EndpointPool::find(const EndpointId &id)
{
    const auto it = std::find_if(endpoints.begin(), endpoints.end(), [&](const PoolEndpoint &endpoint) { return endpoint.info.id == id; });
    return it == endpoints.end() ? nullptr : &*it;
}

bool EndpointPool::hasUsableEndpoint(const DispatchRequest &call) const
{
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const PoolEndpoint &endpoint) { return takesCall(endpoint.info, call); });
}

bool takesCall(const EndpointInfo &endpoint, const DispatchRequest &call)
{
    return !endpoint.isLeaving && (!call.requiredVersion || endpoint.version == *call.requiredVersion);
}

bool EndpointPool::hasFreeSlot(const PolicyRules &rules) const
{
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const PoolEndpoint &endpoint) { return endpoint.state.hasFreeSlot(rules); });
}

void EndpointPool::updateStatistics(Instant now)
{
    std::vector<double> tokenTimes;
    std::vector<double> usualTokenTimes;
    double totalServiceTimeMs = 0;
    int observed = 0;
    for (const PoolEndpoint &endpoint : endpoints) {
        const EndpointState &state = endpoint.state;
        const double msPerToken = state.msPerToken(now, medianMsPerToken);
        if (msPerToken > 0) {
            tokenTimes.push_back(msPerToken);
        }
        if (state.usualMsPerToken() > 0) {
            usualTokenTimes.push_back(state.usualMsPerToken());
        }
        if (state.serviceTimeMs() > 0) {
            totalServiceTimeMs += state.serviceTimeMs();
            ++observed;
        }
    }
    if (!tokenTimes.empty()) {
        medianMsPerToken = lowerMedian(std::move(tokenTimes));
    }
    if (!usualTokenTimes.empty()) {
        medianUsualMsPerToken = lowerMedian(std::move(usualTokenTimes));
    }
    meanServiceTimeMs = observed > 0 ? totalServiceTimeMs / observed : DefaultServiceTimeMs;
    updateMeanLoad(now);
}

void EndpointPool::updateMeanLoad(Instant now)
{
    double totalCalls = 0;
    double totalWeight = 0;
    for (const PoolEndpoint &endpoint : endpoints) {
        const LoadEstimate &estimate = endpoint.state.loadEstimate();
        const double weight = estimate.reportWeight(now, MeanLoadDecayFactor * loadDecayTime(*this));
        totalCalls += weight * estimate.reportedCallsOfOthers();
        totalWeight += weight;
    }
    if (totalWeight > MinReportWeight) {
        meanCallsOfOthers = totalCalls / totalWeight;
    }
}

double EndpointPool::expectedCalls(const PoolEndpoint &endpoint, Instant now) const
{
    return endpoint.state.loadEstimate().expectedCallsOfOthers(now, meanCallsOfOthers, loadDecayTime(*this)) + endpoint.state.runningCalls();
}

bool isSlowEndpoint(double msPerToken, const EndpointPool &pool)
{
    return msPerToken > SlowEndpointFactor * pool.medianMsPerToken;
}

EndpointChooser::EndpointChooser(PolicyRules rules, DomainId ownDomain)
    : m_rules(rules)
    , m_ownDomain(std::move(ownDomain))
{
}

// When the last observation of a slow endpoint is older than ProbeInterval, the endpoint gets one call at a time until a new
// observation shows its present speed.
bool EndpointChooser::isBeingProbed(const PoolEndpoint &endpoint, const EndpointPool &pool, Instant now) const
{
    const bool wasSlow = pool.medianMsPerToken > 0 && isSlowEndpoint(endpoint.state.msPerToken(endpoint.state.lastObservedAt(), pool.medianMsPerToken), pool);
    const bool isStale = now - endpoint.state.lastObservedAt() > ProbeInterval;
    return m_rules.avoidsSlowEndpoints && wasSlow && isStale && endpoint.state.runningCalls() > 0;
}

double EndpointChooser::estimatedCostMs(const DispatchRequest &call,
                                        const KnownPrefix &prefix,
                                        const PoolEndpoint &endpoint,
                                        const EndpointPool &pool,
                                        Instant now) const
{
    const EndpointState &state = endpoint.state;
    const Tokens cached = m_rules.usesPrefixAffinity && prefix.endpoint == endpoint.info.id ? prefix.tokens : Tokens(0);
    const auto prefillTokens = static_cast<double>((call.promptTokens - cached).value());
    // Small differences in speed are noise and don't justify giving up a cached prefix.
    const double observedMsPerToken = state.msPerToken(now, pool.medianMsPerToken);
    const bool isSlow = m_rules.avoidsSlowEndpoints && isSlowEndpoint(observedMsPerToken, pool);
    // A call without a cached prefix loses nothing by going to a slightly faster or less loaded endpoint.
    const bool hasNoCachedPrefix = m_rules.avoidsSlowEndpoints && !prefix.endpoint;
    const bool usesObservedTokenTime =
        isSlow || (hasNoCachedPrefix && std::abs(observedMsPerToken - pool.medianMsPerToken) > TokenTimeNoiseShare * pool.medianMsPerToken);
    const double msPerToken =
        (usesObservedTokenTime ? observedMsPerToken : pool.medianMsPerToken) * (hasNoCachedPrefix ? state.loadEstimate().reportedSlowdown(now) : 1.0);
    const double slowdown = pool.medianMsPerToken > 0 ? msPerToken / pool.medianMsPerToken : 1.0;
    double costMs = state.prefillMsPerToken() * prefillTokens * slowdown;
    costMs += msPerToken * static_cast<double>(call.expectedAnswerTokens.value());
    costMs += isSlow ? state.startDelayMs() : 0;
    costMs += pool.meanServiceTimeMs * 0.25 * state.runningCalls() / std::max(1.0, state.concurrencyLimit(m_rules));
    costMs += !hasNoCachedPrefix
                  ? 0
                  : pool.meanServiceTimeMs * CrowdingCostShare * state.loadEstimate().callsOfOtherDispatchers(now) / std::max(1, endpoint.info.slots);
    costMs += endpoint.info.domain == m_ownDomain ? 0 : CrossDomainCostMs;
    return costMs;
}

void EndpointChooser::setDispatchers(std::size_t count, std::uint64_t seed)
{
    m_dispatcherCount = count;
    m_seed = seed;
}

void EndpointChooser::setUnreachableDomains(std::set<DomainId> domains)
{
    m_unreachableDomains = std::move(domains);
}

bool EndpointChooser::spreadsEvenly(const DispatchRequest &call, const EndpointPool &pool) const
{
    return m_rules.spreadsEvenly && (m_dispatcherCount > pool.endpoints.size() || call.workspace);
}

double
EndpointChooser::evenCostMs(const DispatchRequest &call, const KnownPrefix &prefix, const PoolEndpoint &endpoint, const EndpointPool &pool, Instant now) const
{
    const EndpointState &state = endpoint.state;
    const auto answerTokens = static_cast<double>(call.expectedAnswerTokens.value());
    const double observedMsPerToken = state.msPerToken(now, pool.medianMsPerToken);
    const bool isSlow = m_rules.avoidsSlowEndpoints && isSlowEndpoint(observedMsPerToken, pool);
    // Smaller differences in speed are mostly differences in load at an earlier time, which the reports tell better.
    double msPerToken = isSlow ? observedMsPerToken : pool.medianMsPerToken;
    double readingFactor = ReadAgainCostFactor;
    double usualCostMs = 0;
    if (!prefix.endpoint) {
        readingFactor = 1;
        msPerToken *= state.loadEstimate().reportedSlowdown(now);
        usualCostMs = state.usualMsPerToken() > 0 ? UsualSpeedWeight * (state.usualMsPerToken() - pool.medianUsualMsPerToken) * answerTokens : 0;
    }
    const Tokens cached = m_rules.usesPrefixAffinity && prefix.endpoint == endpoint.info.id ? prefix.tokens : Tokens(0);
    const auto uncachedTokens = static_cast<double>((call.promptTokens - cached).value());
    const double slowdown = pool.medianMsPerToken > 0 ? msPerToken / pool.medianMsPerToken : 1.0;
    const double callCostMs = pool.meanServiceTimeMs * EvenCrowdingCostShare / std::max(1, endpoint.info.slots);
    double costMs = readingFactor * state.prefillMsPerToken() * uncachedTokens * slowdown;
    costMs += msPerToken * answerTokens + usualCostMs;
    costMs += isSlow ? state.startDelayMs() : 0;
    costMs += callCostMs * pool.expectedCalls(endpoint, now);
    costMs += endpoint.info.domain == m_ownDomain ? 0 : CrossDomainCostMs + CrossDomainCalls * callCostMs;
    return costMs;
}

EndpointChoice EndpointChooser::chooseRoundRobin(const DispatchRequest &call, EndpointPool &pool, Instant now) const
{
    for (const bool allowFailed : {false, true}) {
        for (std::size_t n = 0; n < pool.endpoints.size(); ++n) {
            const std::size_t index = (pool.nextRoundRobinIndex + n) % pool.endpoints.size();
            const PoolEndpoint &endpoint = pool.endpoints[index];
            const bool hasFailed = call.failedEndpoints.count(endpoint.info.id) != 0;
            if (!takesCall(endpoint.info, call) || !endpoint.state.isUsable(now) || !endpoint.state.hasFreeSlot(m_rules) || (hasFailed && !allowFailed)) {
                continue;
            }
            pool.nextRoundRobinIndex = index + 1;
            return {endpoint.info.id, false, "round-robin"};
        }
    }
    return {};
}

EndpointChoice EndpointChooser::choose(const DispatchRequest &call, const KnownPrefix &prefix, EndpointPool &pool, Instant now) const
{
    if (!m_rules.usesPrefixAffinity && !m_rules.avoidsSlowEndpoints) {
        return chooseRoundRobin(call, pool, now);
    }
    const bool isEven = spreadsEvenly(call, pool);
    EndpointChoice best;
    double lowestCostMs = std::numeric_limits<double>::max();
    std::vector<std::pair<double, EndpointId>> candidates;
    for (const PoolEndpoint &endpoint : pool.endpoints) {
        const EndpointId &id = endpoint.info.id;
        if (!takesCall(endpoint.info, call) || !endpoint.state.isUsable(now) || isBeingProbed(endpoint, pool, now)) {
            continue;
        }
        constexpr double FailedEndpointCostMs = 1e6;
        double totalCostMs = (isEven ? evenCostMs(call, prefix, endpoint, pool, now) : estimatedCostMs(call, prefix, endpoint, pool, now))
                             + (call.failedEndpoints.count(id) != 0 ? FailedEndpointCostMs : 0)
                             + (m_unreachableDomains.count(endpoint.info.domain) != 0 ? UnreachableDomainCostMs : 0);
        const bool hasFreeSlot = endpoint.state.hasFreeSlot(m_rules);
        if (!hasFreeSlot) {
            const bool isPrefixEndpoint = m_rules.usesPrefixAffinity && prefix.endpoint == id;
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
        best.endpoint =
            chooseAmongEqual(isEven ? stableHash(call.program.value(), m_seed + call.id.value()) : stableHash(call.program.value()), candidates, lowestCostMs);
    }
    if (best.endpoint) {
        best.reason = fmt::format("lowest cost {:.1f} ms", lowestCostMs);
        if (isEven) {
            best.reason +=
                fmt::format(", expected calls {:.1f}, mean of others' {:.1f}", pool.expectedCalls(*pool.find(*best.endpoint), now), pool.meanCallsOfOthers);
        }
    }
    return best;
}

} // namespace flamingo

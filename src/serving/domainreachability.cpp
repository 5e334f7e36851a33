#include "serving/domainreachability.h"

#include <utility>

namespace flamingo
{

namespace
{
/// Regular calls usually show that a domain can be reached. After this long without a response its members are pinged.
constexpr Milliseconds PingDelay{200};
constexpr Milliseconds PingInterval{150};
/// A domain is unreachable when several members have not responded, since a single one may be down.
constexpr int MinUnansweredPings = 3;
/// A ping that was sent before this process was paused may have been answered meanwhile, so the last one gets time as well.
constexpr Milliseconds MinPingTime{100};
} // namespace

void DomainReachability::recordResponse(const DomainId &domain, Instant now)
{
    Domain &it = m_domains[domain];
    it.lastResponseAt = now;
    it.unansweredPings = 0;
}

std::vector<DomainId> DomainReachability::takeDomainsToPing(const std::set<DomainId> &domains, Instant now)
{
    for (auto it = m_domains.begin(); it != m_domains.end();) {
        it = domains.count(it->first) == 0 ? m_domains.erase(it) : std::next(it);
    }
    std::vector<DomainId> due;
    for (const DomainId &id : domains) {
        const auto [it, isNew] = m_domains.try_emplace(id);
        Domain &domain = it->second;
        if (isNew) {
            domain.lastResponseAt = now;
        }
        if (now - domain.lastResponseAt >= PingDelay && now - domain.lastPingAt >= PingInterval) {
            domain.lastPingAt = now;
            ++domain.unansweredPings;
            due.push_back(id);
        }
    }
    return due;
}

bool DomainReachability::update(Instant now)
{
    std::set<DomainId> unreachable;
    for (const auto &[id, domain] : m_domains) {
        const bool wasUnreachable = m_unreachableDomains.count(id) != 0;
        const bool isSilent = domain.unansweredPings >= MinUnansweredPings && now - domain.lastPingAt >= MinPingTime;
        if (isSilent || (wasUnreachable && domain.unansweredPings > 0)) {
            unreachable.insert(id);
        }
    }
    return std::exchange(m_unreachableDomains, unreachable) != unreachable;
}

const std::set<DomainId> &DomainReachability::unreachableDomains() const
{
    return m_unreachableDomains;
}

} // namespace flamingo

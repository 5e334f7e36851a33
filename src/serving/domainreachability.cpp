#include "serving/domainreachability.h"

#include <utility>

namespace flamingo
{

namespace
{
/// Regular calls usually show that a domain can be reached. After this long without a response its members are pinged.
constexpr Milliseconds PingDelay{200};
constexpr Milliseconds PingInterval{150};
/// A domain is unreachable when this many members, asked in turn, have not responded, since a single one may be down.
constexpr std::size_t MinUnansweredPings = 3;
/// A ping that was sent before this process was paused may have been answered meanwhile, so the last one gets time as well.
constexpr Milliseconds MinPingTime{100};
} // namespace

void DomainReachability::recordResponse(const DomainId &domain, Instant now)
{
    Domain &it = m_domains[domain];
    it.lastResponseAt = now;
    it.unansweredPings = 0;
    it.isUnreachable = false;
}

std::vector<DomainReachability::Ping> DomainReachability::takePings(const std::map<DomainId, std::size_t> &memberCounts, Instant now)
{
    const auto isJudged = [&](const DomainId &id) {
        const auto it = memberCounts.find(id);
        return it != memberCounts.end() && it->second >= MinUnansweredPings;
    };
    for (auto it = m_domains.begin(); it != m_domains.end();) {
        it = isJudged(it->first) ? std::next(it) : m_domains.erase(it);
    }
    std::vector<Ping> due;
    for (const auto &[id, memberCount] : memberCounts) {
        if (!isJudged(id)) {
            continue;
        }
        const auto [it, isNew] = m_domains.try_emplace(id);
        Domain &domain = it->second;
        if (isNew) {
            domain.lastResponseAt = now;
        }
        if (now - domain.lastResponseAt >= PingDelay && now - domain.lastPingAt >= PingInterval) {
            domain.lastPingAt = now;
            ++domain.unansweredPings;
            due.push_back({id, domain.nextPing++});
        }
    }
    return due;
}

bool DomainReachability::update(Instant now)
{
    std::set<DomainId> unreachable;
    for (auto &[id, domain] : m_domains) {
        const bool isSilent = domain.unansweredPings >= MinUnansweredPings && now - domain.lastPingAt >= MinPingTime;
        domain.isUnreachable = domain.isUnreachable || isSilent;
        if (domain.isUnreachable) {
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

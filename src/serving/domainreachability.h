#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace flamingo
{

/// Detects which other failure domains can't be reached. It answers the load of a cut: each of the many calls into the domain would wait
/// for a timeout of its own, while their callers could be served elsewhere. It does no I/O.
class DomainReachability
{
public:
    /// A member of the domain has responded.
    void recordResponse(const DomainId &domain, Instant now);

    /// A ping that is due. Successive pings of a domain have successive numbers, so that they can go to different members.
    struct Ping {
        DomainId domain;
        std::size_t number = 0;
    };

    /// Which of the domains, given with the numbers of their members, should be pinged now, because nothing has been heard from them for a
    /// while. Domains that are not given are forgotten, and so are those with few members: they may all be down while the rest of the
    /// domain can be reached.
    std::vector<Ping> takePings(const std::map<DomainId, std::size_t> &memberCounts, Instant now);

    /// Judges the domains anew. Returns whether one of them has become unreachable or reachable.
    bool update(Instant now);

    /// The domains that can't be reached.
    const std::set<DomainId> &unreachableDomains() const;

private:
    struct Domain {
        Instant lastResponseAt{};
        Instant lastPingAt{};
        std::size_t nextPing = 0; ///< Number of the next ping.
        std::size_t unansweredPings = 0;
        bool isUnreachable = false;
    };

    std::map<DomainId, Domain> m_domains;
    std::set<DomainId> m_unreachableDomains;
};

} // namespace flamingo

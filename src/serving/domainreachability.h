#pragma once

#include "core/ids.h"
#include "core/time.h"

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

    /// Which of the domains should be pinged now, because nothing has been heard from them for a while. Domains that are not among the
    /// given ones are forgotten.
    std::vector<DomainId> takeDomainsToPing(const std::set<DomainId> &domains, Instant now);

    /// Judges the domains anew. Returns whether one of them has become unreachable or reachable.
    bool update(Instant now);

    /// The domains that can't be reached.
    const std::set<DomainId> &unreachableDomains() const;

private:
    struct Domain {
        Instant lastResponseAt{};
        Instant lastPingAt{};
        int unansweredPings = 0;
    };

    std::map<DomainId, Domain> m_domains;
    std::set<DomainId> m_unreachableDomains;
};

} // namespace flamingo

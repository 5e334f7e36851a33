#pragma once

#include "core/ids.h"

#include <set>

namespace flamingo
{

/// What it costs to send a call to another failure domain. It answers the load of a cut, in which calls into the domain would wait for
/// timeouts. It does no I/O.
class DomainCosts
{
public:
    explicit DomainCosts(DomainId ownDomain);

    /// Sets the failure domains that can't be reached. Their endpoints are used only where no other has a free slot.
    void setUnreachableDomains(std::set<DomainId> domains);

    /// In addition to the cost of the endpoint itself.
    double costMs(const DomainId &domain) const;

private:
    DomainId m_ownDomain;
    std::set<DomainId> m_unreachableDomains;
};

} // namespace flamingo

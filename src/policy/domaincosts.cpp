#include "policy/domaincosts.h"

#include <utility>

namespace flamingo
{

namespace
{
constexpr double CrossDomainCostMs = 3.0;
/// More than any other cost of an endpoint that has not failed.
constexpr double UnreachableDomainCostMs = 1e5;
} // namespace

DomainCosts::DomainCosts(DomainId ownDomain)
    : m_ownDomain(std::move(ownDomain))
{
}

void DomainCosts::setUnreachableDomains(std::set<DomainId> domains)
{
    m_unreachableDomains = std::move(domains);
}

double DomainCosts::costMs(const DomainId &domain) const
{
    if (domain == m_ownDomain) {
        return 0;
    }
    return m_unreachableDomains.count(domain) == 0 ? CrossDomainCostMs : CrossDomainCostMs + UnreachableDomainCostMs;
}

} // namespace flamingo

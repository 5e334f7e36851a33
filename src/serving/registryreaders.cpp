#include "serving/registryreaders.h"

#include "core/digest.h"

#include <algorithm>
#include <set>

namespace flamingo
{

namespace
{
constexpr Milliseconds AvoidanceTime{3000};

std::uint64_t readerWeight(const InstanceId &id)
{
    return stableHash(id.value(), stableHash("registry-reader"));
}
} // namespace

RegistryReaders::RegistryReaders(const MemberDirectory &members, std::size_t readersPerDomain)
    : m_members(members)
    , m_readersPerDomain(readersPerDomain)
{
}

void RegistryReaders::refresh()
{
    std::map<DomainId, std::vector<MemberRecord>> byDomain;
    for (MemberRecord &member : m_members.otherInstances()) {
        byDomain[member.domain].push_back(std::move(member));
    }
    m_readerCount = 0;
    byDomain[m_members.ownDomain()];
    for (const auto &[domain, members] : byDomain) {
        const std::size_t own = domain == m_members.ownDomain() ? 1 : 0;
        m_readerCount += std::min(m_readersPerDomain, members.size() + own);
    }
    m_readers = std::move(byDomain[m_members.ownDomain()]);
    std::sort(m_readers.begin(), m_readers.end(), [](const MemberRecord &a, const MemberRecord &b) { return readerWeight(a.id) > readerWeight(b.id); });
    const std::uint64_t ownWeight = readerWeight(m_members.self());
    m_isReader = m_readers.size() < m_readersPerDomain || ownWeight > readerWeight(m_readers[m_readersPerDomain - 1].id);
    m_readers.resize(std::min(m_readers.size(), m_readersPerDomain));
    // Each instance has its own order of preference, so that the readers share the load.
    const auto preference = [this](const MemberRecord &member) { return stableHash(member.id.value(), stableHash(m_members.self().value())); };
    std::sort(m_readers.begin(), m_readers.end(), [&](const MemberRecord &a, const MemberRecord &b) { return preference(a) > preference(b); });
}

bool RegistryReaders::isReader() const
{
    return m_isReader;
}

std::optional<MemberRecord> RegistryReaders::choose(Instant now) const
{
    if (m_isReader) {
        return std::nullopt;
    }
    for (const MemberRecord &reader : m_readers) {
        const auto it = m_avoidedUntil.find(reader.id);
        if (it == m_avoidedUntil.end() || now >= it->second) {
            return reader;
        }
    }
    return std::nullopt;
}

void RegistryReaders::onFailure(const InstanceId &reader, Instant now)
{
    m_avoidedUntil[reader] = now + AvoidanceTime;
}

std::size_t RegistryReaders::readerCount() const
{
    return m_readerCount;
}

} // namespace flamingo

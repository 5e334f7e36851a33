#pragma once

#include "serving/memberdirectory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace flamingo
{

/// Decides from which member an instance gets the changes of the registry. With hundreds of instances, the store can't tell each
/// of them of each change. So in each failure domain a few instances, on which all agree by rendezvous hashing, read the store,
/// and the others ask one of these. An instance that gets no answer from any reader reads the store itself.
class RegistryReaders
{
public:
    /// readersPerDomain has to be larger than the number of instances that may be lost at once.
    RegistryReaders(const MemberDirectory &members, std::size_t readersPerDomain);

    /// Recomputes the readers after a change of the member list.
    void refresh();

    /// Whether this instance reads the store for others of its failure domain.
    bool isReader() const;

    /// The reader to ask; nothing if this instance reads the store itself.
    std::optional<MemberRecord> choose(Instant now) const;

    /// The reader hasn't answered or can't, and is not asked for a while.
    void onFailure(const InstanceId &reader, Instant now);

    /// The number of instances that read the store, in all failure domains.
    std::size_t readerCount() const;

private:
    const MemberDirectory &m_members;
    const std::size_t m_readersPerDomain;
    std::vector<MemberRecord> m_readers; ///< Those of this domain in the order in which this instance prefers them.
    std::size_t m_readerCount = 1;
    bool m_isReader = true;
    std::map<InstanceId, Instant> m_avoidedUntil;
};

} // namespace flamingo

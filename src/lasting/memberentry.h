#pragma once

#include "platform/platformstore.h"
#include "serving/fleet.h"

#include <functional>
#include <optional>
#include <vector>

namespace flamingo
{

/// This process's own entry in the list of members, with the sign of life beside it.
class MemberEntry
{
public:
    MemberEntry(platform::PlatformStore &store, InstanceId id);

    /// What writes the entry and a sign of life.
    platform::StoreTransaction entering(const FleetMember &member) const;

    /// Writes a sign of life; a failure is logged.
    void giveSign();

    /// Removes entry and sign together with what else the transaction does; a failure is logged.
    void leave(platform::StoreTransaction transaction);

private:
    void commit(const platform::StoreTransaction &transaction, const char *failure);

    platform::PlatformStore &m_store;
    InstanceId m_id;
};

/// Reads the list of members as it stands in the store now; nothing when it could not be read whole. Entries that can't be
/// decoded are left out.
void readMembers(platform::PlatformStore &store, std::function<void(std::optional<std::vector<FleetMember>> members)> onMembers);

} // namespace flamingo

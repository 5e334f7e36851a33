#pragma once

#include "platform/platformstore.h"
#include "serving/memberdirectory.h"

#include <functional>
#include <optional>
#include <vector>

namespace flamingo
{

/// This process's own entry in the list of members, with the sign of life beside it.
class MemberRegistration
{
public:
    MemberRegistration(platform::PlatformStore &store, InstanceId id);

    /// What writes the entry and a sign of life.
    platform::StoreTransaction registrationTransaction(const MemberRecord &member) const;

    /// Writes a sign of life; a failure is logged.
    void sendHeartbeat();

    /// Removes entry and sign together with what else the transaction does; a failure is logged.
    void deregister(platform::StoreTransaction transaction);

private:
    void commit(const platform::StoreTransaction &transaction, const char *failureEvent);

    platform::PlatformStore &m_store;
    InstanceId m_id;
};

/// Reads the list of members as it stands in the store now; nothing when it could not be read whole. Entries that can't be
/// decoded are left out.
void readMembers(platform::PlatformStore &store, std::function<void(std::optional<std::vector<MemberRecord>> members)> onMembers);

} // namespace flamingo

#pragma once

#include "platform/platformstore.h"
#include "serving/memberdirectory.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// This process's own entry in the member list, and its heartbeat.
class MemberRegistration
{
public:
    MemberRegistration(platform::PlatformStore &store, InstanceId id);

    /// The keys of the entry and of the heartbeat.
    std::string entryKey() const;
    std::string heartbeatKey() const;

    /// A transaction that writes the entry and a heartbeat with this content.
    platform::StoreTransaction registrationTransaction(const MemberRecord &member, const std::string &heartbeat) const;

    /// Writes a heartbeat; a failure is logged.
    void sendHeartbeat();

    /// Commits the transaction with the removal of the entry and the heartbeat added; a failure is logged.
    void deregister(platform::StoreTransaction transaction);

private:
    void commit(const platform::StoreTransaction &transaction, const char *failureEvent);

    platform::PlatformStore &m_store;
    InstanceId m_id;
};

/// Reads the present member list from the store. The handler gets std::nullopt when a page could not be read. Entries that
/// can't be decoded are left out.
void readMembers(platform::PlatformStore &store, std::function<void(std::optional<std::vector<MemberRecord>> members)> onMembers);

} // namespace flamingo

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

    /// A transaction that writes the entry and a heartbeat, which has this content for the member's next incarnation.
    platform::StoreTransaction registrationTransaction(const MemberRecord &member, const std::string &heartbeat = {}) const;

    /// Writes a heartbeat. A failure is logged, and the handler is told.
    void sendHeartbeat(
        const std::string &heartbeat = {},
        std::function<void(bool isWritten)> onWritten = [](bool) {});

    /// Commits the transaction with the removal of the entry and the heartbeat added; a failure is logged.
    void deregister(platform::StoreTransaction transaction);

private:
    void commit(const platform::StoreTransaction &transaction, const char *failureEvent, std::function<void(bool isCommitted)> onEnded);

    platform::PlatformStore &m_store;
    InstanceId m_id;
};

/// Reads the present member list from the store. The handler gets std::nullopt when a page could not be read. Entries that
/// can't be decoded are left out.
void readMembers(platform::PlatformStore &store, std::function<void(std::optional<std::vector<MemberRecord>> members)> onMembers);

} // namespace flamingo

#pragma once

#include "core/timerservice.h"
#include "persistence/memberregistration.h"
#include "serving/granthistory.h"
#include "serving/markfence.h"
#include "serving/provisionalgrantpolicy.h"

namespace flamingo
{

/// Puts this process on the member list when it starts, puts it back there when others presumed it dead, and takes it off when it
/// stops. Tells the ProvisionalGrantPolicy what the store knows of earlier incarnations.
class InstanceRegistration
{
public:
    struct Hooks {
        std::function<GrantHistory()> history; ///< The content of heartbeats.
        /// There was an earlier incarnation: the history to go on with, and whether it listened at the same address, so that it has
        /// ended for certain.
        std::function<void(GrantHistory history, bool hasEnded)> onEarlierIncarnation;
        /// This process asks to be put on the list, for the first time or again.
        std::function<void()> onRegistering;
        /// It is on the list. Whether the store knew nothing of this machine, and the entry that was replaced, if that was of an earlier
        /// incarnation which has ended and wasn't presumed dead.
        std::function<void(bool isNewMachine, const std::optional<MemberRecord> &earlier)> onRegistered;
    };

    /// self is this process's entry.
    InstanceRegistration(MemberRecord self,
                         platform::PlatformStore &store,
                         TimerService &timers,
                         MemberDirectory &members,
                         ProvisionalGrantPolicy &grantPolicy,
                         Hooks hooks);

    /// Registers once the store has told whether the last shutdown was planned, or has failed to.
    void start();

    /// Registers again if the list has this process no longer, as presumed dead or fenced, since it couldn't reach the store or others for
    /// a while.
    void onMembersChanged();

    /// Must not be called once the process has asked to be taken off the list. The handler gets the revision at which the heartbeat was
    /// written, or nothing.
    void sendHeartbeat(std::function<void(std::optional<MemberListRevision> revision)> onWritten = [](std::optional<MemberListRevision>) {});

    /// The revision of this process's entry; nothing as long as the store hasn't accepted it.
    std::optional<MemberListRevision> listedRevision() const;

    /// Takes the process off the list for good. It stays listed, like one that has crashed, while the store may not have recorded
    /// all provisional grants of this incarnation or of earlier ones.
    void tryDeregister(bool hasProvisionalGrants);

    bool isDeregistrationRequested() const;

private:
    /// Of this process's keys, as last seen. Writes depend on them, so that one which arrives late changes nothing.
    struct Revisions {
        platform::Revision entry = 0;
        platform::Revision heartbeat = 0;
    };

    void registerMember();
    void commit();
    void onCommitted(const platform::TransactionResult &result);
    void onEarlierEntry(const std::optional<MemberRecord> &member, const std::string &heartbeat);
    void onRegistered();
    std::optional<MemberListRevision> onHeartbeatCommitted(const platform::TransactionResult &result);

    MemberRecord m_self;
    platform::PlatformStore &m_store;
    TimerService &m_timers;
    MemberDirectory &m_members;
    ProvisionalGrantPolicy &m_grantPolicy;
    Hooks m_hooks;
    MemberRegistration m_entry;
    Revisions m_revisions;
    bool m_hadEarlierEntry = false; ///< Of an earlier incarnation.
    bool m_hadShutdownMarker = false;
    std::optional<MemberRecord> m_replacedEntry; ///< Compare Hooks::onRegistered.
    bool m_isRegistering = true; ///< Until the store has accepted the entry.
    bool m_isDeregistrationRequested = false;
};

} // namespace flamingo

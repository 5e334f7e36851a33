#include "instance/instanceregistration.h"

#include "core/log.h"
#include "serving/cleanshutdownmarker.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds RegistrationRetryDelay{500};

std::string shutdownMarkerKey(const InstanceId &instance)
{
    return CleanShutdownMarker::KeyPrefix + instance.value();
}

/// The item with this key; one with revision 0 if it is absent.
platform::StoreItem findItem(const std::vector<platform::StoreItem> &items, const std::string &key)
{
    const auto it = std::find_if(items.begin(), items.end(), [&](const platform::StoreItem &item) { return item.key == key; });
    return it == items.end() ? platform::StoreItem() : *it;
}
} // namespace

InstanceRegistration::InstanceRegistration(MemberRecord self,
                                           platform::PlatformStore &store,
                                           TimerService &timers,
                                           MemberDirectory &members,
                                           ProvisionalGrantPolicy &grantPolicy,
                                           Hooks hooks)
    : m_self(std::move(self))
    , m_store(store)
    , m_timers(timers)
    , m_members(members)
    , m_grantPolicy(grantPolicy)
    , m_hooks(std::move(hooks))
    , m_entry(store, m_self.id)
{
    m_self.listedSinceMs = startTimeMs(m_self.incarnation).value_or(0);
    m_grantPolicy.setRegistering();
}

void InstanceRegistration::start()
{
    m_store.read(shutdownMarkerKey(m_self.id), [this](const tl::expected<platform::StoreItem, platform::StoreFailure> &item) {
        const auto marker = item && item->revision != 0 ? CleanShutdownMarker::decode(item->data) : std::nullopt;
        m_hadShutdownMarker = !item || item->revision != 0;
        if (marker && marker->isRecent(CleanShutdownMarker::now())) {
            m_grantPolicy.setCleanRestart();
        }
        logChange("last-shutdown", "store_responded={} was_planned={}", item.has_value(), marker.has_value());
        registerMember();
    });
}

void InstanceRegistration::registerMember()
{
    if (m_isDeregistrationRequested) {
        return;
    }
    m_isRegistering = true;
    m_hooks.onRegistering();
    m_members.put(m_self);
    commit();
}

// The first try succeeds only if there is no earlier entry, so that it tells whether this machine is new. Otherwise it gets the earlier
// incarnation's heartbeat.
void InstanceRegistration::commit()
{
    platform::StoreTransaction transaction = m_entry.registrationTransaction(m_self, m_hooks.history().encode());
    transaction.removals.push_back(shutdownMarkerKey(m_self.id));
    transaction.preconditions.push_back({m_entry.entryKey(), m_revisions.entry});
    transaction.preconditions.push_back({m_entry.heartbeatKey(), m_revisions.heartbeat});
    m_store.commit(transaction, [this](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (!result) {
            logChange("registration-failed", "reason=\"{}\"", result.error().detail);
            m_timers.at(std::chrono::steady_clock::now() + RegistrationRetryDelay, [this](Instant) { registerMember(); });
            return;
        }
        onCommitted(*result);
    });
}

void InstanceRegistration::onCommitted(const platform::TransactionResult &result)
{
    if (result.isCommitted) {
        m_revisions = {result.revision, result.revision};
        onRegistered();
        return;
    }
    const platform::StoreItem entry = findItem(result.currentItems, m_entry.entryKey());
    const platform::StoreItem heartbeat = findItem(result.currentItems, m_entry.heartbeatKey());
    m_revisions = {entry.revision, heartbeat.revision};
    const auto member = entry.revision == 0 ? std::nullopt : MemberRecord::decode(m_self.id, entry.data);
    const bool isOwn = member && member->incarnation == m_self.incarnation;
    const bool hasEnded = member && !isOwn && !member->isPresumedDead && member->peerAddress.text() == m_self.peerAddress.text();
    m_replacedEntry = hasEnded ? member : std::nullopt;
    if (hasEnded) {
        m_self.listedSinceMs = member->listedSinceMs != 0 ? member->listedSinceMs : startTimeMs(member->incarnation).value_or(0);
    }
    if (isOwn && !member->isPresumedDead && member->grantFence.value().empty()) {
        onRegistered(); // By an earlier try whose response was lost.
        return;
    }
    if (!isOwn && (entry.revision != 0 || heartbeat.revision != 0)) {
        onEarlierEntry(member, heartbeat.data);
    }
    commit();
}

void InstanceRegistration::onEarlierEntry(const std::optional<MemberRecord> &member, const std::string &heartbeat)
{
    if (std::exchange(m_hadEarlierEntry, true)) {
        return;
    }
    const auto earlier = heartbeat.empty() ? std::nullopt : GrantHistory::decode(heartbeat);
    const bool hasEnded = member && member->peerAddress.text() == m_self.peerAddress.text();
    m_hooks.onEarlierIncarnation(earlier ? earlier->next(m_self.incarnation) : GrantHistory::afterUnknown(m_self.incarnation), hasEnded);
}

void InstanceRegistration::onRegistered()
{
    m_isRegistering = false;
    m_grantPolicy.setRegistered(m_hadEarlierEntry, suspendAwareNow());
    m_hooks.onRegistered(!m_hadEarlierEntry && !m_hadShutdownMarker, m_replacedEntry);
    m_replacedEntry.reset();
    logChange("registered", "id={} had_earlier_entry={}", m_self.id.value(), m_hadEarlierEntry);
}

void InstanceRegistration::onMembersChanged()
{
    const MemberRecord *listed = m_members.find(m_self.id);
    const bool isFenced = listed && !listed->grantFence.value().empty();
    if (m_isRegistering || (listed && !listed->isPresumedDead && !isFenced)) {
        return;
    }
    if (!listed || listed->isPresumedDead) {
        m_self.listedSinceMs = CleanShutdownMarker::now().wallTime.count();
    }
    if (isFenced) {
        logChange("fenced", "fence={}", listed->grantFence.value());
        m_grantPolicy.setFenced(suspendAwareNow());
    }
    registerMember();
}

std::optional<MemberListRevision> InstanceRegistration::listedRevision() const
{
    return m_isRegistering ? std::nullopt : std::make_optional(MemberListRevision(m_revisions.entry));
}

void InstanceRegistration::sendHeartbeat(std::function<void(std::optional<MemberListRevision>)> onWritten)
{
    if (m_isRegistering) {
        onWritten(std::nullopt);
        return;
    }
    platform::StoreTransaction transaction;
    transaction.writes.push_back({m_entry.heartbeatKey(), m_hooks.history().encode()});
    transaction.preconditions.push_back({m_entry.heartbeatKey(), m_revisions.heartbeat});
    m_store.commit(transaction, [this, onWritten = std::move(onWritten)](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (!result) {
            logChange("heartbeat-not-written", "reason=\"{}\"", result.error().detail);
        }
        onWritten(result ? onHeartbeatCommitted(*result) : std::nullopt);
    });
}

// Returns the revision at which the heartbeat was written. After an earlier one whose response was lost, the next try succeeds.
std::optional<MemberListRevision> InstanceRegistration::onHeartbeatCommitted(const platform::TransactionResult &result)
{
    if (result.isCommitted) {
        m_revisions.heartbeat = result.revision;
        return MemberListRevision(result.revision);
    }
    const platform::StoreItem heartbeat = findItem(result.currentItems, m_entry.heartbeatKey());
    const auto history = heartbeat.revision == 0 ? std::nullopt : GrantHistory::decode(heartbeat.data);
    const bool isOwn = history && history->own.incarnation == m_self.incarnation;
    if (isOwn) {
        m_revisions.heartbeat = heartbeat.revision;
    }
    logChange("heartbeat-conflict", "revision={} is_own={}", heartbeat.revision, isOwn);
    return std::nullopt;
}

void InstanceRegistration::tryDeregister(bool hasProvisionalGrants)
{
    if (m_isDeregistrationRequested || hasProvisionalGrants || !m_grantPolicy.mayDeregister(suspendAwareNow())) {
        return;
    }
    m_isDeregistrationRequested = true;
    platform::StoreTransaction transaction;
    transaction.writes.push_back({shutdownMarkerKey(m_self.id), CleanShutdownMarker::now().encode()});
    m_entry.deregister(std::move(transaction));
}

bool InstanceRegistration::isDeregistrationRequested() const
{
    return m_isDeregistrationRequested;
}

} // namespace flamingo

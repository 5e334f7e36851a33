#include "instance/instanceregistration.h"

#include "core/log.h"
#include "serving/cleanshutdownmarker.h"

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
} // namespace

InstanceRegistration::InstanceRegistration(MemberRecord self,
                                           platform::PlatformStore &store,
                                           TimerService &timers,
                                           MemberDirectory &members,
                                           ProvisionalGrantPolicy &grantPolicy)
    : m_self(std::move(self))
    , m_store(store)
    , m_timers(timers)
    , m_members(members)
    , m_grantPolicy(grantPolicy)
    , m_entry(store, m_self.id)
{
    m_grantPolicy.setRegistering();
}

void InstanceRegistration::start()
{
    m_store.read(shutdownMarkerKey(m_self.id), [this](const tl::expected<platform::StoreItem, platform::StoreFailure> &item) {
        const auto marker = item && item->revision != 0 ? CleanShutdownMarker::decode(item->data) : std::nullopt;
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
    m_members.put(m_self);
    commit(true);
}

// The first try succeeds only if there is no earlier entry, so that it tells whether this machine is new.
void InstanceRegistration::commit(bool mustBeNew)
{
    platform::StoreTransaction transaction = m_entry.registrationTransaction(m_self);
    transaction.removals.push_back(shutdownMarkerKey(m_self.id));
    if (mustBeNew) {
        transaction.preconditions.push_back({MemberDirectory::KeyPrefix + m_self.id.value(), 0});
    }
    m_store.commit(transaction, [this, mustBeNew](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (!result) {
            logChange("registration-failed", "reason=\"{}\"", result.error().detail);
            m_timers.at(std::chrono::steady_clock::now() + RegistrationRetryDelay, [this](Instant) { registerMember(); });
            return;
        }
        onCommitted(*result, mustBeNew);
    });
}

void InstanceRegistration::onCommitted(const platform::TransactionResult &result, bool mustBeNew)
{
    if (result.isCommitted) {
        onRegistered(!mustBeNew);
        return;
    }
    const auto earlier = result.currentItems.empty() ? std::nullopt : MemberRecord::decode(m_self.id, result.currentItems.front().data);
    const bool isOwn = earlier && earlier->incarnation == m_self.incarnation && !earlier->isPresumedDead;
    if (isOwn) {
        onRegistered(false); // By an earlier try whose response was lost.
    } else {
        commit(false);
    }
}

void InstanceRegistration::onRegistered(bool hadEarlierEntry)
{
    m_isRegistering = false;
    m_grantPolicy.setRegistered(hadEarlierEntry, suspendAwareNow());
    logChange("registered", "id={} had_earlier_entry={}", m_self.id.value(), hadEarlierEntry);
}

void InstanceRegistration::onMembersChanged()
{
    const MemberRecord *listed = m_members.find(m_self.id);
    if (!m_isRegistering && (!listed || listed->isPresumedDead)) {
        registerMember();
    }
}

void InstanceRegistration::sendHeartbeat()
{
    m_entry.sendHeartbeat();
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

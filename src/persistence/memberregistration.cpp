#include "persistence/memberregistration.h"

#include "core/log.h"
#include "serving/livenesstracker.h"

#include <memory>
#include <string_view>
#include <utility>

namespace flamingo
{

MemberRegistration::MemberRegistration(platform::PlatformStore &store, InstanceId id)
    : m_store(store)
    , m_id(std::move(id))
{
}

std::string MemberRegistration::entryKey() const
{
    return MemberDirectory::KeyPrefix + m_id.value();
}

std::string MemberRegistration::heartbeatKey() const
{
    return LivenessTracker::HeartbeatPrefix + m_id.value();
}

platform::StoreTransaction MemberRegistration::registrationTransaction(const MemberRecord &member, const std::string &heartbeat) const
{
    platform::StoreTransaction transaction;
    transaction.writes = {{entryKey(), member.encode()}, {heartbeatKey(), heartbeat}};
    return transaction;
}

void MemberRegistration::sendHeartbeat()
{
    platform::StoreTransaction transaction;
    transaction.writes.push_back({heartbeatKey(), m_id.value()});
    commit(transaction, "heartbeat-not-written");
}

void MemberRegistration::deregister(platform::StoreTransaction transaction)
{
    transaction.removals.push_back(entryKey());
    transaction.removals.push_back(heartbeatKey());
    commit(transaction, "deregistration-failed");
}

void MemberRegistration::commit(const platform::StoreTransaction &transaction, const char *failureEvent)
{
    m_store.commit(transaction, [failureEvent](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (!result) {
            logChange(failureEvent, "reason=\"{}\"", result.error().detail);
        }
    });
}

void readMembers(platform::PlatformStore &store, std::function<void(std::optional<std::vector<MemberRecord>>)> onMembers)
{
    auto members = std::make_shared<std::vector<MemberRecord>>();
    const auto onPage = [members](const platform::StorePage &page) {
        for (const platform::StoreItem &item : page.items) {
            if (auto member = MemberRecord::decode(InstanceId(item.key.substr(std::string_view(MemberDirectory::KeyPrefix).size())), item.data)) {
                members->push_back(std::move(*member));
            }
        }
    };
    store.listAll(MemberDirectory::KeyPrefix, onPage, [members, onMembers = std::move(onMembers)](bool isWhole) {
        onMembers(isWhole ? std::optional<std::vector<MemberRecord>>(std::move(*members)) : std::nullopt);
    });
}

} // namespace flamingo

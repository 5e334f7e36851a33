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

platform::StoreTransaction MemberRegistration::registrationTransaction(const MemberRecord &member, const std::string &heartbeat) const
{
    platform::StoreTransaction transaction;
    transaction.writes = {{MemberDirectory::KeyPrefix + m_id.value(), member.encode()}, {LivenessTracker::HeartbeatPrefix + m_id.value(), heartbeat}};
    return transaction;
}

void MemberRegistration::sendHeartbeat(const std::string &heartbeat, std::function<void(bool)> onWritten)
{
    platform::StoreTransaction transaction;
    transaction.writes.push_back({LivenessTracker::HeartbeatPrefix + m_id.value(), heartbeat});
    commit(transaction, "heartbeat-not-written", std::move(onWritten));
}

void MemberRegistration::deregister(platform::StoreTransaction transaction)
{
    transaction.removals.push_back(MemberDirectory::KeyPrefix + m_id.value());
    transaction.removals.push_back(LivenessTracker::HeartbeatPrefix + m_id.value());
    commit(transaction, "deregistration-failed", [](bool) {});
}

void MemberRegistration::commit(const platform::StoreTransaction &transaction, const char *failureEvent, std::function<void(bool)> onEnded)
{
    m_store.commit(transaction, [failureEvent, onEnded = std::move(onEnded)](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (!result) {
            logChange(failureEvent, "reason=\"{}\"", result.error().detail);
        }
        onEnded(result.has_value());
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

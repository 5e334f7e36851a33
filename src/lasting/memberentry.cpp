#include "lasting/memberentry.h"

#include "core/log.h"
#include "serving/fleetsweep.h"

#include <memory>
#include <string_view>
#include <utility>

namespace flamingo
{

MemberEntry::MemberEntry(platform::PlatformStore &store, InstanceId id)
    : m_store(store)
    , m_id(std::move(id))
{
}

platform::StoreTransaction MemberEntry::entering(const FleetMember &member) const
{
    platform::StoreTransaction transaction;
    transaction.writes = {{Fleet::KeyPrefix + m_id.value(), member.encode()}, {FleetSweep::SignPrefix + m_id.value(), m_id.value()}};
    return transaction;
}

void MemberEntry::giveSign()
{
    platform::StoreTransaction transaction;
    transaction.writes.push_back({FleetSweep::SignPrefix + m_id.value(), m_id.value()});
    commit(transaction, "sign-not-given");
}

void MemberEntry::leave(platform::StoreTransaction transaction)
{
    transaction.removals.push_back(Fleet::KeyPrefix + m_id.value());
    transaction.removals.push_back(FleetSweep::SignPrefix + m_id.value());
    commit(transaction, "not-left");
}

void MemberEntry::commit(const platform::StoreTransaction &transaction, const char *failure)
{
    m_store.commit(transaction, [failure](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (!result) {
            logChange(failure, "reason=\"{}\"", result.error().detail);
        }
    });
}

void readMembers(platform::PlatformStore &store, std::function<void(std::optional<std::vector<FleetMember>>)> onMembers)
{
    auto members = std::make_shared<std::vector<FleetMember>>();
    const auto onPage = [members](const platform::StorePage &page) {
        for (const platform::StoreItem &item : page.items) {
            if (auto member = FleetMember::decode(InstanceId(item.key.substr(std::string_view(Fleet::KeyPrefix).size())), item.data)) {
                members->push_back(std::move(*member));
            }
        }
    };
    store.listAll(Fleet::KeyPrefix, onPage, [members, onMembers = std::move(onMembers)](bool isWhole) {
        onMembers(isWhole ? std::optional<std::vector<FleetMember>>(std::move(*members)) : std::nullopt);
    });
}

} // namespace flamingo

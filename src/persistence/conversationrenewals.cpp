#include "persistence/conversationrenewals.h"

#include "core/log.h"

#include <charconv>
#include <string_view>

namespace flamingo
{

platform::KeyWrite renewalWrite(const TurnRecord &turn)
{
    return {renewalKey(storedId(turn.conversation())), std::to_string(turn.retention.count())};
}

void readRenewals(platform::PlatformStore &store, std::function<void(std::optional<ConversationRenewals>)> onRead)
{
    auto renewals = std::make_shared<ConversationRenewals>();
    const auto onPage = [renewals](const platform::StorePage &page) {
        for (const platform::StoreItem &item : page.items) {
            std::int64_t retentionMs = 0;
            std::from_chars(item.data.data(), item.data.data() + item.data.size(), retentionMs);
            const StoredId conversation(item.key.substr(std::string_view(RenewalKeyPrefix).size()));
            (*renewals)[conversation] = {item.revision, Milliseconds(retentionMs)};
        }
    };
    store.listAll(RenewalKeyPrefix, onPage, [renewals, onRead = std::move(onRead)](bool isComplete) {
        if (!isComplete) {
            logChange("renewals-not-read", "read={}", renewals->size());
        }
        onRead(isComplete ? std::optional<ConversationRenewals>(std::move(*renewals)) : std::nullopt);
    });
}

} // namespace flamingo

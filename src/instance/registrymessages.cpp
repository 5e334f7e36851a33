#include "instance/registrymessages.h"

#include "core/codec.h"
#include "core/decoding.h"

#include <nlohmann/json.hpp>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

Json encodeItem(const platform::StoreItem &item)
{
    return {{"key", item.key}, {"data", toBinary(item.data)}, {"revision", item.revision}, {"changed", item.modRevision}};
}

platform::StoreItem decodeItem(const Json &json)
{
    platform::StoreItem item;
    item.key = json.at("key").get<std::string>();
    item.data = fromBinary(json.at("data"));
    item.revision = json.at("revision").get<platform::Revision>();
    item.modRevision = json.at("changed").get<platform::Revision>();
    return item;
}
} // namespace

std::string RegistryPoll::encode() const
{
    return toCbor({{"prefix", prefix}, {"after", after}, {"wait-ms", wait.count()}, {"store-unavailable", isStoreUnavailable}});
}

std::optional<RegistryPoll> RegistryPoll::decode(const std::string &bytes)
{
    return decodeCbor<RegistryPoll>("registry-poll", bytes, [](const Json &json) {
        RegistryPoll poll;
        poll.prefix = json.at("prefix").get<std::string>();
        poll.after = json.at("after").get<platform::Revision>();
        poll.wait = Milliseconds(json.at("wait-ms").get<std::int64_t>());
        poll.isStoreUnavailable = json.at("store-unavailable").get<bool>();
        return poll;
    });
}

std::string RegistryUpdate::encode() const
{
    Json json = {{"from-reader", isFromReader},
                 {"listing", isListing},
                 {"store-unavailable", isStoreUnavailable},
                 {"age-ms", age.count()},
                 {"revision", revision},
                 {"items", Json::array()}};
    if (confirmationAge) {
        json["confirmed-ms"] = confirmationAge->count();
    }
    for (const platform::StoreItem &item : items) {
        json["items"].push_back(encodeItem(item));
    }
    return toCbor(json);
}

std::optional<RegistryUpdate> RegistryUpdate::decode(const std::string &bytes)
{
    return decodeCbor<RegistryUpdate>("registry-update", bytes, [](const Json &json) {
        RegistryUpdate update;
        update.isFromReader = json.at("from-reader").get<bool>();
        update.isListing = json.at("listing").get<bool>();
        update.isStoreUnavailable = json.at("store-unavailable").get<bool>();
        update.age = Milliseconds(json.at("age-ms").get<std::int64_t>());
        update.revision = json.at("revision").get<platform::Revision>();
        if (json.contains("confirmed-ms")) {
            update.confirmationAge = Milliseconds(json.at("confirmed-ms").get<std::int64_t>());
        }
        for (const Json &item : json.at("items")) {
            update.items.push_back(decodeItem(item));
        }
        return update;
    });
}

} // namespace flamingo

#include "serving/archivemessages.h"

#include "core/log.h"

#include <nlohmann/json.hpp>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

std::string toBytes(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}
} // namespace

std::string ArchiveTurn::encode() const
{
    const Json::binary_t::container_type bytes(record.begin(), record.end());
    return toBytes({{"id", id}, {"record", Json::binary(bytes)}, {"first", isFirst}, {"others", otherArchives}});
}

std::optional<ArchiveTurn> ArchiveTurn::decode(const std::string &bytes)
{
    try {
        const Json json = Json::from_cbor(bytes);
        const auto &record = json.at("record").get_binary();
        return ArchiveTurn{
            json.at("id").get<RequestId>(), {record.begin(), record.end()}, json.at("first").get<bool>(), json.at("others").get<std::vector<std::string>>()};
    } catch (const Json::exception &error) {
        logChange("archive-message-unreadable", "reason=\"{}\"", error.what());
        return std::nullopt;
    }
}

std::string ArchiveForget::encode() const
{
    return toBytes({{"turns", turns}});
}

std::optional<ArchiveForget> ArchiveForget::decode(const std::string &bytes)
{
    try {
        return ArchiveForget{Json::from_cbor(bytes).at("turns").get<std::vector<RequestId>>()};
    } catch (const Json::exception &error) {
        logChange("archive-message-unreadable", "reason=\"{}\"", error.what());
        return std::nullopt;
    }
}

} // namespace flamingo

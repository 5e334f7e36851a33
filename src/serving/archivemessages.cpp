#include "serving/archivemessages.h"

#include "core/codec.h"
#include "core/log.h"

#include <nlohmann/json.hpp>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;
} // namespace

std::string ArchiveKeepRequest::encode() const
{
    return toCbor({{"id", id}, {"record", toBinary(record)}, {"first", isPrimary}, {"others", otherReplicas}});
}

std::optional<ArchiveKeepRequest> ArchiveKeepRequest::decode(const std::string &bytes)
{
    try {
        const Json json = Json::from_cbor(bytes);
        return ArchiveKeepRequest{
            json.at("id").get<RequestId>(), fromBinary(json.at("record")), json.at("first").get<bool>(), json.at("others").get<std::vector<std::string>>()};
    } catch (const Json::exception &error) {
        logChange("archive-message-unreadable", "reason=\"{}\"", error.what());
        return std::nullopt;
    }
}

std::string ArchiveForgetRequest::encode() const
{
    return toCbor({{"turns", turns}});
}

std::optional<ArchiveForgetRequest> ArchiveForgetRequest::decode(const std::string &bytes)
{
    try {
        return ArchiveForgetRequest{Json::from_cbor(bytes).at("turns").get<std::vector<RequestId>>()};
    } catch (const Json::exception &error) {
        logChange("archive-message-unreadable", "reason=\"{}\"", error.what());
        return std::nullopt;
    }
}

} // namespace flamingo

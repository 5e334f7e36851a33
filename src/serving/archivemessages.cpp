#include "serving/archivemessages.h"

#include "core/codec.h"
#include "core/decoding.h"

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
    return decodeCbor<ArchiveKeepRequest>("archive-keep", bytes, [](const Json &json) {
        return ArchiveKeepRequest{
            json.at("id").get<RequestId>(), fromBinary(json.at("record")), json.at("first").get<bool>(), json.at("others").get<std::vector<std::string>>()};
    });
}

std::string ArchiveForgetRequest::encode() const
{
    return toCbor({{"turns", turns}});
}

std::optional<ArchiveForgetRequest> ArchiveForgetRequest::decode(const std::string &bytes)
{
    return decodeCbor<ArchiveForgetRequest>(
        "archive-forget", bytes, [](const Json &json) { return ArchiveForgetRequest{json.at("turns").get<std::vector<RequestId>>()}; });
}

} // namespace flamingo

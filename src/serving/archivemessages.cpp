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
    Json json = {{"id", id}, {"record", toBinary(record)}, {"first", isPrimary}, {"others", otherReplicas}};
    if (memberListRevision) {
        json["listed"] = *memberListRevision;
    }
    return toCbor(json);
}

std::optional<ArchiveKeepRequest> ArchiveKeepRequest::decode(const std::string &bytes)
{
    return decodeCbor<ArchiveKeepRequest>("archive-keep", bytes, [](const Json &json) {
        ArchiveKeepRequest request{
            json.at("id").get<RequestId>(), fromBinary(json.at("record")), json.at("first").get<bool>(), json.at("others").get<std::vector<std::string>>(), {}};
        if (json.contains("listed")) {
            request.memberListRevision = json.at("listed").get<MemberListRevision>();
        }
        return request;
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

std::string ArchiveFenceRequest::encode() const
{
    return toCbor({{"revision", revision}});
}

std::optional<ArchiveFenceRequest> ArchiveFenceRequest::decode(const std::string &bytes)
{
    return decodeCbor<ArchiveFenceRequest>(
        "archive-fence", bytes, [](const Json &json) { return ArchiveFenceRequest{json.at("revision").get<MemberListRevision>()}; });
}

} // namespace flamingo

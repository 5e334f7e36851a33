#include "serving/originmessages.h"

#include "core/decoding.h"

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

Json encodeOrigin(const StreamOrigin &origin)
{
    return {{"pool", origin.pool}, {"version", origin.version}};
}

StreamOrigin decodeOrigin(const Json &json)
{
    return {json.at("pool").get<PoolId>(), json.at("version").get<SoftwareVersion>()};
}
} // namespace

std::string OriginNote::encode() const
{
    return toCbor({{"attempt", attempt}, {"origin", encodeOrigin(origin)}});
}

std::optional<OriginNote> OriginNote::decode(const std::string &bytes)
{
    return decodeCbor<OriginNote>("origin-note", bytes, [](const Json &json) {
        return OriginNote{json.at("attempt").get<RequestId>(), decodeOrigin(json.at("origin"))};
    });
}

std::string OriginQuery::encode() const
{
    return toCbor({{"attempt", attempt}, {"pool", pool}});
}

std::optional<OriginQuery> OriginQuery::decode(const std::string &bytes)
{
    return decodeCbor<OriginQuery>("origin-query", bytes, [](const Json &json) {
        return OriginQuery{json.at("attempt").get<RequestId>(), json.at("pool").get<PoolId>()};
    });
}

std::string OriginAnswer::encode() const
{
    Json json = {{"seen", seenVersions}, {"complete", isComplete}, {"revision", endpointsRevision}};
    if (origin) {
        json["origin"] = encodeOrigin(*origin);
    }
    return toCbor(json);
}

std::optional<OriginAnswer> OriginAnswer::decode(const std::string &bytes)
{
    return decodeCbor<OriginAnswer>("origin-answer", bytes, [](const Json &json) {
        OriginAnswer answer;
        if (json.contains("origin")) {
            answer.origin = decodeOrigin(json.at("origin"));
        }
        answer.seenVersions = json.at("seen").get<std::set<SoftwareVersion>>();
        answer.isComplete = json.at("complete").get<bool>();
        answer.endpointsRevision = json.at("revision").get<std::uint64_t>();
        return answer;
    });
}

} // namespace flamingo

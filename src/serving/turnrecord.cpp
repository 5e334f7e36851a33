#include "serving/turnrecord.h"

#include "core/codec.h"
#include "core/decoding.h"
#include "serving/turncache.h"

namespace flamingo
{

namespace
{
using Json = nlohmann::json;
} // namespace

std::string TurnRecord::encode() const
{
    Json json = {{"before", ancestors},
                 {"in", toBinary(input)},
                 {"out", toBinary(output)},
                 {"keep", retention.count()},
                 {"age", sinceRenewal.count()},
                 {"renews", renewsConversation}};
    if (workspace) {
        json["workspace"] = *workspace;
    }
    return toCbor(json);
}

RequestId TurnRecord::conversation() const
{
    return ancestors.empty() ? id : ancestors.front();
}

// A conversation is renewed well before its earlier turns would be removed, but not with each turn.
void TurnRecord::continueFrom(const TurnChain &history, Milliseconds sinceLoaded)
{
    constexpr int RenewalsPerRetention = 2;
    ancestors = history.ids;
    if (ancestors.empty()) {
        return;
    }
    const bool isAgeKnown = history.sinceRenewal.has_value();
    const Milliseconds age = isAgeKnown ? *history.sinceRenewal + sinceLoaded : Milliseconds(0);
    renewsConversation = !isAgeKnown || age >= history.shortestRetention / RenewalsPerRetention || retention > history.shortestRetention;
    sinceRenewal = renewsConversation ? Milliseconds(0) : age;
}

std::optional<TurnRecord> TurnRecord::decode(const RequestId &id, const std::string &bytes)
{
    return decodeCbor<TurnRecord>("turn", bytes, [&](const Json &json) {
        TurnRecord turn;
        turn.id = id;
        turn.ancestors = json.at("before").get<std::vector<RequestId>>();
        turn.input = fromBinary(json.at("in"));
        turn.output = fromBinary(json.at("out"));
        turn.retention = Milliseconds(json.at("keep").get<std::int64_t>());
        // Records of earlier versions lack these; their conversations are renewed by the next turn.
        turn.sinceRenewal = Milliseconds(json.value("age", turn.retention.count()));
        turn.renewsConversation = json.value("renews", false);
        if (json.contains("workspace")) {
            turn.workspace = json.at("workspace").get<WorkspaceId>();
        }
        return turn;
    });
}

} // namespace flamingo

#include "serving/turnrecord.h"

#include "core/codec.h"

namespace flamingo
{

namespace
{
using Json = nlohmann::json;
} // namespace

std::string TurnRecord::encode() const
{
    const Json json = {{"before", ancestors}, {"in", toBinary(input)}, {"out", toBinary(output)}, {"keep", retention.count()}};
    return toCbor(json);
}

std::optional<TurnRecord> TurnRecord::decode(const RequestId &id, const std::string &bytes)
{
    try {
        const Json json = Json::from_cbor(bytes);
        TurnRecord turn;
        turn.id = id;
        turn.ancestors = json.at("before").get<std::vector<RequestId>>();
        turn.input = fromBinary(json.at("in"));
        turn.output = fromBinary(json.at("out"));
        turn.retention = Milliseconds(json.at("keep").get<std::int64_t>());
        return turn;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace flamingo

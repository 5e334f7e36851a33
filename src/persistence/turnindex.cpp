#include "persistence/turnindex.h"

#include "core/codec.h"
#include "serving/archivemessages.h"

namespace flamingo
{

std::vector<std::string> TurnIndex::keys() const
{
    std::vector<std::string> keys;
    keys.reserve(turns.size());
    for (const RequestId &turn : turns) {
        keys.push_back(TurnKeyPrefix + turn.value());
    }
    return keys;
}

std::string TurnIndex::encode() const
{
    return nlohmann::json{{"writer", writer}, {"turns", turns}}.dump();
}

std::optional<TurnIndex> TurnIndex::decode(const std::string &bytes)
{
    const auto json = parseJson(bytes);
    if (!json || !json->is_object() || !json->contains("writer") || !json->contains("turns")) {
        return std::nullopt;
    }
    return TurnIndex{(*json)["writer"].get<IncarnationId>(), (*json)["turns"].get<std::vector<RequestId>>()};
}

} // namespace flamingo

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
    return nlohmann::json{{"writer", writer}, {"turns", turns}, {"conversations", conversations}}.dump();
}

std::optional<TurnIndex> TurnIndex::decode(const std::string &bytes)
{
    const auto json = parseJson(bytes);
    if (!json || !json->is_object() || !json->contains("writer") || !json->contains("turns")) {
        return std::nullopt;
    }
    TurnIndex index{(*json)["writer"].get<IncarnationId>(), (*json)["turns"].get<std::vector<RequestId>>(), {}};
    // An index of an earlier version lists no conversations. Then only those that a turn has begun are known.
    index.conversations = json->value("conversations", index.turns);
    return index;
}

} // namespace flamingo

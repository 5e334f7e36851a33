#include "persistence/turnindex.h"

#include "core/codec.h"
#include "persistence/splitrecord.h"
#include "serving/archivemessages.h"

namespace flamingo
{

std::vector<std::string> TurnIndex::keys() const
{
    std::vector<std::string> keys;
    keys.reserve(turns.size());
    for (std::size_t n = 0; n < turns.size(); ++n) {
        keys.push_back(TurnKeyPrefix + turns[n].value());
        for (std::size_t part = 0; n < parts.size() && part < parts[n]; ++part) {
            keys.push_back(turnPartKey(turns[n], part));
        }
    }
    return keys;
}

std::string TurnIndex::encode() const
{
    return nlohmann::json{{"writer", writer}, {"turns", turns}, {"conversations", conversations}, {"parts", parts}}.dump();
}

std::optional<TurnIndex> TurnIndex::decode(const std::string &bytes)
{
    const auto json = parseJson(bytes);
    if (!json || !json->is_object() || !json->contains("writer") || !json->contains("turns")) {
        return std::nullopt;
    }
    TurnIndex index;
    index.writer = (*json)["writer"].get<IncarnationId>();
    index.turns = (*json)["turns"].get<std::vector<RequestId>>();
    // An index of an earlier version lists no conversations. Then only those that a turn has begun are known.
    index.conversations = json->value("conversations", index.turns);
    index.parts = json->value("parts", index.parts);
    return index;
}

} // namespace flamingo

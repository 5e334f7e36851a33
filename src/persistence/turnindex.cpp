#include "persistence/turnindex.h"

#include "core/decoding.h"

namespace flamingo
{

std::vector<std::string> TurnIndex::keys() const
{
    std::vector<std::string> keys;
    keys.reserve(turns.size());
    for (std::size_t n = 0; n < turns.size(); ++n) {
        keys.push_back(turnKey(turns[n]));
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
    return decodeJson<TurnIndex>("turn-index", bytes, [](const nlohmann::json &json) {
        TurnIndex index;
        index.writer = json.at("writer").get<IncarnationId>();
        index.turns = json.at("turns").get<std::vector<StoredId>>();
        // An index of an earlier version lists no conversations. Then only those that a turn has begun are known.
        index.conversations = json.value("conversations", index.turns);
        index.parts = json.value("parts", index.parts);
        return index;
    });
}

} // namespace flamingo

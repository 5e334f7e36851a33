#include "journal/journalentry.h"

namespace flamingo
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotReference, id, chunkCount, replayFrom)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JournalEntry, sequence, fence, writer, batch, isReleased, snapshot, records)

std::string encodeEntry(const JournalEntry &entry)
{
    return toCbor(entry);
}

std::optional<JournalEntry> decodeEntry(const std::string &value)
{
    const auto json = fromCbor(value);
    if (!json) {
        return std::nullopt;
    }
    try {
        return json->get<JournalEntry>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace flamingo

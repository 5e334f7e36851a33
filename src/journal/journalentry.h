#pragma once

#include "core/codec.h"
#include "core/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Position of an entry in a shard's journal, counted from 0 over all rounds of the ring.
using EntrySequence = std::uint64_t;

/// Where the newest snapshot is, and with which entry the replay on top of it begins.
struct SnapshotReference {
    std::string id; ///< Empty while there is none.
    std::uint32_t chunkCount = 0;
    EntrySequence replayFrom = 0;
};

/// One value of the journal's ring.
struct JournalEntry {
    EntrySequence sequence = 0;
    FencingNumber fence;
    InstanceId writer;
    std::string batch; ///< Unique to this entry, so that its writer can recognise it.
    bool isReleased = false; ///< The writer gives the shard up with this entry.
    SnapshotReference snapshot;
    std::vector<nlohmann::json> records;
};

std::string encodeEntry(const JournalEntry &entry);

/// The entry in a value, or nothing if the value isn't one.
std::optional<JournalEntry> decodeEntry(const std::string &value);

} // namespace flamingo

#pragma once

#include "core/codec.h"
#include "core/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Position of an entry in a shard's journal, counted from 0. It keeps growing when the ring wraps around.
using EntrySequence = std::uint64_t;

/// The newest snapshot and the first entry to replay on top of it.
struct SnapshotReference {
    std::string id; ///< Empty if there is no snapshot.
    std::uint32_t chunkCount = 0;
    EntrySequence replayFrom = 0;
};

/// An entry of a shard's journal, stored in one slot of the ring.
struct JournalEntry {
    EntrySequence sequence = 0;
    FencingNumber fence;
    InstanceId writer;
    std::string batch; ///< Unique to this entry, so that its writer recognises it when it reads the slot back.
    bool isReleased = false; ///< The writer releases the shard with this entry.
    SnapshotReference snapshot;
    std::vector<nlohmann::json> records;
};

std::string encodeEntry(const JournalEntry &entry);

/// Returns nothing if the value isn't an entry.
std::optional<JournalEntry> decodeEntry(const std::string &value);

} // namespace flamingo

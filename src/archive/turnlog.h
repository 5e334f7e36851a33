#pragma once

#include "serving/archivemessages.h"

#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingo
{

/// Turns on a disk until they are in the store: segments that are appended to, synced, and removed once all their turns
/// may be forgotten. What a power loss has torn at a segment's end was never acknowledged and is passed over.
class TurnLog
{
public:
    /// Reads what the folder holds. Throws std::exception when it can't be used.
    explicit TurnLog(std::filesystem::path folder);
    ~TurnLog();
    TurnLog(const TurnLog &) = delete;
    TurnLog &operator=(const TurnLog &) = delete;

    /// Writes a turn behind the others; it lasts once sync() has returned true.
    bool append(const ArchiveKeepRequest &turn);
    bool sync();

    /// A turn may go; its segment does when it was the last one.
    void remove(const RequestId &id);

    const ArchiveKeepRequest *find(const RequestId &id) const;

    /// The turns that are kept, in no order.
    std::vector<RequestId> turnIds() const;
    std::size_t size() const;

private:
    struct Segment {
        std::set<RequestId> turnIds;
    };

    std::filesystem::path segmentPath(std::uint64_t number) const;
    void readSegment(std::uint64_t number);
    bool openSegment();
    void closeSegment();
    bool syncFolder() const;
    void removeIfEmpty(std::uint64_t number);

    std::filesystem::path m_folder;
    std::map<RequestId, ArchiveKeepRequest> m_turns;
    std::map<RequestId, std::uint64_t> m_segmentByTurn;
    std::map<std::uint64_t, Segment> m_segments;
    std::uint64_t m_currentSegment = 0; ///< The segment that is written; 0 for none.
    std::size_t m_currentBytes = 0;
    int m_fd = -1;
};

} // namespace flamingo

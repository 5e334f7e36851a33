#pragma once

#include "serving/archivemessages.h"

#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingo
{

/// A log on disk that keeps turns until they are in the store. It consists of segments that are appended to, synced, and
/// removed once all their turns have been removed. A turn at a segment's end that a power loss has truncated was never
/// acknowledged and is skipped. Other records that can't be read are set aside.
class TurnLog
{
public:
    /// Reads the segments in the folder. Throws std::exception when the folder can't be used.
    explicit TurnLog(std::filesystem::path folder);
    ~TurnLog();
    TurnLog(const TurnLog &) = delete;
    TurnLog &operator=(const TurnLog &) = delete;

    /// Appends a turn. It is durable once sync() has returned true.
    bool append(const ArchiveKeepRequest &turn);
    bool sync();

    /// Removes a turn, and its segment if that has no other turns left.
    void remove(const RequestId &id);

    const ArchiveKeepRequest *find(const RequestId &id) const;

    /// The ids of all turns in the log, in no particular order.
    std::vector<RequestId> turnIds() const;
    std::size_t size() const;

    /// The number of records on the disk that can't be read. Their segments are kept under another name.
    std::size_t unreadableRecords() const;

private:
    struct Segment {
        std::set<RequestId> turnIds;
        std::size_t unreadableRecords = 0;
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
    std::uint64_t m_currentSegment = 0; ///< The segment being written; 0 for none.
    std::size_t m_currentBytes = 0;
    std::size_t m_unreadableRecords = 0;
    int m_fd = -1;
};

} // namespace flamingo

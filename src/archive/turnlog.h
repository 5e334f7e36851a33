#pragma once

#include "archive/segmentfolder.h"
#include "serving/archivemessages.h"

#include <cstdint>
#include <map>
#include <memory>
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
    /// Reads the segments in the folder, which has to outlive the log.
    explicit TurnLog(SegmentFolder &folder);
    ~TurnLog();
    TurnLog(const TurnLog &) = delete;
    TurnLog &operator=(const TurnLog &) = delete;

    /// Appends a turn, which is durable once sync() has covered it. A turn that no sync by this log can cover any more, or could ever,
    /// is written anew: one whose sync has failed, or that was read back at the start.
    bool append(const ArchiveKeepRequest &turn);

    /// Syncs the turns that have been appended since the last sync. isSynced() tells which ones are durable then.
    void sync();

    /// Whether the log has the turn and knows that it survives a loss of power.
    bool isSynced(const RequestId &id) const;

    /// Removes a turn, and its segments if they have no other turns left.
    void remove(const RequestId &id);

    const ArchiveKeepRequest *find(const RequestId &id) const;

    /// The ids of all turns in the log, in no particular order.
    std::vector<RequestId> turnIds() const;
    std::size_t size() const;

    /// The number of records on the disk that can't be read. Their segments are kept under another name. A segment that can't be read at
    /// all counts as one record, and keeps its name.
    std::size_t unreadableRecords() const;

private:
    struct Turn {
        ArchiveKeepRequest request;
        std::set<std::uint64_t> segments;
        bool isSynced = false; ///< A sync by this process has covered the turn.
    };

    struct Segment {
        std::set<RequestId> turnIds;
        std::size_t unreadableRecords = 0;
    };

    void readSegment(std::uint64_t number);
    bool openSegment();
    void closeSegment();
    void addToSegment(std::uint64_t number, const ArchiveKeepRequest &request);
    void removeIfEmpty(std::uint64_t number);

    SegmentFolder &m_folder;
    std::unique_ptr<SegmentFile> m_file; ///< The segment being written; null for none.
    std::map<RequestId, Turn> m_turns;
    std::map<std::uint64_t, Segment> m_segments;
    std::set<RequestId> m_awaitingSync; ///< Turns in the current segment that its next sync covers.
    std::uint64_t m_currentSegment = 0; ///< The number of the segment that was opened last.
    std::size_t m_currentBytes = 0;
    std::size_t m_unreadableRecords = 0;
};

} // namespace flamingo

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

    /// Appends a turn unless this log has done so already. It is durable once sync() has returned true. A turn that was read back at
    /// the start is written anew.
    bool append(const ArchiveKeepRequest &turn);
    bool sync();

    /// Removes a turn, and its segments if they have no other turns left.
    void remove(const RequestId &id);

    const ArchiveKeepRequest *find(const RequestId &id) const;

    /// The ids of all turns in the log, in no particular order.
    std::vector<RequestId> turnIds() const;
    std::size_t size() const;

    /// The number of records on the disk that can't be read. Their segments are kept under another name.
    std::size_t unreadableRecords() const;

private:
    struct Turn {
        ArchiveKeepRequest request;
        std::set<std::uint64_t> segments;
        /// False when the turn has been read back: it may be in the system's memory only, and no sync would cover it.
        bool isAppended = false;
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
    std::uint64_t m_currentSegment = 0; ///< The number of the segment that was opened last.
    std::size_t m_currentBytes = 0;
    std::size_t m_unreadableRecords = 0;
};

} // namespace flamingo

#include "archive/turnlog.h"

#include "core/digest.h"
#include "core/log.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <string_view>
#include <utility>

namespace flamingo
{

namespace
{
constexpr std::size_t MaxSegmentBytes = std::size_t(1) * 1024 * 1024;
constexpr const char *SegmentPrefix = "turns-";
/// Prefix of segments with records that can't be read, once all others have been removed.
constexpr const char *SetAsidePrefix = "unreadable-";

/// Precedes each turn in a segment.
struct FrameHeader {
    std::uint64_t bytes = 0;
    std::uint64_t checksum = 0;
};

std::string segmentName(std::uint64_t number)
{
    return SegmentPrefix + std::to_string(number);
}

/// The number in the name of a file that begins with the prefix.
std::optional<std::uint64_t> numberAfter(std::string_view prefix, const std::string &name)
{
    if (name.rfind(prefix, 0) != 0) {
        return std::nullopt;
    }
    return std::strtoull(name.c_str() + prefix.size(), nullptr, 10);
}
} // namespace

TurnLog::TurnLog(SegmentFolder &folder)
    : m_folder(folder)
{
    std::uint64_t last = 0;
    for (const std::string &name : m_folder.fileNames()) {
        if (const auto number = numberAfter(SegmentPrefix, name)) {
            readSegment(*number);
            last = std::max(last, *number);
        } else if (const auto setAside = numberAfter(SetAsidePrefix, name)) {
            // A later segment of this number would be set aside in its place.
            last = std::max(last, *setAside);
        }
    }
    m_currentSegment = last;
    openSegment();
}

TurnLog::~TurnLog()
{
    closeSegment();
}

void TurnLog::readSegment(std::uint64_t number)
{
    const auto contents = m_folder.read(segmentName(number));
    if (!contents) {
        // The next start may be able to read it.
        ++m_unreadableRecords;
        return;
    }
    const std::string &bytes = *contents;
    std::size_t offset = 0;
    Segment &segment = m_segments[number];
    while (offset + sizeof(FrameHeader) <= bytes.size()) {
        FrameHeader header;
        std::memcpy(&header, bytes.data() + offset, sizeof header);
        offset += sizeof header;
        if (header.bytes == 0 || header.bytes > bytes.size() - offset) {
            break;
        }
        const std::string body = bytes.substr(offset, header.bytes);
        offset += header.bytes;
        auto turn = stableHash(body) == header.checksum ? ArchiveKeepRequest::decode(body) : std::nullopt;
        if (!turn) {
            // The others are served and uploaded all the same.
            ++segment.unreadableRecords;
            logChange("record-set-aside", "segment={} bytes={}", number, header.bytes);
            continue;
        }
        addToSegment(number, *turn);
    }
    logChange("segment-read",
              "segment={} turns={} bytes={} truncated_bytes={}",
              number,
              segment.turnIds.size(),
              offset,
              bytes.size() - std::min(offset, bytes.size()));
    m_unreadableRecords += segment.unreadableRecords;
    removeIfEmpty(number);
}

bool TurnLog::openSegment()
{
    closeSegment();
    ++m_currentSegment;
    m_currentBytes = 0;
    m_file = m_folder.open(segmentName(m_currentSegment));
    if (!m_file) {
        return false;
    }
    m_segments[m_currentSegment] = {};
    if (!m_folder.sync()) {
        // The next sync of the folder may succeed without the segment's name, so another segment is opened.
        closeSegment();
        return false;
    }
    return true;
}

void TurnLog::closeSegment()
{
    m_awaitingSync.clear();
    if (m_file) {
        m_file.reset();
        removeIfEmpty(m_currentSegment);
    }
}

void TurnLog::addToSegment(std::uint64_t number, const ArchiveKeepRequest &request)
{
    m_segments[number].turnIds.insert(request.id);
    Turn &turn = m_turns[request.id];
    turn.request = request;
    turn.segments.insert(number);
}

bool TurnLog::append(const ArchiveKeepRequest &turn)
{
    if (isSynced(turn.id) || m_awaitingSync.count(turn.id) != 0) {
        return true;
    }
    if (m_file && m_currentBytes > MaxSegmentBytes) {
        sync();
        closeSegment();
    }
    if (!m_file && !openSegment()) {
        return false;
    }
    const std::string body = turn.encode();
    const FrameHeader header{body.size(), stableHash(body)};
    std::string frame(reinterpret_cast<const char *>(&header), sizeof header);
    frame += body;
    if (!m_file->append(frame)) {
        // A partial frame would make all later ones unreadable, so nothing more is appended to this segment.
        sync();
        closeSegment();
        return false;
    }
    m_currentBytes += frame.size();
    addToSegment(m_currentSegment, turn);
    m_awaitingSync.insert(turn.id);
    return true;
}

void TurnLog::sync()
{
    if (m_awaitingSync.empty()) {
        return;
    }
    if (!m_file->sync()) {
        // The next sync of this segment may succeed without the lost pages.
        closeSegment();
        return;
    }
    for (const RequestId &id : std::exchange(m_awaitingSync, {})) {
        m_turns[id].isSynced = true;
    }
}

bool TurnLog::isSynced(const RequestId &id) const
{
    const auto it = m_turns.find(id);
    return it != m_turns.end() && it->second.isSynced;
}

void TurnLog::remove(const RequestId &id)
{
    const auto it = m_turns.find(id);
    if (it == m_turns.end()) {
        return;
    }
    const std::set<std::uint64_t> segments = std::move(it->second.segments);
    m_turns.erase(it);
    m_awaitingSync.erase(id);
    for (const std::uint64_t number : segments) {
        m_segments[number].turnIds.erase(id);
        if (number != m_currentSegment || !m_file) {
            removeIfEmpty(number);
        }
    }
}

void TurnLog::removeIfEmpty(std::uint64_t number)
{
    const auto it = m_segments.find(number);
    if (it == m_segments.end() || !it->second.turnIds.empty()) {
        return;
    }
    const bool isKept = it->second.unreadableRecords > 0;
    m_segments.erase(it);
    if (isKept) {
        m_folder.rename(segmentName(number), SetAsidePrefix + std::to_string(number));
    } else {
        m_folder.remove(segmentName(number));
    }
}

const ArchiveKeepRequest *TurnLog::find(const RequestId &id) const
{
    const auto it = m_turns.find(id);
    return it == m_turns.end() ? nullptr : &it->second.request;
}

std::vector<RequestId> TurnLog::turnIds() const
{
    std::vector<RequestId> ids;
    for (const auto &[id, turn] : m_turns) {
        ids.push_back(id);
    }
    return ids;
}

std::size_t TurnLog::unreadableRecords() const
{
    return m_unreadableRecords;
}

std::size_t TurnLog::size() const
{
    return m_turns.size();
}

} // namespace flamingo

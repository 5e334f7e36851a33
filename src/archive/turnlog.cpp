#include "archive/turnlog.h"

#include "core/digest.h"
#include "core/log.h"

#include <array>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace flamingo
{

namespace
{
constexpr std::size_t MaxSegmentBytes = std::size_t(1) * 1024 * 1024;
constexpr const char *SegmentPrefix = "turns-";

/// What stands before each turn in a segment.
struct FrameHead {
    std::uint64_t bytes = 0;
    std::uint64_t hash = 0;
};

bool writeAll(int file, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::write(file, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            logChange("disk-write-failed", "reason=\"{}\"", std::strerror(errno));
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}
} // namespace

TurnLog::TurnLog(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
    std::filesystem::create_directories(m_folder);
    std::uint64_t last = 0;
    for (const auto &file : std::filesystem::directory_iterator(m_folder)) {
        const std::string name = file.path().filename().string();
        if (name.rfind(SegmentPrefix, 0) == 0) {
            const std::uint64_t number = std::strtoull(name.c_str() + std::strlen(SegmentPrefix), nullptr, 10);
            read(number);
            last = std::max(last, number);
        }
    }
    m_current = last;
    openSegment();
}

TurnLog::~TurnLog()
{
    closeSegment();
}

std::filesystem::path TurnLog::segmentPath(std::uint64_t number) const
{
    return m_folder / (SegmentPrefix + std::to_string(number));
}

void TurnLog::read(std::uint64_t number)
{
    std::ifstream file(segmentPath(number), std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::size_t at = 0;
    Segment segment;
    while (at + sizeof(FrameHead) <= bytes.size()) {
        FrameHead head;
        std::memcpy(&head, bytes.data() + at, sizeof head);
        at += sizeof head;
        if (head.bytes > bytes.size() - at) {
            break;
        }
        const std::string body = bytes.substr(at, head.bytes);
        auto turn = stableHash(body) == head.hash ? ArchiveKeepRequest::decode(body) : std::nullopt;
        if (!turn) {
            break;
        }
        at += head.bytes;
        segment.turns.insert(turn->id);
        m_segmentOf[turn->id] = number;
        m_turns[turn->id] = std::move(*turn);
    }
    logChange("segment-read", "segment={} turns={} bytes={} torn_bytes={}", number, segment.turns.size(), at, bytes.size() - std::min(at, bytes.size()));
    m_segments[number] = std::move(segment);
}

bool TurnLog::openSegment()
{
    closeSegment();
    ++m_current;
    m_currentBytes = 0;
    m_file = ::open(segmentPath(m_current).c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    if (m_file < 0) {
        logChange("segment-not-opened", "segment={} reason=\"{}\"", m_current, std::strerror(errno));
        return false;
    }
    m_segments[m_current] = {};
    return syncFolder();
}

void TurnLog::closeSegment()
{
    if (m_file >= 0) {
        ::close(m_file);
        m_file = -1;
        const std::uint64_t closed = m_current;
        removeIfEmpty(closed);
    }
}

bool TurnLog::syncFolder() const
{
    const int folder = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return false;
    }
    const bool isSynced = ::fsync(folder) == 0;
    ::close(folder);
    return isSynced;
}

bool TurnLog::append(const ArchiveKeepRequest &turn)
{
    if (m_turns.count(turn.id) != 0) {
        return true;
    }
    const bool isFull = m_file >= 0 && m_currentBytes > MaxSegmentBytes;
    if (isFull && !sync()) {
        // Turns before this one may still wait for their sync, which reaches the current segment only.
        return false;
    }
    if ((m_file < 0 || isFull) && !openSegment()) {
        return false;
    }
    const std::string body = turn.encode();
    const FrameHead head{body.size(), stableHash(body)};
    std::string frame(reinterpret_cast<const char *>(&head), sizeof head);
    frame += body;
    if (!writeAll(m_file, frame)) {
        // A part of a frame would hide all that follows it.
        closeSegment();
        return false;
    }
    m_currentBytes += frame.size();
    m_segments[m_current].turns.insert(turn.id);
    m_segmentOf[turn.id] = m_current;
    m_turns[turn.id] = turn;
    return true;
}

bool TurnLog::sync()
{
    if (m_file < 0 || ::fdatasync(m_file) != 0) {
        logChange("disk-sync-failed", "reason=\"{}\"", std::strerror(errno));
        return false;
    }
    return true;
}

void TurnLog::forget(const RequestId &id)
{
    const auto it = m_segmentOf.find(id);
    if (it == m_segmentOf.end()) {
        return;
    }
    const std::uint64_t number = it->second;
    m_segmentOf.erase(it);
    m_turns.erase(id);
    m_segments[number].turns.erase(id);
    if (number != m_current || m_file < 0) {
        removeIfEmpty(number);
    }
}

void TurnLog::removeIfEmpty(std::uint64_t number)
{
    const auto it = m_segments.find(number);
    if (it == m_segments.end() || !it->second.turns.empty()) {
        return;
    }
    m_segments.erase(it);
    std::error_code ec;
    std::filesystem::remove(segmentPath(number), ec);
    if (ec) {
        logChange("segment-not-removed", "segment={} reason=\"{}\"", number, ec.message());
    }
}

const ArchiveKeepRequest *TurnLog::find(const RequestId &id) const
{
    const auto it = m_turns.find(id);
    return it == m_turns.end() ? nullptr : &it->second;
}

std::vector<RequestId> TurnLog::turns() const
{
    std::vector<RequestId> ids;
    for (const auto &[id, turn] : m_turns) {
        ids.push_back(id);
    }
    return ids;
}

std::size_t TurnLog::size() const
{
    return m_turns.size();
}

} // namespace flamingo

#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace flamingo
{

class MemoryHolder;

/// Counts the bytes that a process holds for callers and endpoints, and bounds them: large bodies that arrive on many connections at
/// once would use up the memory of a small machine. It does no I/O, reads no clock and is used on one thread.
class MemoryAccount
{
public:
    /// A holder of no more may use the whole account; larger ones together leave one part in SmallShareDivisor of it
    /// to ordinary requests.
    static constexpr std::size_t SmallBytes = std::size_t(64) * 1024;
    static constexpr std::size_t SmallShareDivisor = 4;
    /// Incomplete requests without progress for this long may be closed.
    static constexpr Milliseconds MinRequestStall{200};
    /// Responses of which the caller has read nothing for this long may be cut off. It is longer, since callers may read slowly.
    static constexpr Milliseconds MinResponseStall{2000};
    /// Stalls that differ by less count as equally long.
    static constexpr Milliseconds StallGranularity{250};

    explicit MemoryAccount(std::size_t maxBytes);

    std::size_t heldBytes() const;
    std::size_t maxBytes() const;

    /// The most that one holder can ever hold.
    std::size_t maxHolderBytes() const;

    /// The number of holders that were closed to make room.
    std::uint64_t evictionCount() const;

private:
    friend class MemoryHolder;

    bool fits(std::size_t bytesBefore, std::size_t bytes) const;
    void replace(std::size_t bytesBefore, std::size_t bytes);
    MemoryHolder *chooseEviction(Instant now, const MemoryHolder &requester, bool isOnlyLargeShort) const;

    const std::size_t m_maxBytes;
    std::size_t m_heldBytes = 0;
    std::size_t m_largeBytes = 0; ///< Of holders with more than SmallBytes.
    std::uint64_t m_evictionCount = 0;
    std::unordered_set<MemoryHolder *> m_evictable;
};

/// What one connection, request or response holds of an account. The destructor returns it.
class MemoryHolder
{
public:
    enum class Eviction {
        Never,
        IncompleteRequest,
        UnreadResponse, ///< Considered only when no incomplete request is left to close.
    };

    /// Without an account nothing is limited. onEvict must free the holder's bytes; it isn't called from inside the holder's own
    /// methods.
    explicit MemoryHolder(MemoryAccount *account, std::function<void()> onEvict = {});
    ~MemoryHolder();
    MemoryHolder(const MemoryHolder &) = delete;
    MemoryHolder &operator=(const MemoryHolder &) = delete;

    /// Changes what is held to this number of bytes. If there is no room, stalled holders are evicted; if that isn't enough, returns
    /// false without changing what is held.
    bool tryResize(std::size_t bytes, Instant now);

    /// Changes what is held to this number of bytes, room or not.
    void resize(std::size_t bytes);

    /// Sets whether the holder may be evicted.
    void setEviction(Eviction eviction, Instant now);

    /// Tells that bytes have been transferred. Fewer than MinProgressBytes together count as no progress.
    void noteProgress(std::size_t bytes, Instant now);

    std::size_t bytes() const;
    Instant lastProgressAt() const;

    /// The most that a holder can ever hold.
    std::size_t maxBytes() const;

private:
    friend class MemoryAccount;

    /// Single bytes sent now and then don't keep a large body in memory.
    static constexpr std::size_t MinProgressBytes = 512;

    MemoryAccount *m_account;
    std::function<void()> m_onEvict;
    std::size_t m_bytes = 0;
    std::size_t m_progressBytes = 0; ///< Since lastProgressAt.
    Instant m_lastProgressAt;
    Eviction m_eviction = Eviction::Never;
};

/// The capacity to which a buffer grows that has to hold a number of bytes: twice the former one, but no more than maxBytes.
std::size_t grownCapacity(std::size_t capacity, std::size_t neededBytes, std::size_t maxBytes);

/// Appends to a buffer, which first grows to exactly the capacity if it has less.
void appendGrown(std::string &buffer, std::string_view bytes, std::size_t capacity);

} // namespace flamingo

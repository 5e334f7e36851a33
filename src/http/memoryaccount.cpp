#include "http/memoryaccount.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace flamingo
{

namespace
{
constexpr std::size_t MinGrownCapacity = 1024;
} // namespace

MemoryAccount::MemoryAccount(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

std::size_t MemoryAccount::heldBytes() const
{
    return m_heldBytes;
}

std::size_t MemoryAccount::maxBytes() const
{
    return m_maxBytes;
}

std::size_t MemoryAccount::maxHolderBytes() const
{
    return std::max(SmallBytes, m_maxBytes - m_maxBytes / SmallShareDivisor);
}

std::uint64_t MemoryAccount::evictionCount() const
{
    return m_evictionCount;
}

bool MemoryAccount::fits(std::size_t bytesBefore, std::size_t bytes) const
{
    const bool isLarge = bytes > SmallBytes;
    const std::size_t largeBefore = bytesBefore > SmallBytes ? bytesBefore : 0;
    const bool fitsLarge = !isLarge || m_largeBytes - largeBefore + bytes <= maxHolderBytes();
    return fitsLarge && m_heldBytes - bytesBefore + bytes <= m_maxBytes;
}

void MemoryAccount::replace(std::size_t bytesBefore, std::size_t bytes)
{
    m_heldBytes = m_heldBytes - bytesBefore + bytes;
    m_largeBytes = m_largeBytes - (bytesBefore > SmallBytes ? bytesBefore : 0) + (bytes > SmallBytes ? bytes : 0);
}

// Incomplete requests go first, then those with the longest stall, and the largest among them.
MemoryHolder *MemoryAccount::chooseEviction(Instant now, const MemoryHolder &requester, bool isOnlyLargeShort) const
{
    MemoryHolder *chosen = nullptr;
    std::tuple<bool, Milliseconds::rep, std::size_t> chosenRank;
    for (MemoryHolder *holder : m_evictable) {
        const bool isRequest = holder->m_eviction == MemoryHolder::Eviction::IncompleteRequest;
        const auto stall = std::chrono::duration_cast<Milliseconds>(now - holder->m_lastProgressAt);
        const bool isStalled = stall >= (isRequest ? MinRequestStall : MinResponseStall);
        const bool isUseful = holder->m_bytes > (isOnlyLargeShort ? SmallBytes : 0);
        if (holder == &requester || !isStalled || !isUseful) {
            continue;
        }
        const auto rank = std::make_tuple(isRequest, stall / StallGranularity, holder->m_bytes);
        if (!chosen || rank > chosenRank) {
            chosen = holder;
            chosenRank = rank;
        }
    }
    return chosen;
}

MemoryHolder::MemoryHolder(MemoryAccount *account, std::function<void()> onEvict)
    : m_account(account)
    , m_onEvict(std::move(onEvict))
{
}

MemoryHolder::~MemoryHolder()
{
    if (m_account) {
        m_account->m_evictable.erase(this);
        m_account->replace(m_bytes, 0);
    }
}

bool MemoryHolder::tryResize(std::size_t bytes, Instant now)
{
    if (m_account && bytes > m_bytes) {
        while (!m_account->fits(m_bytes, bytes)) {
            const bool isOnlyLargeShort = m_account->m_heldBytes - m_bytes + bytes <= m_account->m_maxBytes;
            MemoryHolder *victim = bytes > m_account->maxHolderBytes() ? nullptr : m_account->chooseEviction(now, *this, isOnlyLargeShort);
            if (!victim) {
                return false;
            }
            // It leaves the set first, so that the loop ends whatever the handler does.
            victim->setEviction(Eviction::Never, now);
            ++m_account->m_evictionCount;
            victim->m_onEvict();
        }
    }
    resize(bytes);
    return true;
}

void MemoryHolder::resize(std::size_t bytes)
{
    if (m_account) {
        m_account->replace(m_bytes, bytes);
    }
    m_bytes = bytes;
}

void MemoryHolder::setEviction(Eviction eviction, Instant now)
{
    if (eviction == m_eviction) {
        return;
    }
    m_eviction = eviction;
    m_lastProgressAt = now;
    m_progressBytes = 0;
    if (!m_account) {
        return;
    }
    if (eviction == Eviction::Never) {
        m_account->m_evictable.erase(this);
    } else {
        m_account->m_evictable.insert(this);
    }
}

void MemoryHolder::noteProgress(std::size_t bytes, Instant now)
{
    m_progressBytes += bytes;
    if (m_progressBytes >= MinProgressBytes) {
        m_progressBytes = 0;
        m_lastProgressAt = now;
    }
}

std::size_t MemoryHolder::bytes() const
{
    return m_bytes;
}

Instant MemoryHolder::lastProgressAt() const
{
    return m_lastProgressAt;
}

std::size_t MemoryHolder::maxBytes() const
{
    return m_account ? m_account->maxHolderBytes() : std::numeric_limits<std::size_t>::max();
}

std::size_t grownCapacity(std::size_t capacity, std::size_t neededBytes, std::size_t maxBytes)
{
    if (neededBytes <= capacity) {
        return capacity;
    }
    const std::size_t doubled = std::max(capacity * 2, MinGrownCapacity);
    return std::max(neededBytes, std::min(doubled, maxBytes));
}

// std::string::reserve() may double the capacity by itself, but not that of an empty string.
void appendGrown(std::string &buffer, std::string_view bytes, std::size_t capacity)
{
    if (buffer.capacity() < capacity) {
        std::string grown;
        grown.reserve(capacity);
        grown.append(buffer);
        buffer.swap(grown);
    }
    buffer.append(bytes);
}

} // namespace flamingo

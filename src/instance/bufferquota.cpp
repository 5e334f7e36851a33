#include "instance/bufferquota.h"

#include <chrono>
#include <utility>

namespace flamingo
{

BufferQuota::BufferQuota(std::size_t maxBytes, MemoryAccount &account)
    : m_maxBytes(maxBytes)
    , m_account(account)
{
}

BufferedBytes::BufferedBytes(BufferQuota &quota)
    : m_quota(quota)
    , m_memory(std::make_unique<MemoryHolder>(&quota.m_account))
{
}

BufferedBytes::~BufferedBytes()
{
    m_quota.m_usedBytes -= m_bytes;
}

BufferedBytes::BufferedBytes(BufferedBytes &&other) noexcept
    : m_quota(other.m_quota)
    , m_memory(std::move(other.m_memory))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

bool BufferedBytes::tryAppend(std::string &buffer, std::string_view bytes)
{
    const std::size_t total = m_bytes + bytes.size();
    const bool isGuaranteed = total <= BufferQuota::GuaranteedBytes;
    const bool fits = total <= BufferQuota::MaxResponseBytes && m_quota.m_usedBytes + bytes.size() <= m_quota.m_maxBytes;
    if (!isGuaranteed && !fits) {
        return false;
    }
    const std::size_t capacity = grownCapacity(buffer.capacity(), buffer.size() + bytes.size(), BufferQuota::MaxResponseBytes);
    if (capacity > buffer.capacity() && !m_memory->tryResize(capacity, std::chrono::steady_clock::now())) {
        return false;
    }
    appendGrown(buffer, bytes, capacity);
    m_bytes = total;
    m_quota.m_usedBytes += bytes.size();
    return true;
}

} // namespace flamingo

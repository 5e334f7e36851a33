#include "instance/bufferquota.h"

#include <utility>

namespace flamingo
{

BufferQuota::BufferQuota(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

BufferedBytes::BufferedBytes(BufferQuota &quota)
    : m_quota(quota)
{
}

BufferedBytes::~BufferedBytes()
{
    m_quota.m_usedBytes -= m_bytes;
}

BufferedBytes::BufferedBytes(BufferedBytes &&other) noexcept
    : m_quota(other.m_quota)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

bool BufferedBytes::tryAdd(std::size_t bytes)
{
    const std::size_t total = m_bytes + bytes;
    const bool isGuaranteed = total <= BufferQuota::GuaranteedBytes;
    const bool fits = total <= BufferQuota::MaxResponseBytes && m_quota.m_usedBytes + bytes <= m_quota.m_maxBytes;
    if (!isGuaranteed && !fits) {
        return false;
    }
    m_bytes = total;
    m_quota.m_usedBytes += bytes;
    return true;
}

} // namespace flamingo

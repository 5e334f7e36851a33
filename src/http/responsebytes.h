#pragma once

#include <algorithm>
#include <cstddef>

namespace flamingo
{

/// Limits how many bytes of responses in progress are held for the requests of one connection pool together, so that a peer in trouble can't
/// use up the memory by many responses that are each within their limit. It is used on one thread.
class ResponseBytes
{
public:
    /// Bytes that each response may hold even while the others use up the limit.
    static constexpr std::size_t GuaranteedBytes = std::size_t(64) * 1024;
    /// Room for one large response.
    static constexpr std::size_t DefaultSharedBytes = std::size_t(12) * 1024 * 1024;

    /// maxSharedBytes is what all responses may hold beyond what is guaranteed to each.
    explicit ResponseBytes(std::size_t maxSharedBytes)
        : m_maxSharedBytes(maxSharedBytes)
    {
    }

    /// A response that holds some bytes gets more. Returns false, without any effect, if the limit would be exceeded.
    bool tryGrow(std::size_t held, std::size_t more)
    {
        const std::size_t shared = beyondGuarantee(held + more) - beyondGuarantee(held);
        if (m_sharedBytes + shared > m_maxSharedBytes) {
            return false;
        }
        m_sharedBytes += shared;
        return true;
    }

    /// A response that held these bytes has ended.
    void release(std::size_t held)
    {
        m_sharedBytes -= beyondGuarantee(held);
    }

private:
    static std::size_t beyondGuarantee(std::size_t bytes)
    {
        return bytes - std::min(bytes, GuaranteedBytes);
    }

    const std::size_t m_maxSharedBytes;
    std::size_t m_sharedBytes = 0;
};

} // namespace flamingo

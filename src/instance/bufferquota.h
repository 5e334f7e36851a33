#pragma once

#include "http/memoryaccount.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace flamingo
{

/// Limits how many bytes of responses in progress a process holds in memory, so that endpoints that send without end can't use
/// it up. What they hold also counts toward the process's memory account. It is used on one thread.
class BufferQuota
{
public:
    /// Bytes that each response may hold even while the others use up the limit, as long as the account has room.
    static constexpr std::size_t GuaranteedBytes = std::size_t(64) * 1024;
    /// Bytes that a single response may hold.
    static constexpr std::size_t MaxResponseBytes = std::size_t(8) * 1024 * 1024;

    /// maxBytes is the limit for all responses together, beside what is guaranteed to each.
    BufferQuota(std::size_t maxBytes, MemoryAccount &account);

private:
    friend class BufferedBytes;

    const std::size_t m_maxBytes;
    MemoryAccount &m_account;
    std::size_t m_usedBytes = 0;
};

/// The bytes that one response holds of a quota. The destructor returns them.
class BufferedBytes
{
public:
    explicit BufferedBytes(BufferQuota &quota);
    ~BufferedBytes();
    BufferedBytes(BufferedBytes &&other) noexcept;
    BufferedBytes(const BufferedBytes &) = delete;
    BufferedBytes &operator=(const BufferedBytes &) = delete;
    BufferedBytes &operator=(BufferedBytes &&) = delete;

    /// Appends to the response's buffer, which must always be the same one. Returns false, without any effect, if a limit would be
    /// exceeded.
    bool tryAppend(std::string &buffer, std::string_view bytes);

private:
    BufferQuota &m_quota;
    std::unique_ptr<MemoryHolder> m_memory; ///< Of the buffer's capacity.
    std::size_t m_bytes = 0;
};

} // namespace flamingo

#include "persistence/turnbatch.h"

#include "persistence/conversationrenewals.h"
#include "persistence/splitrecord.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// The store's limit is 32 entries a call, of which one is for a condition or the batch's index.
constexpr std::size_t MaxWrites = 31;
/// Bytes of values in one call.
constexpr std::size_t MaxBytes = 500000;

/// Values travel in base64, and a limit may count them in that form.
std::size_t maxPartBytes(std::size_t maxValueBytes)
{
    constexpr std::size_t Base64Input = 3;
    constexpr std::size_t Base64Output = 4;
    return std::clamp<std::size_t>(maxValueBytes / Base64Output * Base64Input, 1, MaxBytes);
}
} // namespace

TurnBatch::TurnBatch(std::size_t maxValueBytes)
    : m_maxPartBytes(maxPartBytes(maxValueBytes))
{
}

bool TurnBatch::tryAdd(const RequestId &id, const std::string &record)
{
    const StoredId stored = storedId(id);
    BatchedTurn batched{id, stored, Milliseconds(0), 0};
    std::vector<platform::KeyWrite> writes;
    if (record.size() > m_maxPartBytes) {
        for (const std::string &part : splitRecord(record, m_maxPartBytes)) {
            writes.push_back({turnPartKey(stored, batched.parts++), part});
        }
    }
    if (const auto turn = TurnRecord::decode(id, record)) {
        batched.conversation = storedId(turn->conversation());
        batched.retention = turn->retention;
        // Two turns of one conversation may renew it at once, and a transaction writes each key once.
        const platform::KeyWrite renewal = renewalWrite(*turn);
        if (turn->renewsConversation && !isWritten(renewal.key)) {
            writes.push_back(renewal);
        }
    }
    writes.push_back({turnKey(stored), batched.parts == 0 ? record : SplitRecordHead{batched.parts}.encode()});
    const bool hasRoom = m_writes.size() + writes.size() <= MaxWrites && m_bytes + record.size() <= MaxBytes;
    if (!m_turns.empty() && !hasRoom) {
        return false;
    }
    m_turns.push_back(batched);
    m_writes.insert(m_writes.end(), writes.begin(), writes.end());
    m_bytes += record.size();
    return true;
}

bool TurnBatch::isWritten(const std::string &key) const
{
    return std::any_of(m_writes.begin(), m_writes.end(), [&](const platform::KeyWrite &it) { return it.key == key; });
}

const std::vector<BatchedTurn> &TurnBatch::turns() const
{
    return m_turns;
}

std::vector<platform::StoreTransaction> TurnBatch::transactions(const platform::KeyWrite &index) const
{
    std::vector<platform::StoreTransaction> transactions(1);
    transactions.back().writes.push_back(index);
    std::size_t bytes = 0;
    for (const platform::KeyWrite &write : m_writes) {
        const bool isFull = transactions.back().writes.size() > MaxWrites || (bytes > 0 && bytes + write.data.size() > MaxBytes);
        if (isFull) {
            transactions.emplace_back();
            bytes = 0;
        }
        transactions.back().writes.push_back(write);
        bytes += write.data.size();
    }
    return transactions;
}

Milliseconds TurnBatch::retention() const
{
    Milliseconds longest{0};
    for (const BatchedTurn &it : m_turns) {
        longest = std::max(longest, it.retention);
    }
    return longest;
}

} // namespace flamingo

#include "persistence/turnbatch.h"

#include "persistence/conversationrenewals.h"
#include "serving/archivemessages.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// The store's limit is 32 entries a call, of which one is for the batch's index.
constexpr std::size_t MaxWrites = 31;
constexpr std::size_t MaxBytes = 500000;
} // namespace

bool TurnBatch::tryAdd(const RequestId &id, const std::string &record)
{
    const auto turn = TurnRecord::decode(id, record);
    BatchedTurn batched{id, id, Milliseconds(0)};
    std::vector<platform::KeyWrite> writes = {{TurnKeyPrefix + id.value(), record}};
    if (turn) {
        batched.conversation = turn->conversation();
        batched.retention = turn->retention;
        if (turn->renewsConversation) {
            writes.push_back(renewalWrite(*turn));
        }
    }
    // Two turns of one conversation may renew it at once, and a transaction writes each key once.
    const auto isWritten = [this](const platform::KeyWrite &write) {
        return std::any_of(m_writes.begin(), m_writes.end(), [&](const platform::KeyWrite &it) { return it.key == write.key; });
    };
    writes.erase(std::remove_if(writes.begin(), writes.end(), isWritten), writes.end());
    const bool hasRoom = m_writes.size() + writes.size() <= MaxWrites && m_bytes + record.size() <= MaxBytes;
    if (!m_turns.empty() && !hasRoom) {
        return false;
    }
    m_turns.push_back(batched);
    m_writes.insert(m_writes.end(), writes.begin(), writes.end());
    m_bytes += record.size();
    return true;
}

const std::vector<BatchedTurn> &TurnBatch::turns() const
{
    return m_turns;
}

const std::vector<platform::KeyWrite> &TurnBatch::writes() const
{
    return m_writes;
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

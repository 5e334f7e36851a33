#pragma once

#include "platform/platformstore.h"
#include "serving/turnrecord.h"

#include <cstddef>
#include <string>
#include <vector>

namespace flamingo
{

/// A turn in a batch, without its texts.
struct BatchedTurn {
    RequestId id;
    RequestId conversation;
    Milliseconds retention{0};
};

/// Turns that are written to the store in one transaction, within its limits.
class TurnBatch
{
public:
    /// Adds a turn, encoded by TurnRecord::encode(). Returns false if the batch has no room for it; an empty batch has room for any.
    bool tryAdd(const RequestId &id, const std::string &record);

    const std::vector<BatchedTurn> &turns() const;

    /// The writes of the turns, and of the renewals of their conversations.
    const std::vector<platform::KeyWrite> &writes() const;

    /// The longest retention of the turns.
    Milliseconds retention() const;

private:
    std::vector<BatchedTurn> m_turns;
    std::vector<platform::KeyWrite> m_writes;
    std::size_t m_bytes = 0;
};

} // namespace flamingo

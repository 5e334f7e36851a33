#pragma once

#include "persistence/storedid.h"
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
    StoredId conversation;
    Milliseconds retention{0};
    std::size_t parts = 0; ///< Keys beside the turn's own one, for a record that is longer than a value of the store.
};

/// Turns that are written to the store together: in one transaction or, for a turn that is longer than a value, in several.
class TurnBatch
{
public:
    /// maxValueBytes is the longest value that the store takes.
    explicit TurnBatch(std::size_t maxValueBytes);

    /// Adds a turn, encoded by TurnRecord::encode(). Returns false if the batch has no room for it; an empty batch has room for any.
    bool tryAdd(const RequestId &id, const std::string &record);

    const std::vector<BatchedTurn> &turns() const;

    /// The transactions that write the turns, to be committed in this order. The index of the batch goes into the first one, and a
    /// turn's own key into the last one, so that a turn is there as a whole or not at all.
    std::vector<platform::StoreTransaction> transactions(const platform::KeyWrite &index) const;

    /// The longest retention of the turns.
    Milliseconds retention() const;

private:
    bool isWritten(const std::string &key) const;

    std::size_t m_maxPartBytes;
    std::vector<BatchedTurn> m_turns;
    std::vector<platform::KeyWrite> m_writes;
    std::size_t m_bytes = 0;
};

} // namespace flamingo

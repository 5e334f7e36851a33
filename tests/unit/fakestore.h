#pragma once

#include "journal/storeoperation.h"
#include "standins/storestate.h"

#include <deque>
#include <random>
#include <vector>

namespace flamingo
{

/// Faults between the caller and the store.
struct StoreFaults {
    double requestLossRate = 0; ///< Share of operations that are reported as unknown and never take effect.
    double replyLossRate = 0; ///< Share of writes that are reported as unknown although they took effect.
    double delayRate = 0; ///< Share of operations that are reported as unknown but may take effect, also after ones submitted later.
};

/// An in-memory store for tests of decision code. Faults are drawn from a seeded generator.
class FakeStore
{
public:
    explicit FakeStore(std::uint64_t seed, StoreFaults faults = {});

    /// Accepts an operation, which performNext() carries out unless it is lost.
    void submit(const StoreOperation &operation);

    /// Carries out one waiting operation, not always the oldest, and returns the replies that are due.
    std::vector<StoreReply> performNext();

    bool hasWaiting() const;
    StoreState &state();

    /// Carries out an operation at once and without faults.
    static StoreReply perform(StoreState &state, const StoreOperation &operation);

private:
    bool drawBernoulli(double probability);

    StoreState m_state;
    std::mt19937_64 m_random;
    StoreFaults m_faults;
    std::deque<StoreOperation> m_waitingOperations;
    std::vector<StoreReply> m_unknownReplies;
};

} // namespace flamingo

#pragma once

#include "journal/storeoperation.h"
#include "standins/storestate.h"

#include <deque>
#include <random>
#include <vector>

namespace flamingo
{

/// What can happen to a store call between the caller and the store.
struct StoreFaults {
    double requestLossRate = 0; ///< Share of calls that never arrive.
    double replyLossRate = 0; ///< Share of writes whose answer is lost after they took effect.
    double delayRate = 0; ///< Share of calls that arrive later than ones issued after them.
};

/// A store in memory for tests of decision code: operations go in, replies come out, with faults by a seeded generator.
class FakeStore
{
public:
    explicit FakeStore(std::uint64_t seed, StoreFaults faults = {});

    /// Takes a call. It is carried out by deliver(), or lost.
    void submit(const StoreOperation &operation);

    /// Carries out one waiting call, an old delayed one at times, and returns its reply.
    std::vector<StoreReply> performNext();

    bool hasWaiting() const;
    StoreState &state();

    /// Carries out one call at once.
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

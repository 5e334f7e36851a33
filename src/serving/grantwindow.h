#pragma once

#include "core/time.h"
#include "serving/quotamessages.h"

#include <cstdint>
#include <map>
#include <vector>

namespace flamingo
{

/// Counts grants of a sliding span of time. Grants are kept by time slot and count until a whole span has passed since the end of
/// their slot, so that the sum can be too high, but never too low.
class GrantWindow
{
public:
    static constexpr Milliseconds SlotLength{100};

    /// Forgets grants that have left the span.
    void expire(Milliseconds span, Instant now);

    /// Returns the slot that holds the grant.
    std::int64_t add(int count, Instant now);

    /// Adds a grant of another instance's window.
    void add(const AgedGrant &grant, Instant now);

    /// Removes grants that weren't used. They must be removed from the slot that add() has returned: in a newer one's place, the
    /// older grants that remain would leave the span too early.
    void remove(const ReturnedGrant &grant);

    int sum() const;

    /// The time until the sum is below the limit, if nothing is added.
    Milliseconds timeUntilBelow(int limit, Milliseconds span, Instant now) const;

    std::vector<AgedGrant> agedGrants(Instant now) const;

private:
    std::map<std::int64_t, int> m_slots; ///< By the number of slot lengths since the clock's epoch.
    int m_sum = 0;
};

} // namespace flamingo

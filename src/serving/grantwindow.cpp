#include "serving/grantwindow.h"

#include <algorithm>

namespace flamingo
{

namespace
{
Instant endOf(std::int64_t slot)
{
    return Instant(GrantWindow::SlotLength * (slot + 1));
}
} // namespace

void GrantWindow::expire(Milliseconds span, Instant now)
{
    while (!m_slots.empty() && endOf(m_slots.begin()->first) + span <= now) {
        m_sum -= m_slots.begin()->second;
        m_slots.erase(m_slots.begin());
    }
}

std::int64_t GrantWindow::add(int count, Instant now)
{
    const std::int64_t slot = now.time_since_epoch() / SlotLength;
    m_slots[slot] += count;
    m_sum += count;
    return slot;
}

// The slot in which the other one's slot ends; a slot that ends exactly between two ends with the first.
void GrantWindow::add(const AgedGrant &grant, Instant now)
{
    add(grant.count, now - grant.age - std::chrono::nanoseconds(1));
}

void GrantWindow::remove(const ReturnedGrant &grant)
{
    const auto it = m_slots.find(grant.slot);
    if (it == m_slots.end()) {
        return;
    }
    const int removed = std::clamp(grant.count, 0, it->second);
    it->second -= removed;
    m_sum -= removed;
    if (it->second == 0) {
        m_slots.erase(it);
    }
}

int GrantWindow::sum() const
{
    return m_sum;
}

Milliseconds GrantWindow::timeUntilBelow(int limit, Milliseconds span, Instant now) const
{
    int left = m_sum;
    for (const auto &[slot, count] : m_slots) {
        if (left < limit) {
            return Milliseconds(0);
        }
        left -= count;
        if (left < limit) {
            return std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(endOf(slot) + span - now));
        }
    }
    return left < limit ? Milliseconds(0) : span;
}

std::vector<AgedGrant> GrantWindow::agedGrants(Instant now) const
{
    std::vector<AgedGrant> grants;
    for (const auto &[slot, count] : m_slots) {
        grants.push_back({std::chrono::floor<Milliseconds>(now - endOf(slot)), count});
    }
    return grants;
}

} // namespace flamingo

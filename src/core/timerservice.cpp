#include "core/timerservice.h"

#include <algorithm>

namespace flamingo
{

TimerService::Subscription TimerService::at(Instant due, Callback callback)
{
    return add(due, Milliseconds(0), std::move(callback));
}

TimerService::Subscription TimerService::every(Instant now, Milliseconds period, Callback callback)
{
    return add(now + period, period, std::move(callback));
}

TimerService::Subscription TimerService::add(Instant due, Milliseconds period, Callback callback)
{
    const Subscription subscription = ++m_last;
    m_entries.emplace(Key{due, subscription}, Entry{std::move(callback), period});
    m_dueBySubscription.emplace(subscription, due);
    return subscription;
}

void TimerService::cancel(Subscription subscription)
{
    const auto it = m_dueBySubscription.find(subscription);
    if (it == m_dueBySubscription.end()) {
        return;
    }
    m_entries.erase(Key{it->second, subscription});
    m_dueBySubscription.erase(it);
}

void TimerService::advance(Instant now)
{
    while (!m_entries.empty() && m_entries.begin()->first.first <= now) {
        const auto it = m_entries.begin();
        const Subscription subscription = it->first.second;
        Entry entry = it->second;
        m_entries.erase(it);
        if (entry.period > Milliseconds(0)) {
            const Instant due = now + entry.period;
            m_dueBySubscription[subscription] = due;
            m_entries.emplace(Key{due, subscription}, entry);
        } else {
            m_dueBySubscription.erase(subscription);
        }
        entry.callback(now);
    }
}

Instant TimerService::nextDue(Instant now) const
{
    const Instant latest = now + std::chrono::seconds(1);
    return m_entries.empty() ? latest : std::min(latest, m_entries.begin()->first.first);
}

} // namespace flamingo

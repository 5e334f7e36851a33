#include "core/timerservice.h"

#include <algorithm>

namespace flamingo
{

TimerService::TimerId TimerService::at(Instant due, Callback callback)
{
    return add(due, Milliseconds(0), std::move(callback));
}

TimerService::TimerId TimerService::every(Instant now, Milliseconds period, Callback callback)
{
    return add(now + period, period, std::move(callback));
}

TimerService::TimerId TimerService::add(Instant due, Milliseconds period, Callback callback)
{
    const TimerId id = ++m_lastId;
    m_timers.emplace(Key{due, id}, Timer{std::move(callback), period});
    m_dueById.emplace(id, due);
    return id;
}

void TimerService::cancel(TimerId id)
{
    const auto it = m_dueById.find(id);
    if (it == m_dueById.end()) {
        return;
    }
    m_timers.erase(Key{it->second, id});
    m_dueById.erase(it);
}

void TimerService::advance(Instant now)
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
        const auto it = m_timers.begin();
        const TimerId id = it->first.second;
        Timer timer = it->second;
        m_timers.erase(it);
        if (timer.period > Milliseconds(0)) {
            const Instant due = now + timer.period;
            m_dueById[id] = due;
            m_timers.emplace(Key{due, id}, timer);
        } else {
            m_dueById.erase(id);
        }
        timer.callback(now);
    }
}

Instant TimerService::nextDue(Instant now) const
{
    const Instant latest = now + std::chrono::seconds(1);
    return m_timers.empty() ? latest : std::min(latest, m_timers.begin()->first.first);
}

} // namespace flamingo

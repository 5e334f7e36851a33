#include "core/eventloop.h"

namespace flamingo
{

asio::io_context &EventLoop::context()
{
    return m_context;
}

TimerService &EventLoop::timers()
{
    return m_timers;
}

void EventLoop::run()
{
    const auto guard = asio::make_work_guard(m_context);
    while (!m_isStopping) {
        m_context.run_one_until(m_timers.nextDue(std::chrono::steady_clock::now()));
        m_context.poll();
        m_timers.advance(std::chrono::steady_clock::now());
    }
}

void EventLoop::stop()
{
    m_isStopping = true;
}

} // namespace flamingo

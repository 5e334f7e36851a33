#include "core/eventloop.h"

namespace flamingo
{

namespace
{
/// Handlers that run between two looks at the timers, since sockets of a busy process may always have one ready.
constexpr int MaxHandlersPerRound = 64;
} // namespace

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
        runReadyHandlers();
        m_timers.advance(std::chrono::steady_clock::now());
    }
}

void EventLoop::runReadyHandlers()
{
    int count = 0;
    while (count < MaxHandlersPerRound && m_context.poll_one() > 0) {
        ++count;
    }
}

void EventLoop::stop()
{
    m_isStopping = true;
}

} // namespace flamingo

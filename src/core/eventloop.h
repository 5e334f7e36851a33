#pragma once

#include "core/timerservice.h"

#include <asio.hpp>

namespace flamingo
{

/// The event loop of one thread. Asio handles the sockets, the timer service the timers.
class EventLoop
{
public:
    asio::io_context &context();
    TimerService &timers();

    /// Runs until stop() is called.
    void run();

    /// Must be called on the thread that runs the loop.
    void stop();

private:
    void runReadyHandlers();

    asio::io_context m_context{1};
    TimerService m_timers;
    bool m_isStopping = false;
};

} // namespace flamingo

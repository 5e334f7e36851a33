#pragma once

#include "core/timerservice.h"

#include <asio.hpp>

namespace flamingo
{

/// One thread's loop: sockets by Asio, time by the timer service.
class EventLoop
{
public:
    asio::io_context &context();
    TimerService &timers();

    /// Runs until stop() is called from inside.
    void run();
    void stop();

private:
    asio::io_context m_context{1};
    TimerService m_timers;
    bool m_isStopping = false;
};

} // namespace flamingo

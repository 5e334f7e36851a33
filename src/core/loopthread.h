#pragma once

#include "core/eventloop.h"

#include <future>
#include <thread>

namespace flamingo
{

/// A thread that runs an event loop.
class LoopThread
{
public:
    LoopThread()
        : m_thread([this] { loop.run(); })
    {
    }

    ~LoopThread()
    {
        stop();
    }

    /// Ends the thread. Afterwards no handler runs, so objects that the handlers use may be destroyed.
    void stop()
    {
        if (m_thread.joinable()) {
            asio::post(loop.context(), [this] { loop.stop(); });
            m_thread.join();
        }
    }

    /// Runs a function on the loop's thread and waits for its result. Must be called from another thread.
    template<typename Function>
    auto call(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(loop.context(), [&task] { task(); });
        return result.get();
    }

    EventLoop loop;

private:
    std::thread m_thread;
};

} // namespace flamingo

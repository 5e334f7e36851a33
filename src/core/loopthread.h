#pragma once

#include "core/eventloop.h"

#include <future>
#include <thread>

namespace flamingo
{

/// An event loop on a thread of its own.
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

    /// Ends the thread; what its handlers use may be destroyed from then on.
    void stop()
    {
        if (m_thread.joinable()) {
            asio::post(loop.context(), [this] { loop.stop(); });
            m_thread.join();
        }
    }

    /// Runs a function on the loop's thread and waits for its result.
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

#pragma once

#include "core/boundedqueue.h"
#include "core/timerservice.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace flamingo
{

/// A thread that runs the tasks of its queue and the timers of its timer service.
class Worker
{
public:
    using Task = std::function<void()>;

    /// The capacity is the maximum number of queued tasks.
    explicit Worker(std::string name, std::size_t capacity = 65536);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    void start();

    /// Runs the tasks that are queued now, then ends the thread. May be called again.
    void stop();

    /// Queues a task that must not be lost, such as a completion. Blocks while the queue is full.
    void post(Task task);

    /// Queues a task that may be rejected, such as new work. Returns false if the queue is three quarters full; the rest is reserved
    /// for post().
    bool tryPost(Task task);

    /// May be used only on this worker's thread or before start().
    TimerService &timers();

private:
    void run();

    std::string m_name;
    std::size_t m_tryPostLimit;
    BoundedQueue<Task> m_queue;
    TimerService m_timers;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace flamingo

#pragma once

#include "core/boundedqueue.h"
#include "core/timerservice.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace flamingo
{

/// A thread with one duty. It runs the tasks of its ring and the timers of its timer service.
class Worker
{
public:
    using Task = std::function<void()>;

    /// The capacity is the most tasks that can wait.
    explicit Worker(std::string name, std::size_t capacity = 65536);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    void start();

    /// Ends the thread after the tasks that wait now. Safe to call twice.
    void stop();

    /// Hands over a task that must not be lost, such as a completion; waits for room.
    void post(Task task);

    /// Hands over new work, which may be refused: returns false when the ring is three quarters full.
    bool tryPost(Task task);

    /// For use on this worker's own thread, and before start().
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

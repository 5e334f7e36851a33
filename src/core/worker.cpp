#include "core/worker.h"

#include <pthread.h>

namespace flamingo
{

Worker::Worker(std::string name, std::size_t capacity)
    : m_name(std::move(name))
    , m_tryPostLimit(capacity / 4 * 3)
    , m_queue(capacity)
{
}

Worker::~Worker()
{
    stop();
}

void Worker::start()
{
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), m_name.substr(0, 15).c_str());
}

void Worker::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    post([this] { m_isStopping = true; });
    m_thread.join();
}

void Worker::post(Task task)
{
    m_queue.push(std::move(task));
}

bool Worker::tryPost(Task task)
{
    return m_queue.tryPush(std::move(task), m_tryPostLimit);
}

TimerService &Worker::timers()
{
    return m_timers;
}

void Worker::run()
{
    while (!m_isStopping) {
        const auto task = m_queue.popUntil(m_timers.nextDue(std::chrono::steady_clock::now()));
        if (task) {
            (*task)();
        }
        m_timers.advance(std::chrono::steady_clock::now());
    }
}

} // namespace flamingo

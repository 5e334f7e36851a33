#include "core/worker.h"

#include <pthread.h>

namespace flamingo
{

Worker::Worker(std::string name, std::size_t capacity)
    : m_name(std::move(name))
    , m_newWorkLimit(capacity / 4 * 3)
    , m_ring(capacity)
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
    m_ring.push(std::move(task));
}

bool Worker::tryPost(Task task)
{
    return m_ring.tryPush(std::move(task), m_newWorkLimit);
}

TimerService &Worker::timers()
{
    return m_timers;
}

void Worker::run()
{
    while (!m_isStopping) {
        const auto task = m_ring.popUntil(m_timers.nextDue(std::chrono::steady_clock::now()));
        if (task) {
            (*task)();
        }
        m_timers.advance(std::chrono::steady_clock::now());
    }
}

} // namespace flamingo

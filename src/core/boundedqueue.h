#pragma once

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include "core/time.h"

namespace flamingo
{

/// A thread-safe FIFO queue of fixed capacity. Any number of threads may push and pop.
template<typename T>
class BoundedQueue
{
public:
    explicit BoundedQueue(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /// Blocks while the queue is full.
    void push(T item)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_notFull.wait(lock, [this] { return !m_items.full(); });
        m_items.push_back(std::move(item));
        m_notEmpty.notify_one();
    }

    /// Returns false without adding the item if the queue is full or holds limit items or more.
    bool tryPush(T item, std::size_t limit)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_items.full() || m_items.size() >= limit) {
            return false;
        }
        m_items.push_back(std::move(item));
        m_notEmpty.notify_one();
        return true;
    }

    /// Waits for an item until the given time. Returns nothing if the queue is still empty then.
    std::optional<T> popUntil(Instant until)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_notEmpty.wait_until(lock, until, [this] { return !m_items.empty(); });
        if (m_items.empty()) {
            return std::nullopt;
        }
        T item = std::move(m_items.front());
        m_items.pop_front();
        m_notFull.notify_one();
        return item;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::condition_variable m_notFull;
    boost::circular_buffer<T> m_items;
};

} // namespace flamingo

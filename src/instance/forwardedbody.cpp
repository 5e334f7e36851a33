#include "instance/forwardedbody.h"

#include <chrono>
#include <utility>

namespace flamingo
{

namespace
{
/// Copies of a turn's input that are held while it is recorded: in the record, in the messages to two archives and in the one to the
/// program's home.
constexpr std::size_t RecordCopies = 4;
} // namespace

bool ForwardedBody::set(std::string input, std::shared_ptr<MemoryHolder> memory, bool isRecorded)
{
    const std::size_t recordBytes = isRecorded ? RecordCopies * input.size() : 0;
    if (memory && !memory->tryResize(memory->bytes() + recordBytes, std::chrono::steady_clock::now())) {
        return false;
    }
    m_held = std::make_shared<Held>(Held{std::move(input), std::move(memory)});
    return true;
}

bool ForwardedBody::prependHistory(const std::string &history)
{
    if (history.empty()) {
        return true;
    }
    MemoryHolder *memory = m_held->memory.get();
    if (memory && !memory->tryResize(memory->bytes() + history.size(), std::chrono::steady_clock::now())) {
        return false;
    }
    m_historyBytes = history.size();
    // Inserting in place may double the capacity, which is not accounted for.
    std::string joined;
    joined.reserve(history.size() + m_held->bytes.size());
    joined.append(history).append(m_held->bytes);
    m_held->bytes.swap(joined);
    return true;
}

std::shared_ptr<const std::string> ForwardedBody::bytes() const
{
    return {m_held, &m_held->bytes};
}

std::string ForwardedBody::takeInput()
{
    if (m_historyBytes == 0 && m_held.use_count() == 1) {
        return std::move(m_held->bytes);
    }
    return m_held->bytes.substr(m_historyBytes);
}

void ForwardedBody::clear()
{
    m_held.reset();
}

} // namespace flamingo

#include "archive/uploadqueue.h"

#include <algorithm>

namespace flamingo
{

namespace
{
constexpr Milliseconds SetAsideTime{60000};
} // namespace

void UploadQueue::add(const RequestId &id, Instant receivedAt, Instant dueAt)
{
    m_turns.emplace(id, Waiting{receivedAt, dueAt});
}

void UploadQueue::remove(const RequestId &id)
{
    m_turns.erase(id);
}

std::vector<RequestId> UploadQueue::nextTurns(Instant now, bool isUrgent) const
{
    std::vector<std::pair<Instant, RequestId>> due;
    for (const auto &[id, waiting] : m_turns) {
        if (waiting.dueAt <= now || (isUrgent && !waiting.isSetAside)) {
            due.emplace_back(waiting.receivedAt, id);
        }
    }
    std::sort(due.begin(), due.end());
    std::vector<RequestId> ids;
    for (const auto &[receivedAt, id] : due) {
        const bool isAlone = m_turns.at(id).isAlone;
        if (isAlone && ids.empty()) {
            return {id};
        }
        if (!isAlone) {
            ids.push_back(id);
        }
    }
    return ids;
}

void UploadQueue::onRejected(const std::vector<RequestId> &ids, Instant now)
{
    for (const RequestId &id : ids) {
        const auto it = m_turns.find(id);
        if (it == m_turns.end()) {
            continue;
        }
        it->second.isAlone = true;
        if (ids.size() == 1) {
            it->second.isSetAside = true;
            it->second.dueAt = now + SetAsideTime;
        }
    }
}

std::size_t UploadQueue::setAsideCount() const
{
    return static_cast<std::size_t>(std::count_if(m_turns.begin(), m_turns.end(), [](const auto &it) { return it.second.isSetAside; }));
}

} // namespace flamingo

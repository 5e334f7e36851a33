#include "unit/fakestore.h"

#include <utility>

namespace flamingo
{

FakeStore::FakeStore(std::uint64_t seed, StoreFaults faults)
    : m_random(seed)
    , m_faults(faults)
{
}

bool FakeStore::drawBernoulli(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

void FakeStore::submit(const StoreOperation &operation)
{
    if (drawBernoulli(m_faults.requestLossRate)) {
        m_unknownReplies.push_back({operation.id, StoreReply::Status::Unknown, 0, {}});
        return;
    }
    if (drawBernoulli(m_faults.delayRate)) {
        // The caller is told that the outcome is unknown, but the operation may still take effect.
        m_unknownReplies.push_back({operation.id, StoreReply::Status::Unknown, 0, {}});
        StoreOperation late = operation;
        late.id = 0;
        m_waitingOperations.push_back(late);
        return;
    }
    m_waitingOperations.push_back(operation);
}

StoreReply FakeStore::perform(StoreState &state, const StoreOperation &operation)
{
    StoreReply reply;
    reply.id = operation.id;
    if (operation.kind == StoreOperation::Kind::Read) {
        const auto value = state.read(operation.key);
        reply.status = value ? StoreReply::Status::Done : StoreReply::Status::Absent;
        reply.version = value ? value->version : 0;
        reply.value = value ? value->bytes : "";
    } else if (operation.kind == StoreOperation::Kind::Delete) {
        state.remove(operation.key);
        reply.status = StoreReply::Status::Done;
    } else {
        const auto version = state.write(operation.key, operation.expectedVersion, operation.value);
        reply.status = version ? StoreReply::Status::Done : StoreReply::Status::Conflict;
        reply.version = version.value_or(0);
    }
    return reply;
}

std::vector<StoreReply> FakeStore::performNext()
{
    std::vector<StoreReply> replies = std::exchange(m_unknownReplies, {});
    if (m_waitingOperations.empty()) {
        return replies;
    }
    const std::size_t n = drawBernoulli(0.5) ? 0 : m_random() % m_waitingOperations.size();
    const StoreOperation operation = m_waitingOperations[n];
    m_waitingOperations.erase(m_waitingOperations.begin() + static_cast<std::ptrdiff_t>(n));
    StoreReply reply = perform(m_state, operation);
    if (operation.kind == StoreOperation::Kind::Write && drawBernoulli(m_faults.replyLossRate)) {
        reply = {operation.id, StoreReply::Status::Unknown, 0, {}};
    }
    if (reply.id != 0) {
        replies.push_back(std::move(reply));
    }
    return replies;
}

bool FakeStore::hasWaiting() const
{
    return !m_waitingOperations.empty() || !m_unknownReplies.empty();
}

StoreState &FakeStore::state()
{
    return m_state;
}

} // namespace flamingo

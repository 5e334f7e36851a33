#include "instance/registryfeed.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
/// A sender that asks for more is answered earlier.
constexpr Milliseconds MaxWait{10000};

Instant now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

RegistryFeed::RegistryFeed(TimerService &timers)
    : m_timers(timers)
{
}

void RegistryFeed::restart(const std::string &prefix, const std::vector<platform::StoreItem> &items, platform::Revision revision, Instant confirmedAt)
{
    m_logs[prefix].restart(items, revision, confirmedAt);
    respondToPolls(prefix);
}

void RegistryFeed::append(const std::string &prefix, const platform::StoreChanges &changes, Instant confirmedAt)
{
    m_logs[prefix].append(changes, confirmedAt);
    if (!changes.items.empty()) {
        respondToPolls(prefix);
    }
}

void RegistryFeed::setStoreUnavailable(const std::string &prefix, bool isUnavailable)
{
    m_logs[prefix].setStoreUnavailable(isUnavailable);
    respondToPolls(prefix);
}

void RegistryFeed::poll(const RegistryPoll &poll, UpdateHandler onUpdate)
{
    const auto log = m_logs.find(poll.prefix);
    const auto update = (log == m_logs.end() ? RegistryLog() : log->second).respond(poll, suspendAwareNow());
    if (update) {
        onUpdate(*update);
        return;
    }
    const PollNumber number = ++m_lastPoll;
    PendingPoll &pending = m_pendingPolls[number];
    pending.poll = poll;
    pending.onUpdate = std::move(onUpdate);
    pending.timer = m_timers.at(now() + std::min(poll.wait, MaxWait), [this, number](Instant) { onTimeout(number); });
}

void RegistryFeed::answerPolls(const std::string &prefix)
{
    const RegistryLog &log = m_logs[prefix];
    for (auto it = m_pendingPolls.begin(); it != m_pendingPolls.end();) {
        if (it->second.poll.prefix != prefix) {
            ++it;
            continue;
        }
        m_timers.cancel(it->second.timer);
        it->second.onUpdate(log.respondNow(it->second.poll, suspendAwareNow()));
        it = m_pendingPolls.erase(it);
    }
}

void RegistryFeed::onTimeout(PollNumber number)
{
    const auto node = m_pendingPolls.extract(number);
    const PendingPoll &pending = node.mapped();
    pending.onUpdate(m_logs[pending.poll.prefix].respondNow(pending.poll, suspendAwareNow()));
}

void RegistryFeed::respondToPolls(const std::string &prefix)
{
    const RegistryLog &log = m_logs[prefix];
    for (auto it = m_pendingPolls.begin(); it != m_pendingPolls.end();) {
        const auto update = it->second.poll.prefix == prefix ? log.respond(it->second.poll, suspendAwareNow()) : std::nullopt;
        if (!update) {
            ++it;
            continue;
        }
        m_timers.cancel(it->second.timer);
        it->second.onUpdate(*update);
        it = m_pendingPolls.erase(it);
    }
}

} // namespace flamingo

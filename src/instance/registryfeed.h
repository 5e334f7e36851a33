#pragma once

#include "core/timerservice.h"
#include "instance/registrylog.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace flamingo
{

/// Passes the changes that this instance gets from the store on to the instances that poll it. Each poll waits until there is
/// something new for its sender.
class RegistryFeed
{
public:
    /// Path of the request that carries a RegistryPoll.
    static constexpr const char *PollPath = "/registry/poll";

    using UpdateHandler = std::function<void(const RegistryUpdate &update)>;

    explicit RegistryFeed(TimerService &timers);

    /// Compare the functions of RegistryLog. Waiting polls that are concerned are answered.
    void restart(const std::string &prefix, const std::vector<platform::StoreItem> &items, platform::Revision revision, Instant confirmedAt);
    void append(const std::string &prefix, const platform::StoreChanges &changes, Instant confirmedAt);
    void setStoreUnavailable(const std::string &prefix, bool isUnavailable);

    /// Answers all waiting polls, also those for which there is nothing new.
    void answerPolls(const std::string &prefix);

    /// Answers a poll, at the latest when its waiting time is over. The handler is called once.
    void poll(const RegistryPoll &poll, UpdateHandler onUpdate);

private:
    struct PendingPoll {
        RegistryPoll poll;
        UpdateHandler onUpdate;
        TimerService::TimerId timer = 0;
    };
    using PollNumber = std::uint64_t;

    void respondToPolls(const std::string &prefix);
    void onTimeout(PollNumber number);

    TimerService &m_timers;
    std::map<std::string, RegistryLog> m_logs; ///< By prefix.
    std::map<PollNumber, PendingPoll> m_pendingPolls;
    PollNumber m_lastPoll = 0;
};

} // namespace flamingo

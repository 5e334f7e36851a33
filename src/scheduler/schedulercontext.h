#pragma once

#include "configuration/configuration.h"
#include "core/metrics.h"
#include "journal/shardjournal.h"
#include "membership/memberinfo.h"
#include "policy/dispatcher.h"
#include "scheduler/actions.h"

#include <map>
#include <string>
#include <vector>

namespace flamingo
{

struct SchedulerSettings {
    InstanceId instance;
    DomainId domain;
    std::string incarnation; ///< Distinguishes this process from earlier ones of the instance.
    std::vector<DomainId> domains; ///< All failure domains, in the same order on every instance.
    std::uint32_t shardCount = 8;
    JournalSettings journal;
    PolicyRules rules;
    Milliseconds startupDelay{1500}; ///< Wait after the start, so that current owners become known before shards are acquired.
    Milliseconds commitWait{1500}; ///< How long an answer waits for its turn to be committed.
    Milliseconds programRetention{600000}; ///< How long the answers of an ended program can be fetched.
    Milliseconds memorySweepPeriod{2000};
    unsigned maxAttempts = 4;
    double retryRatio = 0.2; ///< Retries as a share of calls that got an outcome.
};

/// State that the parts of a scheduler share: settings, known configuration and members, the time of the input being handled,
/// and the actions that it leads to.
struct SchedulerContext {
    SchedulerContext(SchedulerSettings schedulerSettings, Metrics &processMetrics)
        : settings(std::move(schedulerSettings))
        , metrics(processMetrics)
        , dispatcher(settings.rules, settings.domain)
    {
    }

    SchedulerSettings settings;
    Metrics &metrics;
    Configuration configuration;
    std::map<InstanceId, MemberInfo> members;
    Dispatcher dispatcher;
    Instant now;
    std::int64_t nowMs = 0; ///< Wall clock, milliseconds since 1970.
    bool isDraining = false;
    std::vector<Action> actions;

    void reply(LinkId link, PeerMessage message)
    {
        actions.emplace_back(SendOnLink{link, std::move(message)});
    }

    void refuse(LinkId link, RequestNumber request, const Error &error)
    {
        metrics.addRefusal(error.kind);
        reply(link, makeRefusal(request, error));
    }
};

} // namespace flamingo

#include "scheduler/schedulercore.h"

#include "core/visitors.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds MaintenancePeriod{100};
constexpr Milliseconds ProgramCheckPeriod{500};
} // namespace

SchedulerCore::SchedulerCore(SchedulerSettings settings, Metrics &metrics)
    : m_context(std::move(settings), metrics)
    , m_shards(
          m_context,
          [this](Shard &shard, const ShardEvent &event) { onShardEvent(shard, event); },
          [this](ShardId shard) { return m_calls.isBusy(shard); })
    , m_calls(m_context, m_shards, m_decisionLog)
    , m_programs(m_context, m_shards, m_calls, m_decisionLog)
{
}

void SchedulerCore::setTime(Instant now, std::int64_t nowMs)
{
    m_context.now = now;
    m_context.nowMs = nowMs;
}

void SchedulerCore::onMessage(LinkId link, const PeerMessage &message)
{
    std::visit(Visitors{[&](const StartProgram &request) { m_programs.onStart(link, request); },
                        [&](const SubmitCall &request) { m_calls.onSubmit(link, request); },
                        [&](const FetchAnswer &request) { m_calls.onFetch(link, request); },
                        [&](const EndProgram &request) { m_programs.onEnd(link, request); },
                        [&](const ExplainProgram &request) { m_programs.onExplain(link, request); },
                        [&](const EngineMemoryReport &held) { m_programs.onMemoryHeld(held); },
                        [&](const MembershipUpdate &update) {
                            m_context.members.clear();
                            for (const MemberInfo &member : update.members) {
                                m_context.members.emplace(member.instance, member);
                            }
                            updateEndpoints();
                            m_shards.onMembersChanged();
                        },
                        [&](const ConfigurationUpdate &update) {
                            for (const ConfigObject &object : update.objects) {
                                m_context.configuration.merge(object);
                            }
                            updateEndpoints();
                        },
                        [&](const EndpointsLeaving &leaving) {
                            m_leavingEndpoints = leaving.endpoints;
                            updateEndpoints();
                        },
                        [&](const RequestHandover &request) { m_shards.onRequestHandover(link, request); },
                        [&](const HandoverPending &pending) { m_shards.onHandoverPending(pending.shard); },
                        [&](const ShardAvailable &freed) { m_shards.onShardFreed(freed.shard); },
                        [&](const DrainInstance &) { drain(); },
                        [](const auto &) {}},
               message);
    dispatchAndAdvance();
}

void SchedulerCore::updateEndpoints()
{
    std::vector<EndpointInfo> endpoints;
    for (const auto &[id, spec] : m_context.configuration.endpoints()) {
        const bool isAnnounced = std::find(m_leavingEndpoints.begin(), m_leavingEndpoints.end(), id) != m_leavingEndpoints.end();
        endpoints.push_back({id, spec.pool, spec.domain, spec.slots, spec.isLeaving || isAnnounced});
    }
    const auto dispatcherCount = std::count_if(m_context.members.begin(), m_context.members.end(), [](const auto &item) { return canOwnShards(item.second); });
    m_context.dispatcher.setEndpoints(endpoints, static_cast<int>(dispatcherCount));
}

void SchedulerCore::onShardEvent(Shard &shard, const ShardEvent &event)
{
    std::visit(Visitors{[&](const ShardOpened &) { m_programs.onShardOpened(shard); },
                        [&](const ShardCommitted &) {
                            m_calls.onCommitted(shard);
                            m_programs.onCommitted(shard);
                        },
                        [&](const ShardLost &) {
                            m_context.metrics.add("flamingo_shards_lost_total");
                            m_calls.onShardLost(shard.id());
                            m_programs.onShardLost(shard.id());
                        },
                        [&](const ShardReleased &) { m_programs.onShardLost(shard.id()); }},
               event);
}

void SchedulerCore::onLinkDown(LinkId link)
{
    m_calls.onLinkDown(link);
    m_programs.onLinkDown(link);
}

void SchedulerCore::onStoreReply(ShardId shard, const StoreReply &reply)
{
    m_shards.onStoreReply(shard, reply);
    dispatchAndAdvance();
}

void SchedulerCore::onAttemptDelta(AttemptId attempt, const std::string &text)
{
    m_calls.onDelta(attempt, text);
}

void SchedulerCore::onAttemptResult(const EndpointResult &result)
{
    m_calls.onResult(result);
    dispatchAndAdvance();
}

void SchedulerCore::onMemoryListed(const EndpointId &endpoint, const std::vector<ProgramId> &programs)
{
    m_programs.onMemoryListed(endpoint, programs);
}

bool SchedulerCore::advanceIfDue(Instant &next, Milliseconds period) const
{
    if (m_context.now < next) {
        return false;
    }
    next = m_context.now + period;
    return true;
}

void SchedulerCore::onTimer()
{
    m_calls.checkOverdue();
    if (advanceIfDue(m_nextMaintenance, MaintenancePeriod)) {
        m_shards.maintain();
    }
    if (advanceIfDue(m_nextProgramCheck, ProgramCheckPeriod)) {
        m_programs.checkPrograms();
    }
    if (advanceIfDue(m_nextSweep, m_context.settings.memorySweepPeriod)) {
        m_programs.sweepMemory();
    }
    dispatchAndAdvance();
}

void SchedulerCore::dispatchAndAdvance()
{
    m_calls.dispatchWaiting();
    m_shards.advance();
}

void SchedulerCore::drain()
{
    m_context.isDraining = true;
    m_shards.maintain();
}

bool SchedulerCore::isDrained() const
{
    return m_context.isDraining && m_shards.isEmpty() && m_calls.callCount() == 0;
}

std::vector<Action> SchedulerCore::takeActions()
{
    return std::exchange(m_context.actions, {});
}

SchedulerReport SchedulerCore::report() const
{
    return {m_shards.ownershipReport(), m_context.configuration.fingerprint(), m_context.isDraining};
}

const SchedulerContext &SchedulerCore::context() const
{
    return m_context;
}

} // namespace flamingo

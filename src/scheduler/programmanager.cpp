#include "scheduler/programmanager.h"

#include "membership/programshard.h"
#include "membership/shardowner.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace flamingo
{

namespace
{
constexpr std::size_t MaxProgramIdLength = 80;
/// The initial reservation of a program is its budget divided by this; more is reserved in the journal when that is spent.
constexpr std::int64_t InitialReservationDivisor = 4;
} // namespace

ProgramManager::ProgramManager(SchedulerContext &context, ShardManager &shards, CallRunner &calls, DecisionLog &log)
    : m_context(context)
    , m_shards(shards)
    , m_calls(calls)
    , m_decisionLog(log)
{
}

void ProgramManager::onStart(LinkId link, const StartProgram &request)
{
    const ProgramId program = request.program.value_or(ProgramId());
    const auto shard = m_shards.findShardOf(program);
    if (!shard) {
        m_context.refuse(link, request.request, shard.error());
        return;
    }
    const Program *known = (*shard)->table().find(program);
    if (known && known->start.caller == request.caller && known->start.agent == request.agent) {
        m_context.reply(link, StartProgramReply{request.request, program, (*shard)->isDurable(program)});
        return;
    }
    if ((*shard)->isHandingOver()) {
        m_context.refuse(link, request.request, {ErrorKind::NotOwner, "the shard is being handed over", std::nullopt});
        return;
    }
    const auto startRecord = startProgram(**shard, request);
    if (!startRecord) {
        m_context.refuse(link, request.request, startRecord.error());
        return;
    }
    m_context.metrics.add("flamingo_programs_started_total");
    m_pendingReplies.push_back({link, request.request, program, (*shard)->id(), true, *startRecord, m_context.now});
}

Result<RecordIndex> ProgramManager::startProgram(Shard &shard, const StartProgram &request)
{
    const AgentSpec *agent = m_context.configuration.agent(request.agent);
    if (!agent) {
        return failure(ErrorKind::UnknownAgent, fmt::format("there is no agent {}", request.agent.value()));
    }
    if (request.program->value().size() > MaxProgramIdLength) {
        return failure(ErrorKind::MalformedRequest, "the program id is too long");
    }
    if (request.parent && shardOf(*request.parent) != shard.id()) {
        return failure(ErrorKind::MalformedRequest, "a sub-agent lives on its parent's shard");
    }
    if (request.parent) {
        const auto parent = shard.table().findForCaller(request.caller, *request.parent);
        if (!parent) {
            return tl::make_unexpected(parent.error());
        }
    }
    ProgramStarted record;
    record.program = *request.program;
    record.caller = request.caller;
    record.agent = request.agent;
    record.priority = std::max(request.priority.value_or(agent->priority), agent->priority);
    record.budget = std::min(request.budget.value_or(agent->budget), agent->budget);
    record.reserved = Tokens(record.budget.value() / InitialReservationDivisor);
    record.parent = request.parent;
    record.startedAtMs = m_context.nowMs;
    m_lastActiveAt[record.program] = m_context.now;
    m_decisionLog.add(record.program, m_context.nowMs, fmt::format("started on shard {} at {}", shard.id().value(), m_context.settings.instance.value()));
    return shard.appendRecord(record);
}

void ProgramManager::onEnd(LinkId link, const EndProgram &request)
{
    const auto owned = m_shards.findProgram(request.caller, request.program);
    if (!owned) {
        m_context.refuse(link, request.request, owned.error());
        return;
    }
    Shard &shard = *owned->shard;
    const Program &program = *owned->program;
    if (m_calls.hasRunningCall(request.program)) {
        m_context.refuse(link, request.request, {ErrorKind::CallConflict, "a call is under way", Milliseconds(200)});
        return;
    }
    if (!program.endReason) {
        endProgram(shard, request.program, request.reason);
    }
    const RecordIndex last = shard.lastRecordIndex(request.program);
    const PendingReply reply{link, request.request, request.program, shard.id(), false, last, m_context.now};
    if (shard.isCommitted(last)) {
        sendReply(reply, true);
    } else {
        m_pendingReplies.push_back(reply);
    }
}

void ProgramManager::endProgram(Shard &shard, const ProgramId &program, const std::string &reason)
{
    for (const ProgramId &child : shard.table().runningDescendants(program)) {
        if (!m_calls.hasRunningCall(child)) {
            endProgram(shard, child, "its parent has ended");
        }
    }
    if (!shard.appendRecord(ProgramEnded{program, reason})) {
        return;
    }
    m_context.metrics.add("flamingo_programs_ended_total", fmt::format("reason=\"{}\"", reason));
    m_decisionLog.add(program, m_context.nowMs, "ended: " + reason);
    m_endedAt[program] = m_context.now;
    m_calls.forgetProgram(program);
    releaseCachedPrefix(shard, program);
}

// Only the endpoint that the program last ran on is told at once. Memory at other endpoints is found by the sweep.
void ProgramManager::releaseCachedPrefix(Shard &shard, const ProgramId &program)
{
    const auto endpoint = m_context.dispatcher.prefixEndpoint(program);
    m_context.dispatcher.forgetProgram(program);
    const EndpointSpec *spec = endpoint ? m_context.configuration.endpoint(*endpoint) : nullptr;
    if (spec) {
        m_context.metrics.add("flamingo_memory_releases_total", "cause=\"end\"");
        m_context.actions.emplace_back(ReleaseEngineMemory{spec->address, program, shard.fence()});
    }
}

void ProgramManager::onMemoryHeld(const EngineMemoryReport &held)
{
    const EndpointSpec *spec = m_context.configuration.endpoint(held.endpoint);
    if (!spec) {
        return;
    }
    for (const ProgramId &program : held.programs) {
        const auto shard = m_shards.findShardOf(program);
        if (!shard) {
            continue;
        }
        const Program *known = (*shard)->table().find(program);
        const bool isGone = !known || known->endReason;
        if (isGone && !m_calls.hasRunningCall(program)) {
            m_context.metrics.add("flamingo_memory_releases_total", "cause=\"sweep\"");
            m_context.actions.emplace_back(ReleaseEngineMemory{spec->address, program, (*shard)->fence()});
        }
    }
}

void ProgramManager::onMemoryListed(const EndpointId &endpoint, const std::vector<ProgramId> &programs)
{
    std::map<InstanceId, EngineMemoryReport> byOwner;
    for (const ProgramId &program : programs) {
        const auto shard = shardOf(program);
        const auto owner = shard ? reachableOwner(*shard, m_context.members) : std::nullopt;
        if (shard && m_shards.findOwned(*shard)) {
            byOwner[m_context.settings.instance].programs.push_back(program);
        } else if (owner) {
            byOwner[*owner].programs.push_back(program);
        }
    }
    for (auto &[owner, held] : byOwner) {
        held.endpoint = endpoint;
        if (owner == m_context.settings.instance) {
            onMemoryHeld(held);
        } else {
            m_context.actions.emplace_back(SendToPeer{m_context.members.at(owner).schedulerAddress, held});
        }
    }
}

// Each endpoint is swept by one instance. It is chosen by rendezvous hashing among the instances in the endpoint's domain, or
// among all if there is none in that domain.
bool ProgramManager::isSweeper(const EndpointId &endpoint) const
{
    const EndpointSpec *spec = m_context.configuration.endpoint(endpoint);
    const MemberInfo *best = nullptr;
    std::tuple<bool, std::uint64_t> bestWeight;
    for (const auto &[instance, member] : m_context.members) {
        if (!canOwnShards(member)) {
            continue;
        }
        const std::tuple<bool, std::uint64_t> weight{member.domain == spec->domain, stableHash(endpoint.value() + instance.value())};
        if (!best || weight > bestWeight) {
            best = &member;
            bestWeight = weight;
        }
    }
    return best && best->instance == m_context.settings.instance;
}

void ProgramManager::sweepMemory()
{
    for (const auto &[id, spec] : m_context.configuration.endpoints()) {
        const PoolSpec *pool = m_context.configuration.pool(spec.pool);
        if (pool && pool->isModel && isSweeper(id)) {
            m_context.actions.emplace_back(ListEngineMemory{id, spec.address});
        }
    }
}

void ProgramManager::onExplain(LinkId link, const ExplainProgram &request)
{
    const auto shard = m_shards.findShardOf(request.program);
    const Program *program = shard ? (*shard)->table().find(request.program) : nullptr;
    if (!program) {
        const Error error = shard ? Error{ErrorKind::UnknownProgram, "there is no such program", std::nullopt} : shard.error();
        m_context.refuse(link, request.request, error);
        return;
    }
    nlohmann::json report = {{"program", request.program},
                             {"caller", program->start.caller},
                             {"agent", program->start.agent},
                             {"priority", program->start.priority},
                             {"instance", m_context.settings.instance},
                             {"shard", (*shard)->id()},
                             {"fence", (*shard)->fence()},
                             {"turns", program->turns.size()},
                             {"budget_tokens", program->start.budget},
                             {"spent_tokens", program->spent},
                             {"reserved_tokens", program->reserved},
                             {"durable", (*shard)->isDurable(request.program)},
                             {"call_under_way", m_calls.hasRunningCall(request.program)},
                             {"ended", program->endReason},
                             {"decisions", m_decisionLog.decisions(request.program)}};
    m_context.reply(link, Explanation{request.request, std::move(report)});
}

void ProgramManager::onShardOpened(Shard &shard)
{
    for (const ProgramId &program : shard.table().programIds()) {
        m_lastActiveAt[program] = m_context.now;
        if (shard.table().find(program)->endReason) {
            m_endedAt[program] = m_context.now;
        }
        m_decisionLog.add(program, m_context.nowMs, fmt::format("shard {} taken by {}", shard.id().value(), m_context.settings.instance.value()));
    }
}

void ProgramManager::onCommitted(Shard &shard)
{
    const auto it = std::stable_partition(m_pendingReplies.begin(), m_pendingReplies.end(), [&](const PendingReply &reply) {
        return reply.shard != shard.id() || !shard.isCommitted(reply.awaitedRecord);
    });
    const std::vector<PendingReply> done(it, m_pendingReplies.end());
    m_pendingReplies.erase(it, m_pendingReplies.end());
    for (const PendingReply &reply : done) {
        sendReply(reply, true);
    }
}

void ProgramManager::sendReply(const PendingReply &reply, bool isDurable)
{
    if (reply.isStart) {
        m_context.reply(reply.link, StartProgramReply{reply.request, reply.program, isDurable});
    } else {
        m_context.reply(reply.link, EndProgramReply{reply.request, reply.program, isDurable});
    }
}

void ProgramManager::onShardLost(ShardId shard)
{
    const auto it = std::stable_partition(m_pendingReplies.begin(), m_pendingReplies.end(), [&](const PendingReply &reply) { return reply.shard != shard; });
    for (auto lost = it; lost != m_pendingReplies.end(); ++lost) {
        m_context.refuse(lost->link, lost->request, {ErrorKind::OwnershipLost, "another instance has taken the shard over", std::nullopt});
    }
    m_pendingReplies.erase(it, m_pendingReplies.end());
}

void ProgramManager::onLinkDown(LinkId link)
{
    m_pendingReplies.erase(std::remove_if(m_pendingReplies.begin(), m_pendingReplies.end(), [&](const PendingReply &reply) { return reply.link == link; }),
                           m_pendingReplies.end());
}

void ProgramManager::checkPrograms()
{
    for (Shard *shard : m_shards.ownedShards()) {
        for (const ProgramId &program : shard->table().programIds()) {
            checkProgram(*shard, program);
        }
    }
    const auto it = std::stable_partition(m_pendingReplies.begin(), m_pendingReplies.end(), [&](const PendingReply &reply) {
        return m_context.now - reply.requestedAt < m_context.settings.commitWait;
    });
    const std::vector<PendingReply> late(it, m_pendingReplies.end());
    m_pendingReplies.erase(it, m_pendingReplies.end());
    for (const PendingReply &reply : late) {
        sendReply(reply, false);
    }
}

void ProgramManager::checkProgram(Shard &shard, const ProgramId &id)
{
    const Program *program = shard.table().find(id);
    if (!program) {
        return;
    }
    if (program->endReason) {
        if (m_context.now - m_endedAt[id] > m_context.settings.programRetention) {
            (void)shard.appendRecord(ProgramRemoved{id});
            m_endedAt.erase(id);
            m_lastActiveAt.erase(id);
            m_decisionLog.forget(id);
        }
        return;
    }
    if (m_calls.hasRunningCall(id)) {
        m_lastActiveAt[id] = m_context.now;
        return;
    }
    const AgentSpec *agent = m_context.configuration.agent(program->start.agent);
    if (!agent) {
        return;
    }
    if (m_context.nowMs - program->start.startedAtMs > agent->maxDuration.count()) {
        endProgram(shard, id, "time-limit");
    } else if (m_context.now - m_lastActiveAt[id] > agent->idleTimeout) {
        endProgram(shard, id, "idle-timeout");
    }
}

} // namespace flamingo

#include "scheduler/programkeeper.h"

#include "membership/placement.h"
#include "membership/programshard.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace flamingo
{

namespace
{
constexpr std::size_t MaxProgramIdLength = 80;
/// Part of a program's budget that may be spent before more is reserved in the journal.
constexpr std::int64_t FirstReservationShare = 4;
} // namespace

ProgramKeeper::ProgramKeeper(SchedulerContext &context, ShardHost &shards, CallRunner &calls, DecisionLog &log)
    : m_context(context)
    , m_shards(shards)
    , m_calls(calls)
    , m_log(log)
{
}

void ProgramKeeper::onStart(LinkId link, const StartProgram &request)
{
    const ProgramId program = request.program.value_or(ProgramId());
    const auto shard = m_shards.ownerOf(program);
    if (!shard) {
        m_context.refuse(link, request.request, shard.error());
        return;
    }
    const Program *known = (*shard)->table().find(program);
    if (known && known->start.caller == request.caller && known->start.agent == request.agent) {
        m_context.reply(link, ProgramAccepted{request.request, program, (*shard)->isDurable(program)});
        return;
    }
    if ((*shard)->isHandingOver()) {
        m_context.refuse(link, request.request, {ErrorKind::NotOwner, "the shard is being handed over", std::nullopt});
        return;
    }
    const auto record = start(**shard, request);
    if (!record) {
        m_context.refuse(link, request.request, record.error());
        return;
    }
    m_context.metrics.add("flamingo_programs_started_total");
    m_waiting.push_back({link, request.request, program, (*shard)->id(), true, *record, m_context.now});
}

Result<RecordIndex> ProgramKeeper::start(Shard &shard, const StartProgram &request)
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
        const auto parent = shard.table().findFor(request.caller, *request.parent);
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
    record.reserved = Tokens(record.budget.value() / FirstReservationShare);
    record.parent = request.parent;
    record.startedAtMs = m_context.nowMs;
    m_activeAt[record.program] = m_context.now;
    m_log.add(record.program, m_context.nowMs, fmt::format("started on shard {} at {}", shard.id().value(), m_context.settings.instance.value()));
    return shard.propose(record);
}

void ProgramKeeper::onEnd(LinkId link, const EndProgram &request)
{
    const auto owned = m_shards.findFor(request.caller, request.program);
    if (!owned) {
        m_context.refuse(link, request.request, owned.error());
        return;
    }
    Shard &shard = *owned->shard;
    const Program &program = *owned->program;
    if (m_calls.isRunning(request.program)) {
        m_context.refuse(link, request.request, {ErrorKind::CallConflict, "a call is under way", Milliseconds(200)});
        return;
    }
    if (!program.endReason) {
        end(shard, request.program, request.reason);
    }
    const RecordIndex last = shard.lastRecord(request.program);
    const Waiting waiting{link, request.request, request.program, shard.id(), false, last, m_context.now};
    if (shard.isCommitted(last)) {
        answer(waiting, true);
    } else {
        m_waiting.push_back(waiting);
    }
}

void ProgramKeeper::end(Shard &shard, const ProgramId &program, const std::string &reason)
{
    for (const ProgramId &child : shard.table().openDescendants(program)) {
        if (!m_calls.isRunning(child)) {
            end(shard, child, "its parent has ended");
        }
    }
    if (!shard.propose(ProgramEnded{program, reason})) {
        return;
    }
    m_context.metrics.add("flamingo_programs_ended_total", fmt::format("reason=\"{}\"", reason));
    m_log.add(program, m_context.nowMs, "ended: " + reason);
    m_endedAt[program] = m_context.now;
    m_calls.forgetProgram(program);
    releaseEverywhere(shard, program);
}

// The endpoint that the program last ran on is told at once; what lies elsewhere is found by the sweep.
void ProgramKeeper::releaseEverywhere(Shard &shard, const ProgramId &program)
{
    const auto endpoint = m_context.dispatcher.prefixEndpoint(program);
    m_context.dispatcher.forgetProgram(program);
    const EndpointSpec *spec = endpoint ? m_context.configuration.endpoint(*endpoint) : nullptr;
    if (spec) {
        m_context.metrics.add("flamingo_memory_releases_total", "cause=\"end\"");
        m_context.actions.emplace_back(ReleaseMemory{spec->address, program, shard.fence()});
    }
}

void ProgramKeeper::onMemoryHeld(const MemoryHeld &held)
{
    const EndpointSpec *spec = m_context.configuration.endpoint(held.endpoint);
    if (!spec) {
        return;
    }
    for (const ProgramId &program : held.programs) {
        const auto shard = m_shards.ownerOf(program);
        if (!shard) {
            continue;
        }
        const Program *known = (*shard)->table().find(program);
        const bool isGone = !known || known->endReason;
        if (isGone && !m_calls.isRunning(program)) {
            m_context.metrics.add("flamingo_memory_releases_total", "cause=\"sweep\"");
            m_context.actions.emplace_back(ReleaseMemory{spec->address, program, (*shard)->fence()});
        }
    }
}

void ProgramKeeper::onMemoryListed(const EndpointId &endpoint, const std::vector<ProgramId> &programs)
{
    std::map<InstanceId, MemoryHeld> byOwner;
    for (const ProgramId &program : programs) {
        const auto shard = shardOf(program);
        const auto owner = shard ? claimedOwner(*shard, m_context.members) : std::nullopt;
        if (shard && m_shards.find(*shard)) {
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

// One instance sweeps an endpoint: of the endpoint's own domain if there is one.
bool ProgramKeeper::sweeps(const EndpointId &endpoint) const
{
    const EndpointSpec *spec = m_context.configuration.endpoint(endpoint);
    const MemberFact *best = nullptr;
    std::tuple<bool, std::uint64_t> bestWeight;
    for (const auto &[instance, fact] : m_context.members) {
        if (!canOwnShards(fact)) {
            continue;
        }
        const std::tuple<bool, std::uint64_t> weight{fact.domain == spec->domain, stableHash(endpoint.value() + instance.value())};
        if (!best || weight > bestWeight) {
            best = &fact;
            bestWeight = weight;
        }
    }
    return best && best->instance == m_context.settings.instance;
}

void ProgramKeeper::sweepMemory()
{
    for (const auto &[id, spec] : m_context.configuration.endpoints()) {
        const PoolSpec *pool = m_context.configuration.pool(spec.pool);
        if (pool && pool->isModel && sweeps(id)) {
            m_context.actions.emplace_back(ListMemory{id, spec.address});
        }
    }
}

void ProgramKeeper::onExplain(LinkId link, const ExplainProgram &request)
{
    const auto shard = m_shards.ownerOf(request.program);
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
                             {"call_under_way", m_calls.isRunning(request.program)},
                             {"ended", program->endReason},
                             {"decisions", m_log.decisions(request.program)}};
    m_context.reply(link, Explanation{request.request, std::move(report)});
}

void ProgramKeeper::onShardOpened(Shard &shard)
{
    for (const ProgramId &program : shard.table().programs()) {
        m_activeAt[program] = m_context.now;
        if (shard.table().find(program)->endReason) {
            m_endedAt[program] = m_context.now;
        }
        m_log.add(program, m_context.nowMs, fmt::format("shard {} taken by {}", shard.id().value(), m_context.settings.instance.value()));
    }
}

void ProgramKeeper::onCommitted(Shard &shard)
{
    const auto it = std::stable_partition(
        m_waiting.begin(), m_waiting.end(), [&](const Waiting &waiting) { return waiting.shard != shard.id() || !shard.isCommitted(waiting.record); });
    const std::vector<Waiting> done(it, m_waiting.end());
    m_waiting.erase(it, m_waiting.end());
    for (const Waiting &waiting : done) {
        answer(waiting, true);
    }
}

void ProgramKeeper::answer(const Waiting &waiting, bool isDurable)
{
    if (waiting.isStart) {
        m_context.reply(waiting.link, ProgramAccepted{waiting.request, waiting.program, isDurable});
    } else {
        m_context.reply(waiting.link, ProgramClosed{waiting.request, waiting.program, isDurable});
    }
}

void ProgramKeeper::onShardLost(ShardId shard)
{
    const auto it = std::stable_partition(m_waiting.begin(), m_waiting.end(), [&](const Waiting &waiting) { return waiting.shard != shard; });
    for (auto lost = it; lost != m_waiting.end(); ++lost) {
        m_context.refuse(lost->link, lost->request, {ErrorKind::OwnershipLost, "another instance has taken the shard over", std::nullopt});
    }
    m_waiting.erase(it, m_waiting.end());
}

void ProgramKeeper::onLinkDown(LinkId link)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting &waiting) { return waiting.link == link; }), m_waiting.end());
}

void ProgramKeeper::checkPrograms()
{
    for (Shard *shard : m_shards.ownedShards()) {
        for (const ProgramId &program : shard->table().programs()) {
            checkProgram(*shard, program);
        }
    }
    const auto it = std::stable_partition(
        m_waiting.begin(), m_waiting.end(), [&](const Waiting &waiting) { return m_context.now - waiting.since < m_context.settings.commitWait; });
    const std::vector<Waiting> late(it, m_waiting.end());
    m_waiting.erase(it, m_waiting.end());
    for (const Waiting &waiting : late) {
        answer(waiting, false);
    }
}

void ProgramKeeper::checkProgram(Shard &shard, const ProgramId &id)
{
    const Program *program = shard.table().find(id);
    if (!program) {
        return;
    }
    if (program->endReason) {
        if (m_context.now - m_endedAt[id] > m_context.settings.programRetention) {
            (void)shard.propose(ProgramForgotten{id});
            m_endedAt.erase(id);
            m_activeAt.erase(id);
            m_log.forget(id);
        }
        return;
    }
    if (m_calls.isRunning(id)) {
        m_activeAt[id] = m_context.now;
        return;
    }
    const AgentSpec *agent = m_context.configuration.agent(program->start.agent);
    if (!agent) {
        return;
    }
    if (m_context.nowMs - program->start.startedAtMs > agent->maxDuration.count()) {
        end(shard, id, "time-limit");
    } else if (m_context.now - m_activeAt[id] > agent->idleTimeout) {
        end(shard, id, "idle-timeout");
    }
}

} // namespace flamingo

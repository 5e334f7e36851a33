#include "programs/programtable.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
/// Number of calls that one journalled reservation covers.
constexpr std::int64_t CallsPerReservation = 4;
} // namespace

Result<void> ProgramTable::apply(const Record &record)
{
    return std::visit([this](const auto &alternative) { return applyRecord(alternative); }, record);
}

Result<void> ProgramTable::applyRecord(const ProgramStarted &record)
{
    if (m_programs.count(record.program) != 0) {
        return failure(ErrorKind::CallConflict, "the program exists");
    }
    if (record.parent) {
        Program *parent = findMutable(*record.parent);
        if (!parent || parent->endReason) {
            return failure(ErrorKind::UnknownProgram, "the parent program is unknown or has ended");
        }
        if (parent->spent + record.budget > parent->start.budget) {
            return failure(ErrorKind::BudgetExhausted, "the parent's budget doesn't cover the sub-agent's");
        }
        parent->spent = parent->spent + record.budget;
        parent->reserved = std::max(parent->reserved, parent->spent);
        m_children[*record.parent].push_back(record.program);
    }
    Entry entry;
    entry.program.start = record;
    entry.program.reserved = record.reserved;
    entry.program.historyDigest = initialHistoryDigest(record.program);
    m_programs.emplace(record.program, std::move(entry));
    return {};
}

Result<void> ProgramTable::applyRecord(const BudgetReserved &record)
{
    Program *program = findMutable(record.program);
    if (!program) {
        return failure(ErrorKind::UnknownProgram, "reservation for an unknown program");
    }
    program->reserved = std::max(program->reserved, record.total);
    return {};
}

Result<void> ProgramTable::applyRecord(const CallClaimed &record)
{
    Program *program = findMutable(record.program);
    if (!program) {
        return failure(ErrorKind::UnknownProgram, "claim for an unknown program");
    }
    if (program->claim || record.number != program->nextCallNumber()) {
        return failure(ErrorKind::CallOutOfOrder, "the call can't be claimed");
    }
    program->claim = record;
    return {};
}

Result<void> ProgramTable::applyRecord(const ClaimWithdrawn &record)
{
    Program *program = findMutable(record.program);
    if (!program || !program->claim || program->claim->number != record.number) {
        return failure(ErrorKind::CallOutOfOrder, "there is no such claim");
    }
    program->claim.reset();
    return {};
}

Result<void> ProgramTable::applyRecord(const TurnCommitted &record)
{
    Program *program = findMutable(record.program);
    if (!program) {
        return failure(ErrorKind::UnknownProgram, "turn of an unknown program");
    }
    if (record.number != program->nextCallNumber() || record.previous != program->historyDigest) {
        return failure(ErrorKind::CallConflict, "the turn stands on another history");
    }
    program->historyDigest = extendHistoryDigest(record.previous, record.request, record.outcome);
    program->turns.push_back({record.number, record.request, record.input, record.outcome, program->historyDigest});
    program->spent = program->spent + record.outcome.cost;
    program->reserved = std::max(program->reserved, program->spent);
    program->claim.reset();
    return {};
}

Result<void> ProgramTable::applyRecord(const ProgramEnded &record)
{
    Program *program = findMutable(record.program);
    if (!program || program->endReason) {
        return failure(ErrorKind::ProgramEnded, "the program has ended");
    }
    program->endReason = record.reason;
    if (program->start.parent) {
        if (Program *parent = findMutable(*program->start.parent)) {
            parent->spent = parent->spent - (program->start.budget - program->spent);
        }
    }
    return {};
}

Result<void> ProgramTable::applyRecord(const ProgramRemoved &record)
{
    m_programs.erase(record.program);
    m_children.erase(record.program);
    return {};
}

Result<void> ProgramTable::applyRecord(const ShardTakenOver &)
{
    for (auto &[id, entry] : m_programs) {
        entry.program.spent = entry.program.reserved;
    }
    return {};
}

Program *ProgramTable::findMutable(const ProgramId &program)
{
    const auto it = m_programs.find(program);
    return it == m_programs.end() ? nullptr : &it->second.program;
}

const Program *ProgramTable::find(const ProgramId &program) const
{
    const auto it = m_programs.find(program);
    return it == m_programs.end() ? nullptr : &it->second.program;
}

Result<const Program *> ProgramTable::findForCaller(const CallerId &caller, const ProgramId &program) const
{
    const Program *found = find(program);
    if (!found || found->start.caller != caller) {
        return failure(ErrorKind::UnknownProgram, fmt::format("there is no program {}", program.value()));
    }
    return found;
}

Result<Admission> ProgramTable::admit(const CallRequest &call, const ProgramLimits &limits, std::int64_t nowMs) const
{
    const auto it = m_programs.find(call.program);
    if (it == m_programs.end()) {
        return failure(ErrorKind::UnknownProgram, fmt::format("there is no program {}", call.program.value()));
    }
    const Program &program = it->second.program;
    if (call.number.value() == 0 || call.number > program.nextCallNumber()) {
        return failure(ErrorKind::CallOutOfOrder, fmt::format("the next call has number {}", program.nextCallNumber().value()));
    }
    if (call.number < program.nextCallNumber()) {
        const Turn &turn = program.turns[call.number.value() - 1];
        if (turn.request != call.requestDigest) {
            return failure(ErrorKind::CallConflict, "another call was made under this number");
        }
        return ReplayTurn{turn};
    }
    if (program.endReason) {
        return failure(ErrorKind::ProgramEnded, *program.endReason);
    }
    if (it->second.runningRequest) {
        if (*it->second.runningRequest != call.requestDigest) {
            return failure(ErrorKind::CallConflict, "another call is under way under this number");
        }
        return AttachToRunningCall{};
    }
    if (program.turns.size() >= limits.maxTurns) {
        return failure(ErrorKind::TurnLimitReached, fmt::format("the agent allows {} turns", limits.maxTurns));
    }
    if (nowMs - program.start.startedAtMs > limits.maxDuration.count()) {
        return failure(ErrorKind::ProgramTimeLimit, fmt::format("the agent allows {} ms", limits.maxDuration.count()));
    }
    if (program.spent + call.maxCost > program.start.budget) {
        return failure(ErrorKind::BudgetExhausted,
                       fmt::format("the call may cost {} tokens, {} are left", call.maxCost.value(), (program.start.budget - program.spent).value()));
    }
    return RunNextCall{};
}

void ProgramTable::setRunningRequest(const ProgramId &program, std::optional<Digest> requestDigest)
{
    const auto it = m_programs.find(program);
    if (it != m_programs.end()) {
        it->second.runningRequest = std::move(requestDigest);
    }
}

bool ProgramTable::isBudgetReserved(const ProgramId &program, Tokens maxCost) const
{
    const Program *found = find(program);
    return found && found->spent + maxCost <= found->reserved;
}

BudgetReserved ProgramTable::nextReservation(const ProgramId &program, Tokens maxCost) const
{
    const Program &found = m_programs.at(program).program;
    const Tokens total = found.spent + Tokens(maxCost.value() * CallsPerReservation);
    return {program, std::min(total, found.start.budget)};
}

std::vector<Record> ProgramTable::unresolvedClaimOutcomes() const
{
    std::vector<Record> records;
    for (const auto &[id, entry] : m_programs) {
        const Program &program = entry.program;
        if (!program.claim) {
            continue;
        }
        Outcome outcome;
        outcome.error = errorInfo(ErrorKind::OutcomeUnknown).name;
        outcome.contextTokens = program.contextTokens();
        records.emplace_back(TurnCommitted{id, program.claim->number, program.claim->request, program.historyDigest, {}, outcome});
    }
    return records;
}

std::vector<ProgramId> ProgramTable::runningDescendants(const ProgramId &program) const
{
    std::vector<ProgramId> found;
    const auto it = m_children.find(program);
    if (it == m_children.end()) {
        return found;
    }
    for (const ProgramId &child : it->second) {
        const Program *childProgram = find(child);
        if (childProgram && !childProgram->endReason) {
            const auto childDescendants = runningDescendants(child);
            found.insert(found.end(), childDescendants.begin(), childDescendants.end());
            found.push_back(child);
        }
    }
    return found;
}

std::vector<ProgramId> ProgramTable::programIds() const
{
    std::vector<ProgramId> ids;
    ids.reserve(m_programs.size());
    for (const auto &[id, entry] : m_programs) {
        ids.push_back(id);
    }
    return ids;
}

std::size_t ProgramTable::size() const
{
    return m_programs.size();
}

std::vector<std::string> ProgramTable::encodeSnapshot(std::size_t maxBytes) const
{
    std::vector<std::string> chunks;
    nlohmann::json chunk = nlohmann::json::array();
    std::size_t bytes = 0;
    for (const auto &[id, entry] : m_programs) {
        nlohmann::json json = entry.program;
        const std::size_t size = toCbor(json).size();
        if (bytes > 0 && bytes + size > maxBytes) {
            chunks.push_back(toCbor(chunk));
            chunk = nlohmann::json::array();
            bytes = 0;
        }
        bytes += size;
        chunk.push_back(std::move(json));
    }
    chunks.push_back(toCbor(chunk));
    return chunks;
}

bool ProgramTable::restoreSnapshotChunk(const std::string &chunk)
{
    const auto json = fromCbor(chunk);
    if (!json || !json->is_array()) {
        return false;
    }
    for (const auto &item : *json) {
        Entry entry;
        entry.program = item.get<Program>();
        const ProgramId id = entry.program.start.program;
        if (entry.program.start.parent) {
            m_children[*entry.program.start.parent].push_back(id);
        }
        m_programs.insert_or_assign(id, std::move(entry));
    }
    return true;
}

} // namespace flamingo

#include "programs/programtable.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
/// How many calls' worth of budget one journalled reservation covers.
constexpr std::int64_t ReservationCalls = 4;
} // namespace

Result<void> ProgramTable::apply(const Record &record)
{
    return std::visit([this](const auto &alternative) { return applyAlternative(alternative); }, record);
}

Result<void> ProgramTable::applyAlternative(const ProgramStarted &record)
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
    entry.program.historyDigest = emptyHistory(record.program);
    m_programs.emplace(record.program, std::move(entry));
    return {};
}

Result<void> ProgramTable::applyAlternative(const BudgetReserved &record)
{
    Program *program = findMutable(record.program);
    if (!program) {
        return failure(ErrorKind::UnknownProgram, "reservation for an unknown program");
    }
    program->reserved = std::max(program->reserved, record.total);
    return {};
}

Result<void> ProgramTable::applyAlternative(const CallClaimed &record)
{
    Program *program = findMutable(record.program);
    if (!program) {
        return failure(ErrorKind::UnknownProgram, "claim for an unknown program");
    }
    if (program->claim || record.number != program->nextNumber()) {
        return failure(ErrorKind::CallOutOfOrder, "the call can't be claimed");
    }
    program->claim = record;
    return {};
}

Result<void> ProgramTable::applyAlternative(const ClaimWithdrawn &record)
{
    Program *program = findMutable(record.program);
    if (!program || !program->claim || program->claim->number != record.number) {
        return failure(ErrorKind::CallOutOfOrder, "there is no such claim");
    }
    program->claim.reset();
    return {};
}

Result<void> ProgramTable::applyAlternative(const TurnCommitted &record)
{
    Program *program = findMutable(record.program);
    if (!program) {
        return failure(ErrorKind::UnknownProgram, "turn of an unknown program");
    }
    if (record.number != program->nextNumber() || record.previous != program->historyDigest) {
        return failure(ErrorKind::CallConflict, "the turn stands on another history");
    }
    program->historyDigest = extendHistory(record.previous, record.request, record.outcome);
    program->turns.push_back({record.number, record.request, record.input, record.outcome, program->historyDigest});
    program->spent = program->spent + record.outcome.cost;
    program->reserved = std::max(program->reserved, program->spent);
    program->claim.reset();
    return {};
}

Result<void> ProgramTable::applyAlternative(const ProgramEnded &record)
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

Result<void> ProgramTable::applyAlternative(const ProgramForgotten &record)
{
    m_programs.erase(record.program);
    m_children.erase(record.program);
    return {};
}

Result<void> ProgramTable::applyAlternative(const TakeoverSettled &)
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

Result<const Program *> ProgramTable::findFor(const CallerId &caller, const ProgramId &program) const
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
    if (call.number.value() == 0 || call.number > program.nextNumber()) {
        return failure(ErrorKind::CallOutOfOrder, fmt::format("the next call has number {}", program.nextNumber().value()));
    }
    if (call.number < program.nextNumber()) {
        const Turn &turn = program.turns[call.number.value() - 1];
        if (turn.request != call.request) {
            return failure(ErrorKind::CallConflict, "another call was made under this number");
        }
        return Replay{turn};
    }
    if (program.endReason) {
        return failure(ErrorKind::ProgramEnded, *program.endReason);
    }
    if (it->second.running) {
        if (*it->second.running != call.request) {
            return failure(ErrorKind::CallConflict, "another call is under way under this number");
        }
        return Attach{};
    }
    if (program.turns.size() >= limits.maxTurns) {
        return failure(ErrorKind::TurnLimitReached, fmt::format("the agent allows {} turns", limits.maxTurns));
    }
    if (nowMs - program.start.startedAtMs > limits.maxDuration.count()) {
        return failure(ErrorKind::ProgramTimeLimit, fmt::format("the agent allows {} ms", limits.maxDuration.count()));
    }
    if (program.spent + call.mostCost > program.start.budget) {
        return failure(ErrorKind::BudgetExhausted,
                       fmt::format("the call may cost {} tokens, {} are left", call.mostCost.value(), (program.start.budget - program.spent).value()));
    }
    return Run{};
}

void ProgramTable::setRunning(const ProgramId &program, std::optional<Digest> request)
{
    const auto it = m_programs.find(program);
    if (it != m_programs.end()) {
        it->second.running = std::move(request);
    }
}

bool ProgramTable::isReserved(const ProgramId &program, Tokens mostCost) const
{
    const Program *found = find(program);
    return found && found->spent + mostCost <= found->reserved;
}

BudgetReserved ProgramTable::nextReservation(const ProgramId &program, Tokens mostCost) const
{
    const Program &found = m_programs.at(program).program;
    const Tokens wanted = found.spent + Tokens(mostCost.value() * ReservationCalls);
    return {program, std::min(wanted, found.start.budget)};
}

std::vector<Record> ProgramTable::unresolvedClaims() const
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

std::vector<ProgramId> ProgramTable::openDescendants(const ProgramId &program) const
{
    std::vector<ProgramId> found;
    const auto it = m_children.find(program);
    if (it == m_children.end()) {
        return found;
    }
    for (const ProgramId &child : it->second) {
        const Program *childProgram = find(child);
        if (childProgram && !childProgram->endReason) {
            const auto below = openDescendants(child);
            found.insert(found.end(), below.begin(), below.end());
            found.push_back(child);
        }
    }
    return found;
}

std::vector<ProgramId> ProgramTable::programs() const
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
    nlohmann::json piece = nlohmann::json::array();
    std::size_t bytes = 0;
    for (const auto &[id, entry] : m_programs) {
        nlohmann::json json = entry.program;
        const std::size_t size = toCbor(json).size();
        if (bytes > 0 && bytes + size > maxBytes) {
            chunks.push_back(toCbor(piece));
            piece = nlohmann::json::array();
            bytes = 0;
        }
        bytes += size;
        piece.push_back(std::move(json));
    }
    chunks.push_back(toCbor(piece));
    return chunks;
}

bool ProgramTable::restoreSnapshot(const std::string &chunk)
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

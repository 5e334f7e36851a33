#include "serving/budgetaccount.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
/// Half of a budget is granted provisionally in a store outage. Most programs use less than a third.
constexpr std::int64_t ProvisionalGrantDivisor = 2;
} // namespace

BudgetAccount::BudgetAccount(ProgramId program, IncarnationId self)
    : program(std::move(program))
    , m_self(std::move(self))
{
}

const IncarnationId &BudgetAccount::self() const
{
    return m_self;
}

Tokens BudgetAccount::committedTokens() const
{
    return spent + reserved;
}

Tokens BudgetAccount::recordedGrant() const
{
    return record.grantOf(m_self);
}

// A grant whose response was lost and a provisional grant may cover the same tokens, so the larger one counts, not the sum.
Tokens BudgetAccount::grantedTokens() const
{
    return std::max(provisionalLimit, recordedGrant());
}

Tokens BudgetAccount::usableTokens() const
{
    const Tokens granted = recordedGrant();
    return std::max(provisionalLimit, witness ? std::min(granted, witness->noted) : granted);
}

// Its grant, or what turns have used of a provisional grant.
Tokens BudgetAccount::minimumGrant() const
{
    const Tokens granted = recordedGrant();
    return provisionalGrant.value() > 0 ? std::max(granted, committedTokens()) : granted;
}

Tokens BudgetAccount::wantedTokens() const
{
    Tokens wanted(0);
    for (const Waiter &waiter : waiters) {
        wanted = wanted + waiter.maxTokens;
    }
    return wanted;
}

Tokens BudgetAccount::provisionalGrantFor(Tokens maxTokens) const
{
    return std::min(budget, std::max(maxTokens, Tokens(budget.value() / ProvisionalGrantDivisor)));
}

bool BudgetAccount::isBusy() const
{
    return isWriting || isAwaitingMark || fencesInProgress > 0;
}

bool BudgetAccount::hasSeenNoRecord() const
{
    return revision == 0 && record.granted.empty();
}

bool BudgetAccount::isClosed() const
{
    return record.closed.count(m_self) != 0;
}

std::vector<IncarnationId> BudgetAccount::otherHolders() const
{
    std::vector<IncarnationId> holders;
    for (const auto &[holder, tokens] : record.granted) {
        if (holder != m_self && tokens.value() > 0 && record.closed.count(holder) == 0) {
            holders.push_back(holder);
        }
    }
    return holders;
}

bool BudgetAccount::tryReserve(Tokens maxTokens)
{
    if (committedTokens() + maxTokens > usableTokens()) {
        return false;
    }
    reserved = reserved + maxTokens;
    lastTurnMaximum = maxTokens;
    lostWitnesses = 0;
    unconfirmedSince.reset();
    return true;
}

// Only where no record was seen, so that tokens known to be granted to other holders are not granted again.
bool BudgetAccount::tryGrantProvisionally(Tokens maxTokens)
{
    if (!hasSeenNoRecord() || provisionalGrant.value() != 0) {
        return false;
    }
    const Tokens grant = provisionalGrantFor(maxTokens);
    const bool isLimited = (nextWitness && nextWitness->lastSent < grant) || unconfirmedLimit.value_or(grant) < grant;
    if (isLimited) {
        return false;
    }
    provisionalGrant = grant;
    provisionalLimit = grant;
    return true;
}

// Turns may have started on a provisional grant while the write was in flight, beyond what it recorded.
void BudgetAccount::adoptRecord(const BudgetRecord &written, std::uint64_t writtenRevision)
{
    record = written;
    revision = writtenRevision;
    adoptWitness();
    if (committedTokens() <= recordedGrant()) {
        provisionalLimit = Tokens(0);
        provisionalGrant = Tokens(0);
    }
}

void BudgetAccount::adoptStoredRecord(BudgetRecord stored, std::uint64_t storedRevision)
{
    const bool isFirstRead = revision == 0 && !hasUnknownWrite;
    record = std::move(stored);
    revision = storedRevision;
    if (isFirstRead) {
        // The program was idle here for long and was dropped, so it isn't known how much of the grant is spent.
        spent = spent + recordedGrant();
    }
    adoptWitness();
}

void BudgetAccount::adoptWitness()
{
    unconfirmedLimit.reset();
    const auto it = record.witnesses.find(m_self);
    if (it == record.witnesses.end()) {
        witness.reset();
    } else if (nextWitness && nextWitness->witness.term == it->second.term) {
        witness = std::move(nextWitness);
        nextWitness.reset();
    } else if (!witness) {
        // By an earlier write without a response. Its limit covers what turns have used, and nothing beyond that.
        witness = WitnessedLimit{it->second, Tokens(0), Tokens(0)};
        witness->isLost = true;
        witness->isRefused = true;
    }
}

void BudgetAccount::nameWitness(BudgetRecord &proposed) const
{
    proposed.witnesses.erase(m_self);
    if (nextWitness) {
        proposed.witnesses[m_self] = nextWitness->witness;
    } else if (witness && !witness->isLost) {
        proposed.witnesses[m_self] = witness->witness;
    }
}

void BudgetAccount::applyFences(BudgetRecord &proposed) const
{
    for (const auto &[holder, fence] : fences) {
        const auto it = proposed.witnesses.find(holder);
        if (fence.limit && it != proposed.witnesses.end() && it->second.term == fence.term) {
            proposed.close(holder, *fence.limit);
        }
    }
}

void BudgetAccount::failWaiters(const BudgetAnswer &answer)
{
    const std::vector<Waiter> waiting = std::exchange(waiters, {});
    for (const Waiter &waiter : waiting) {
        waiter.onAnswer(answer);
    }
}

} // namespace flamingo

#include "serving/budgetledger.h"

#include "core/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
/// A holder is granted half of what remains of a budget at once. That is enough for most programs, and leaves as much for
/// the next holder if this one dies.
constexpr std::int64_t GrantDivisor = 2;
/// Attempts at one grant before the turns that wait for it are refused.
constexpr int MaxGrantAttempts = 3;
/// Budgets of programs without a turn for this long are not given back on shutdown, since these have most likely ended.
constexpr Milliseconds MaxIdleForRelease{15000};
/// Witnesses that are tried one after the other while a turn waits. Then the holder goes on without one.
constexpr int MaxLostWitnesses = 2;
constexpr Milliseconds FenceRetryTime{500};
/// While other holders can't be reached, turns are refused for at most this long; then what they hold counts as spent.
constexpr Milliseconds MaxUnconfirmedTime{4000};
constexpr Milliseconds UnconfirmedRetryAfter{1000};
/// Half of a budget is granted provisionally in a store outage. Most programs use less than a third.
constexpr std::int64_t ProvisionalGrantDivisor = 2;

Tokens provisionalGrantFor(Tokens budget, Tokens maxTokens)
{
    return std::min(budget, std::max(maxTokens, Tokens(budget.value() / ProvisionalGrantDivisor)));
}
} // namespace

BudgetLedger::BudgetLedger(IncarnationId self, BudgetStore &store, Checks checks, WitnessNetwork *witnesses)
    : m_self(std::move(self))
    , m_store(store)
    , m_checks(std::move(checks))
    , m_witnesses(witnesses)
{
}

// A grant whose response was lost and a provisional grant may cover the same tokens, so the larger one counts, not the sum.
Tokens BudgetLedger::grantedTokens(const Account &account) const
{
    return std::max(account.provisionalLimit, account.record.grantOf(m_self));
}

Tokens BudgetLedger::usableTokens(const Account &account) const
{
    const Tokens granted = account.record.grantOf(m_self);
    return std::max(account.provisionalLimit, account.witness ? std::min(granted, account.witness->noted) : granted);
}

// The least that the store must record for this holder: its grant, or what turns have used of a provisional grant.
Tokens BudgetLedger::minimumGrant(const Account &account) const
{
    const Tokens granted = account.record.grantOf(m_self);
    return account.provisionalGrant.value() > 0 ? std::max(granted, account.spent + account.reserved) : granted;
}

Tokens BudgetLedger::wantedTokens(const Account &account)
{
    Tokens wanted(0);
    for (const Waiter &waiter : account.waiters) {
        wanted = wanted + waiter.maxTokens;
    }
    return wanted;
}

bool BudgetLedger::isBusy(const Account &account)
{
    return account.isWriting || account.fencesInProgress > 0;
}

// Only for a program of which this holder has seen no record, so that tokens known to be granted to other holders are
// not granted again.
bool BudgetLedger::tryGrantProvisionally(const ProgramId &program, Account &account, Tokens maxTokens) const
{
    const bool isUnknown = account.revision == 0 && account.record.granted.empty() && account.provisionalGrant.value() == 0;
    if (!isUnknown || !m_checks.mayGrantProvisionally(program)) {
        return false;
    }
    const Tokens grant = provisionalGrantFor(account.budget, maxTokens);
    // The store may hold a write by which no more than such a limit counts as spent here.
    const bool isLimited = (account.nextWitness && account.nextWitness->lastSent < grant) || account.unconfirmedLimit.value_or(grant) < grant;
    if (isLimited) {
        return false;
    }
    account.provisionalGrant = grant;
    account.provisionalLimit = account.provisionalGrant;
    logChange("provisional-grant", "program={} tokens={} budget={}", program.value(), account.provisionalLimit.value(), account.budget.value());
    return true;
}

bool BudgetLedger::tryReserve(Account &account, Tokens maxTokens) const
{
    if (account.spent + account.reserved + maxTokens > usableTokens(account)) {
        return false;
    }
    account.reserved = account.reserved + maxTokens;
    account.lastTurnMaximum = maxTokens;
    account.lostWitnesses = 0;
    account.unconfirmedSince.reset();
    return true;
}

void BudgetLedger::reserve(const BudgetRequest &request, Instant now, AnswerHandler onAnswer)
{
    if (m_isReleasing) {
        onAnswer({});
        return;
    }
    const auto [it, isNew] = m_accounts.try_emplace(request.program);
    Account &account = it->second;
    const ProgramId &program = request.program;
    account.wasSoleGranterAtStart = isNew ? m_checks.isSoleGranter(program) : account.wasSoleGranterAtStart;
    const Tokens maxTokens = request.maxTokens;
    if (account.revision == 0 && account.record.granted.empty()) {
        account.budget = request.budget;
        account.record.budget = request.budget;
    }
    account.lastUsedAt = now;
    if (tryReserve(account, maxTokens)) {
        onAnswer({BudgetVerdict::Reserved, {}, {}});
        return;
    }
    account.isForwarded = request.isForwarded;
    const auto holder = reachableHolder(account);
    if (holder) {
        onAnswer({BudgetVerdict::HeldElsewhere, *holder, {}});
        return;
    }
    if (m_checks.isStoreUnreachable() && tryGrantProvisionally(program, account, maxTokens) && tryReserve(account, maxTokens)) {
        onAnswer({BudgetVerdict::Reserved, {}, {}});
        return;
    }
    account.waiters.push_back({maxTokens, std::move(onAnswer)});
    if (!isBusy(account)) {
        account.consecutiveFailures = 0;
        account.lostWitnesses = 0;
        requestTokens(program, account);
    }
}

// The grant may suffice already, and only the witness has yet to note a higher limit.
void BudgetLedger::requestTokens(const ProgramId &program, Account &account)
{
    const Tokens needed = account.spent + account.reserved + account.waiters.front().maxTokens;
    if (mayRaiseLimit(account) && account.lostWitnesses <= MaxLostWitnesses && needed <= account.record.grantOf(m_self)) {
        raiseLimit(program, account);
    } else {
        requestGrant(program, account);
    }
}

void BudgetLedger::requestGrant(const ProgramId &program, Account &account)
{
    const Tokens wanted = wantedTokens(account);
    const Tokens ownGrant = minimumGrant(account);
    BudgetRecord proposed = account.record;
    applyFences(account, proposed);
    proposed.granted[m_self] = ownGrant;
    if (mayDropProvisionalReserve(program, account)) {
        proposed.provisionalReserve = Tokens(0);
    } else if (account.revision == 0) {
        const Tokens maxTokens = account.waiters.empty() ? Tokens(0) : account.waiters.front().maxTokens;
        proposed.provisionalReserve = provisionalGrantFor(account.budget, maxTokens) - maxTokens;
        proposed.mayExceed = true;
    }
    const Tokens remaining = proposed.remaining();
    // Tokens that this holder has been granted but not reserved count towards what is wanted.
    const Tokens unused = ownGrant - account.spent - account.reserved;
    if (!account.waiters.empty() && remaining < account.waiters.front().maxTokens - unused) {
        handleShortage(program, account);
        return;
    }
    const bool isForWitnessOnly = account.waiters.empty() && account.provisionalGrant.value() == 0;
    const Tokens share(isForWitnessOnly ? 0 : remaining.value() / GrantDivisor);
    const Tokens grant = std::max(Tokens(0), std::min(remaining, std::max(wanted - unused, share)));
    proposed.granted[m_self] = ownGrant + grant;
    // Once this write is sent, other holders may be granted whatever it doesn't record for this one.
    account.provisionalLimit = std::min(account.provisionalLimit, ownGrant + grant);
    proposed.closed.erase(m_self);
    account.isWriting = true;
    chooseWitness(program, account);
    nameWitness(account, proposed);
    writeRecord(program, account, std::move(proposed), &BudgetLedger::onGrantWritten);
}

bool BudgetLedger::mayDropProvisionalReserve(const ProgramId &program, const Account &account) const
{
    const bool isSoleGranter = account.wasSoleGranterAtStart && m_checks.isSoleGranter(program);
    // A reserve in another holder's record may stand for a grant of an instance that is gone.
    const bool isOwnReserve = account.revision == 0 || account.hasCreatedRecord;
    return isSoleGranter || (isOwnReserve && m_checks.excludesUnrecordedGrants(program));
}

void BudgetLedger::writeRecord(const ProgramId &program, Account &account, BudgetRecord proposed, SwapHandler onResult)
{
    account.isWriting = true;
    const std::string bytes = proposed.encode();
    m_store.compareAndSwap(program, account.revision, bytes, [this, program, proposed = std::move(proposed), onResult](const SwapResult &result) {
        const auto it = m_accounts.find(program);
        if (it != m_accounts.end()) {
            it->second.isWriting = false;
            (this->*onResult)(program, it->second, proposed, result);
        }
    });
}

void BudgetLedger::onGrantWritten(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result)
{
    if (result.status == SwapResult::Status::Done) {
        account.hasCreatedRecord = account.hasCreatedRecord || account.revision == 0;
        adoptRecord(account, proposed, result.revision);
    } else if (result.status == SwapResult::Status::Conflict) {
        // The stored record wins, also when this holder wrote it by an earlier call whose response was lost.
        const auto current = result.revision == 0 ? std::optional<BudgetRecord>() : BudgetRecord::decode(result.bytes);
        if (result.revision != 0 && !current) {
            logChange("budget-unreadable", "program={} revision={}", program.value(), result.revision);
            failWaiters(account, {});
            return;
        }
        BudgetRecord none;
        none.budget = account.budget;
        adoptStoredRecord(account, current.value_or(none), result.revision);
        if (const auto holder = reachableHolder(account)) {
            failWaiters(account, {BudgetVerdict::HeldElsewhere, *holder, {}});
            return;
        }
        if (fenceHolders(program, account, false)) {
            return;
        }
    } else if (!handleFailedWrite(program, account, result.status)) {
        return;
    }
    serveWaiters(program);
    lowerLimit(program);
}

// The store has not responded, or has refused the write. Returns whether waiters may still be served.
bool BudgetLedger::handleFailedWrite(const ProgramId &program, Account &account, SwapResult::Status status)
{
    const bool isRefused = status == SwapResult::Status::Refused;
    if (isRefused) {
        account.provisionalLimit = account.provisionalGrant;
        account.nextWitness.reset();
    } else {
        account.hasUnknownWrite = true;
        if (account.nextWitness) {
            account.unconfirmedLimit = std::min(account.unconfirmedLimit.value_or(account.nextWitness->lastSent), account.nextWitness->lastSent);
        }
    }
    if (!account.waiters.empty() && tryGrantProvisionally(program, account, account.waiters.front().maxTokens)) {
        return true;
    }
    if (++account.consecutiveFailures >= MaxGrantAttempts || isRefused) {
        failWaiters(account, {});
        return false;
    }
    return true;
}

// Turns may have started on a provisional grant while the write was in flight, beyond what it recorded.
void BudgetLedger::adoptRecord(Account &account, const BudgetRecord &proposed, std::uint64_t revision) const
{
    account.record = proposed;
    account.revision = revision;
    adoptWitness(account);
    if (account.spent + account.reserved <= account.record.granted[m_self]) {
        account.provisionalLimit = Tokens(0);
        account.provisionalGrant = Tokens(0);
    }
}

// Takes a record that another holder has written, or this one by a call whose response was lost.
void BudgetLedger::adoptStoredRecord(Account &account, BudgetRecord stored, std::uint64_t revision) const
{
    const bool isFirstRead = account.revision == 0 && !account.hasUnknownWrite;
    account.record = std::move(stored);
    account.revision = revision;
    if (isFirstRead) {
        // The program was idle here for long and was dropped, so it isn't known how much of the grant is spent.
        account.spent = account.spent + account.record.grantOf(m_self);
    }
    adoptWitness(account);
}

void BudgetLedger::adoptWitness(Account &account) const
{
    account.unconfirmedLimit.reset();
    const auto it = account.record.witnesses.find(m_self);
    if (it == account.record.witnesses.end()) {
        account.witness.reset();
    } else if (account.nextWitness && account.nextWitness->witness.term == it->second.term) {
        account.witness = std::move(account.nextWitness);
        account.nextWitness.reset();
    } else if (!account.witness) {
        // By an earlier write without a response. Its limit covers what turns have used, and nothing beyond that.
        account.witness = WitnessedLimit{it->second, Tokens(0), Tokens(0)};
        account.witness->isLost = true;
        account.witness->isRefused = true;
    }
}

// Names a witness in the next write if none is in use. Its first limit covers all that turns may use until the store's response.
void BudgetLedger::chooseWitness(const ProgramId &program, Account &account)
{
    if (!m_witnesses) {
        return;
    }
    const Tokens needed = account.spent + account.reserved + wantedTokens(account);
    Tokens limit = std::max(needed, usableTokens(account));
    if (account.witness && !account.witness->isLost) {
        if (needed > account.witness->noted && !account.witness->isSending) {
            sendLimit(program, account, *account.witness, std::max(needed, account.provisionalLimit));
        }
        return;
    }
    if (account.revision == 0 && account.provisionalGrant.value() == 0 && m_checks.mayGrantProvisionally(program)) {
        limit = std::max(limit, provisionalGrantFor(account.budget, wantedTokens(account)));
    }
    if (account.nextWitness && !account.nextWitness->isLost && limit <= account.nextWitness->lastSent) {
        return; // The last write had no response, and names this one already.
    }
    account.nextWitness.reset();
    const auto witness = account.lostWitnesses <= MaxLostWitnesses ? m_witnesses->choose(program) : std::nullopt;
    if (witness) {
        m_lastTerm = WitnessTerm(m_lastTerm.value() + 1);
        account.nextWitness = WitnessedLimit{{*witness, m_lastTerm}, Tokens(0), Tokens(0)};
        sendLimit(program, account, *account.nextWitness, limit);
    }
}

void BudgetLedger::nameWitness(const Account &account, BudgetRecord &proposed) const
{
    proposed.witnesses.erase(m_self);
    if (account.nextWitness) {
        proposed.witnesses[m_self] = account.nextWitness->witness;
    } else if (account.witness && !account.witness->isLost) {
        proposed.witnesses[m_self] = account.witness->witness;
    }
}

// Another witness can't be named while the store is unreachable, so one that didn't respond is asked again.
bool BudgetLedger::mayRaiseLimit(const Account &account) const
{
    if (!account.witness || account.witness->isRefused || account.unconfirmedLimit) {
        return false;
    }
    return !account.witness->isLost || m_checks.isStoreUnreachable();
}

// For the same reason the whole grant is made usable then, so that turns don't depend on the witness until the store is back.
Tokens BudgetLedger::limitInOutage(const Account &account, Tokens limit) const
{
    return m_checks.isStoreUnreachable() ? std::max(limit, account.record.grantOf(m_self)) : limit;
}

void BudgetLedger::raiseLimit(const ProgramId &program, Account &account)
{
    if (!account.witness->isSending) {
        sendLimit(program, account, *account.witness, limitInOutage(account, account.spent + account.reserved + wantedTokens(account)));
    }
}

// There was no other instance when the grant was made, as at the start of a deployment, and now there is one.
bool BudgetLedger::lacksWitness(const ProgramId &program, const Account &account) const
{
    const bool isUnwitnessed = m_witnesses && !account.witness && !account.nextWitness && account.lostWitnesses == 0;
    const bool hasOpenGrant = account.record.grantOf(m_self) > account.spent + account.reserved && account.record.closed.count(m_self) == 0;
    return isUnwitnessed && hasOpenGrant && !isBusy(account) && !m_checks.isStoreUnreachable() && m_witnesses->choose(program);
}

// After a turn the limit covers what was spent and one more turn, so that this one needn't wait.
void BudgetLedger::updateLimit(const ProgramId &program, Account &account)
{
    if (!mayRaiseLimit(account) || account.witness->isSending || account.nextWitness || isBusy(account)) {
        return;
    }
    const Tokens limit = expectedLimit(account);
    if (limit != account.witness->lastSent) {
        sendLimit(program, account, *account.witness, limit);
    }
}

Tokens BudgetLedger::expectedLimit(const Account &account) const
{
    const Tokens committed = account.spent + account.reserved;
    const Tokens expected = std::min(committed + account.lastTurnMaximum, account.record.grantOf(m_self));
    return limitInOutage(account, std::max(std::max(expected, committed), account.provisionalLimit));
}

// The first limit of a term may be higher than turns need after the store's response.
void BudgetLedger::lowerLimit(const ProgramId &program)
{
    const auto it = m_accounts.find(program);
    if (it != m_accounts.end() && it->second.witness && expectedLimit(it->second) < it->second.witness->lastSent) {
        updateLimit(program, it->second);
    }
}

void BudgetLedger::sendLimit(const ProgramId &program, Account &account, WitnessedLimit &witnessed, Tokens limit)
{
    const bool isFirst = witnessed.sequence == 0;
    // Turns needn't wait for the first limit of a term: as long as the witness hasn't noted it, the whole grant counts as spent.
    witnessed.noted = isFirst ? limit : std::min(witnessed.noted, limit);
    witnessed.lastSent = limit;
    witnessed.isSending = true;
    SpendLimit spendLimit;
    spendLimit.program = program;
    spendLimit.holder = m_self;
    spendLimit.term = witnessed.witness.term;
    spendLimit.sequence = ++witnessed.sequence;
    spendLimit.isFirst = isFirst;
    spendLimit.limit = limit;
    const Tokens committed = account.spent + account.reserved + wantedTokens(account);
    spendLimit.unreserved = std::max(Tokens(0), std::min(limit - committed, account.lastTurnMaximum));
    const IncarnationId witness = witnessed.witness.incarnation;
    m_witnesses->note(witness, spendLimit, [this, program, term = spendLimit.term, limit](NoteResult result) { onLimitNoted(program, term, limit, result); });
}

void BudgetLedger::onLimitNoted(const ProgramId &program, WitnessTerm term, Tokens limit, NoteResult result)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end()) {
        return;
    }
    Account &account = it->second;
    const auto isAtTerm = [term](const std::optional<WitnessedLimit> &witnessed) { return witnessed && witnessed->witness.term == term; };
    if (!isAtTerm(account.witness) && !isAtTerm(account.nextWitness)) {
        return;
    }
    WitnessedLimit &witnessed = isAtTerm(account.witness) ? *account.witness : *account.nextWitness;
    witnessed.isSending = false;
    if (result == NoteResult::Noted) {
        witnessed.noted = limit;
        witnessed.isLost = false;
    } else {
        witnessed.isLost = true;
        witnessed.isRefused = witnessed.isRefused || result == NoteResult::Refused;
        ++account.lostWitnesses;
    }
    if (isBusy(account)) {
        return;
    }
    if (account.waiters.empty()) {
        updateLimit(program, account);
        return;
    }
    serveWaiters(program);
    lowerLimit(program);
}

// Has the witnesses of other holders fence them. Returns whether the turns that wait go on when these have responded.
bool BudgetLedger::fenceHolders(const ProgramId &program, Account &account, bool areReachableIncluded)
{
    if (!m_witnesses) {
        return false;
    }
    std::vector<std::pair<IncarnationId, NamedWitness>> fenced;
    for (const auto &[holder, witness] : account.record.witnesses) {
        const bool isSpared = holder == m_self || (!areReachableIncluded && !account.isForwarded && m_checks.isReachable(holder));
        const auto it = account.fences.find(holder);
        const bool wasTried =
            it != account.fences.end() && it->second.term == witness.term && (it->second.limit || account.lastUsedAt - it->second.triedAt < FenceRetryTime);
        if (!isSpared && !wasTried) {
            fenced.emplace_back(holder, witness);
        }
    }
    account.fencesInProgress = static_cast<int>(fenced.size());
    for (const auto &[holder, witness] : fenced) {
        account.fences[holder] = {witness.term, std::nullopt, account.lastUsedAt};
    }
    for (const auto &[holder, witness] : fenced) {
        m_witnesses->fence(
            witness.incarnation, program, holder, witness.term, [this, program, holder = holder, term = witness.term](const std::optional<FencedLimit> &limit) {
                const auto it = m_accounts.find(program);
                if (it == m_accounts.end()) {
                    return;
                }
                Fence &fence = it->second.fences[holder];
                if (fence.term == term) {
                    fence.limit = limit;
                }
                logChange("holder-fenced", "program={} holder={} limit={}", program.value(), holder.value(), limit ? limit->limit.value() : -1);
                onFenceEnded(program);
            });
    }
    return !fenced.empty();
}

void BudgetLedger::onFenceEnded(const ProgramId &program)
{
    Account &account = m_accounts.at(program);
    --account.fencesInProgress;
    if (account.fencesInProgress > 0) {
        return;
    }
    if (m_isReleasing) {
        failWaiters(account, {});
        release(program, account);
    } else {
        serveWaiters(program);
    }
}

void BudgetLedger::applyFences(const Account &account, BudgetRecord &proposed)
{
    for (const auto &[holder, fence] : account.fences) {
        const auto it = proposed.witnesses.find(holder);
        if (fence.limit && it != proposed.witnesses.end() && it->second.term == fence.term) {
            proposed.close(holder, *fence.limit);
        }
    }
}

void BudgetLedger::recordProvisionalGrants()
{
    if (m_isReleasing || m_checks.isStoreUnreachable()) {
        return;
    }
    std::vector<ProgramId> programs;
    for (const auto &[program, account] : m_accounts) {
        if (account.provisionalGrant.value() > 0 && !isBusy(account)) {
            programs.push_back(program);
        }
    }
    for (const ProgramId &program : programs) {
        requestGrant(program, m_accounts.at(program));
    }
}

void BudgetLedger::serveWaiters(const ProgramId &program)
{
    Account &account = m_accounts.at(program);
    std::vector<Waiter> waiting = std::exchange(account.waiters, {});
    std::vector<AnswerHandler> served;
    for (Waiter &waiter : waiting) {
        if (tryReserve(account, waiter.maxTokens)) {
            served.push_back(std::move(waiter.onAnswer));
        } else {
            account.waiters.push_back(std::move(waiter));
        }
    }
    if (!account.waiters.empty()) {
        requestTokens(program, account);
    }
    for (const AnswerHandler &onAnswer : served) {
        onAnswer({BudgetVerdict::Reserved, {}, {}});
    }
}

bool BudgetLedger::hasProvisionalGrants() const
{
    return std::any_of(m_accounts.begin(), m_accounts.end(), [](const auto &it) { return it.second.provisionalGrant.value() > 0; });
}

// Others may hold tokens that they don't need: one that can be reached serves the turn itself, the others are fenced.
void BudgetLedger::handleShortage(const ProgramId &program, Account &account)
{
    const auto holder = account.isForwarded ? std::nullopt : reachableHolder(account);
    if (holder) {
        failWaiters(account, {BudgetVerdict::HeldElsewhere, *holder, {}});
    } else if (!fenceHolders(program, account, true)) {
        const BudgetAnswer answer = shortageAnswer(account);
        logShortage(program, account, answer);
        failWaiters(account, answer);
    }
}

// For each holder: what it was granted, and by which witness it could be fenced.
void BudgetLedger::logShortage(const ProgramId &program, const Account &account, const BudgetAnswer &answer) const
{
    std::string holders;
    for (const auto &[holder, tokens] : account.record.granted) {
        const auto witness = account.record.witnesses.find(holder);
        const std::string by = witness == account.record.witnesses.end() ? "none" : witness->second.incarnation.value();
        const bool isClosed = account.record.closed.count(holder) != 0;
        holders += fmt::format("{}{}={}/{}", holders.empty() ? "" : ",", holder.value(), tokens.value(), isClosed ? "closed" : by);
    }
    logChange("budget-short",
              "program={} verdict={} budget={} reserve={} spent={} reserved={} wanted={} holders={}",
              program.value(),
              answer.verdict == BudgetVerdict::Exhausted ? "exhausted" : "unconfirmed",
              account.budget.value(),
              account.record.provisionalReserve.value(),
              account.spent.value(),
              account.reserved.value(),
              wantedTokens(account).value(),
              holders);
}

// A turn is refused for a limited time only, since callers can do nothing about a holder that doesn't come back.
BudgetAnswer BudgetLedger::shortageAnswer(Account &account) const
{
    if (!mayChange(account)) {
        return {BudgetVerdict::Exhausted, {}, {}};
    }
    if (!account.unconfirmedSince) {
        account.unconfirmedSince = account.lastUsedAt;
    }
    const auto left = MaxUnconfirmedTime - std::chrono::duration_cast<Milliseconds>(account.lastUsedAt - *account.unconfirmedSince);
    if (left.count() <= 0) {
        return {BudgetVerdict::Exhausted, {}, {}};
    }
    return {BudgetVerdict::Unconfirmed, {}, std::min(left, UnconfirmedRetryAfter)};
}

// Whether tokens may become free that other holders have or that are held back for them.
bool BudgetLedger::mayChange(const Account &account) const
{
    if (account.record.provisionalReserve.value() > 0) {
        return true;
    }
    return std::any_of(account.record.granted.begin(), account.record.granted.end(), [&](const auto &it) {
        if (!holdsOpenGrant(account, it.first)) {
            return false;
        }
        const auto witness = account.record.witnesses.find(it.first);
        const bool mayBeFenced = witness != account.record.witnesses.end() && m_checks.mayBeAlive(witness->second.incarnation);
        return mayBeFenced || m_checks.mayBeAlive(it.first);
    });
}

bool BudgetLedger::holdsOpenGrant(const Account &account, const IncarnationId &holder) const
{
    return holder != m_self && account.record.grantOf(holder).value() > 0 && account.record.closed.count(holder) == 0;
}

void BudgetLedger::failWaiters(Account &account, const BudgetAnswer &answer)
{
    const std::vector<Waiter> waiting = std::exchange(account.waiters, {});
    for (const Waiter &waiter : waiting) {
        waiter.onAnswer(answer);
    }
}

// A program's home changes when instances join and leave, but its budget stays with the holder that it was granted to
// while that one is reachable.
std::optional<IncarnationId> BudgetLedger::reachableHolder(const Account &account) const
{
    const bool isHolder = grantedTokens(account) > account.spent + account.reserved && account.record.closed.count(m_self) == 0;
    if (account.isForwarded || isHolder) {
        return std::nullopt;
    }
    std::optional<IncarnationId> best;
    Tokens mostTokens(0);
    for (const auto &[holder, tokens] : account.record.granted) {
        if (holdsOpenGrant(account, holder) && tokens > mostTokens && m_checks.isReachable(holder)) {
            best = holder;
            mostTokens = tokens;
        }
    }
    return best;
}

void BudgetLedger::beginRelease(Instant now)
{
    m_isReleasing = true;
    for (auto &[program, account] : m_accounts) {
        if (now - account.lastUsedAt < MaxIdleForRelease || account.provisionalGrant.value() > 0) {
            release(program, account);
        }
    }
}

void BudgetLedger::release(const ProgramId &program, Account &account)
{
    const Tokens needed = account.spent + account.reserved;
    if (isBusy(account) || (grantedTokens(account) <= needed && account.provisionalGrant.value() == 0)) {
        return;
    }
    BudgetRecord proposed = account.record;
    proposed.granted[m_self] = needed;
    proposed.witnesses.erase(m_self);
    proposed.closed.insert(m_self);
    if (mayDropProvisionalReserve(program, account)) {
        proposed.provisionalReserve = Tokens(0);
    }
    writeRecord(program, account, std::move(proposed), &BudgetLedger::onReleaseWritten);
}

void BudgetLedger::onReleaseWritten(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result)
{
    if (result.status == SwapResult::Status::Done) {
        adoptRecord(account, proposed, result.revision);
        release(program, account);
        return;
    }
    const auto current = result.status == SwapResult::Status::Conflict ? BudgetRecord::decode(result.bytes) : std::nullopt;
    if (current) {
        adoptStoredRecord(account, *current, result.revision);
        release(program, account);
        return;
    }
    logChange("budget-not-released", "program={} tokens={}", program.value(), (grantedTokens(account) - account.spent).value());
}

void BudgetLedger::settle(const ProgramId &program, Tokens reserved, Tokens used, Instant now)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end()) {
        return;
    }
    Account &account = it->second;
    account.reserved = account.reserved - reserved;
    account.spent = account.spent + std::min(used, reserved);
    account.lastUsedAt = now;
    if (m_isReleasing) {
        release(program, account);
    } else if (lacksWitness(program, account)) {
        requestGrant(program, account);
    } else {
        updateLimit(program, account);
    }
}

void BudgetLedger::removeIdle(Milliseconds idle, Instant now)
{
    std::vector<BudgetRevision> removed;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        const Account &account = it->second;
        if (now - account.lastUsedAt <= idle || account.reserved.value() > 0 || !account.waiters.empty() || isBusy(account)) {
            ++it;
            continue;
        }
        const auto &granted = account.record.granted;
        const bool haveOthers = std::any_of(granted.begin(), granted.end(), [&](const auto &grant) { return holdsOpenGrant(account, grant.first); });
        if (haveOthers) {
            resign(it->first, account);
        } else if (account.revision != 0) {
            removed.push_back({it->first, account.revision});
        }
        it = m_accounts.erase(it);
    }
    if (!removed.empty()) {
        m_store.remove(removed);
    }
}

// If the write fails, the whole grant counts as spent.
void BudgetLedger::resign(const ProgramId &program, const Account &account)
{
    if (account.record.grantOf(m_self) <= account.spent) {
        return;
    }
    BudgetRecord proposed = account.record;
    proposed.granted[m_self] = account.spent;
    proposed.witnesses.erase(m_self);
    proposed.closed.insert(m_self);
    m_store.compareAndSwap(program, account.revision, proposed.encode(), [](const SwapResult &) {});
}

std::size_t BudgetLedger::programCount() const
{
    return m_accounts.size();
}

} // namespace flamingo

#include "serving/budgetledger.h"

#include "core/log.h"

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
/// While other holders can't be reached, turns are refused for at most this long; then what they hold counts as spent.
constexpr Milliseconds MaxUnconfirmedTime{4000};
constexpr Milliseconds UnconfirmedRetryAfter{1000};
} // namespace

BudgetLedger::BudgetLedger(IncarnationId self, BudgetStore &store, Checks checks, WitnessNetwork *witnesses)
    : m_self(std::move(self))
    , m_store(store)
    , m_checks(std::move(checks))
    , m_limits(witnesses,
               {[this](const ProgramId &program) { return findAccount(program); },
                m_checks.mayGrantProvisionally,
                m_checks.isStoreUnreachable,
                [this](BudgetAccount &account) { onLimitAnswered(account); }})
    , m_fencing(
          witnesses,
          {[this](const ProgramId &program) { return findAccount(program); }, m_checks.isReachable, [this](BudgetAccount &account) { onFencesEnded(account); }})
{
}

BudgetAccount *BudgetLedger::findAccount(const ProgramId &program)
{
    const auto it = m_accounts.find(program);
    return it == m_accounts.end() ? nullptr : &it->second;
}

bool BudgetLedger::tryGrantProvisionally(BudgetAccount &account, Tokens maxTokens) const
{
    const bool mayGrant = m_checks.mayGrantProvisionally(account.program) && m_checks.isGrantMarked();
    if (!mayGrant || !account.tryGrantProvisionally(maxTokens)) {
        return false;
    }
    logChange("provisional-grant", "program={} tokens={} budget={}", account.program.value(), account.provisionalLimit.value(), account.budget.value());
    return true;
}

// The first turns of an outage wait for the mark. Returns whether they do.
bool BudgetLedger::awaitGrantMark(BudgetAccount &account)
{
    const bool isNeeded = !account.waiters.empty() && account.hasSeenNoRecord() && m_checks.mayGrantProvisionally(account.program) && !m_checks.isGrantMarked();
    if (!isNeeded) {
        return false;
    }
    account.isAwaitingMark = true;
    m_checks.storeGrantMark([this, program = account.program](bool isMarked) { onGrantMarked(program, isMarked); });
    return true;
}

void BudgetLedger::onGrantMarked(const ProgramId &program, bool isMarked)
{
    BudgetAccount *account = findAccount(program);
    if (!account) {
        return;
    }
    account->isAwaitingMark = false;
    if (m_isReleasing || !isMarked) {
        account->failWaiters({});
        return;
    }
    if (!account->waiters.empty()) {
        tryGrantProvisionally(*account, account->waiters.front().maxTokens);
    }
    serveWaiters(*account);
}

void BudgetLedger::reserve(const BudgetRequest &request, Instant now, AnswerHandler onAnswer)
{
    if (m_isReleasing) {
        onAnswer({});
        return;
    }
    const auto [it, isNew] = m_accounts.try_emplace(request.program, request.program, m_self);
    BudgetAccount &account = it->second;
    account.wasSoleGranterAtStart = isNew ? m_checks.isSoleGranter(account.program) : account.wasSoleGranterAtStart;
    const Tokens maxTokens = request.maxTokens;
    if (account.hasSeenNoRecord()) {
        account.budget = request.budget;
        account.record.budget = request.budget;
    }
    account.lastUsedAt = now;
    if (account.tryReserve(maxTokens)) {
        onAnswer({BudgetVerdict::Reserved, {}, {}});
        return;
    }
    account.isForwarded = request.isForwarded;
    const auto holder = reachableHolder(account);
    if (holder) {
        onAnswer({BudgetVerdict::HeldElsewhere, *holder, {}});
        return;
    }
    if (m_checks.isStoreUnreachable() && tryGrantProvisionally(account, maxTokens) && account.tryReserve(maxTokens)) {
        onAnswer({BudgetVerdict::Reserved, {}, {}});
        return;
    }
    account.waiters.push_back({maxTokens, std::move(onAnswer)});
    if (!account.isBusy()) {
        account.consecutiveFailures = 0;
        account.lostWitnesses = 0;
        if (!m_checks.isStoreUnreachable() || !awaitGrantMark(account)) {
            requestTokens(account);
        }
    }
}

// The grant may suffice already, and only the witness has yet to note a higher limit.
void BudgetLedger::requestTokens(BudgetAccount &account)
{
    const Tokens needed = account.committedTokens() + account.waiters.front().maxTokens;
    if (m_limits.canRaiseTo(account, needed)) {
        m_limits.raise(account);
    } else {
        requestGrant(account);
    }
}

void BudgetLedger::requestGrant(BudgetAccount &account)
{
    const Tokens wanted = account.wantedTokens();
    const Tokens ownGrant = account.minimumGrant();
    BudgetRecord proposed = account.record;
    account.applyFences(proposed);
    proposed.granted[m_self] = ownGrant;
    if (mayDropProvisionalReserve(account)) {
        proposed.provisionalReserve = Tokens(0);
    } else if (account.revision == 0) {
        const Tokens maxTokens = account.waiters.empty() ? Tokens(0) : account.waiters.front().maxTokens;
        proposed.provisionalReserve = account.provisionalGrantFor(maxTokens) - maxTokens;
        proposed.mayExceed = true;
    }
    const Tokens remaining = proposed.remaining();
    // Tokens that this holder has been granted but not reserved count towards what is wanted.
    const Tokens unused = ownGrant - account.committedTokens();
    if (hasOwnReserve(account) && proposed.provisionalReserve.value() > 0 && remaining < account.lastTurnMaximum + account.lastTurnMaximum) {
        m_checks.onReserveNeeded(account.program);
    }
    if (!account.waiters.empty() && remaining < account.waiters.front().maxTokens - unused) {
        handleShortage(account);
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
    m_limits.chooseWitness(account);
    account.nameWitness(proposed);
    writeRecord(account, std::move(proposed), &BudgetLedger::onGrantWritten);
}

bool BudgetLedger::mayDropProvisionalReserve(const BudgetAccount &account) const
{
    const bool isSoleGranter = account.wasSoleGranterAtStart && m_checks.isSoleGranter(account.program);
    return isSoleGranter || (hasOwnReserve(account) && m_checks.excludesUnrecordedGrants(account.program));
}

// A reserve in another holder's record may stand for a grant of an instance that is gone.
bool BudgetLedger::hasOwnReserve(const BudgetAccount &account)
{
    return account.revision == 0 || account.hasCreatedRecord;
}

void BudgetLedger::writeRecord(BudgetAccount &account, BudgetRecord proposed, SwapHandler onResult)
{
    account.isWriting = true;
    const std::string bytes = proposed.encode();
    const auto onSwapped = [this, program = account.program, proposed = std::move(proposed), onResult](const SwapResult &result) {
        if (BudgetAccount *it = findAccount(program)) {
            it->isWriting = false;
            (this->*onResult)(*it, proposed, result);
        }
    };
    m_store.compareAndSwap(account.program, account.revision, bytes, onSwapped);
}

void BudgetLedger::onGrantWritten(BudgetAccount &account, const BudgetRecord &proposed, const SwapResult &result)
{
    if (result.status == SwapResult::Status::Done) {
        account.hasCreatedRecord = account.hasCreatedRecord || account.revision == 0;
        account.adoptRecord(proposed, result.revision);
    } else if (result.status == SwapResult::Status::Conflict) {
        // The stored record wins, also when this holder wrote it by an earlier call whose response was lost.
        const auto current = result.revision == 0 ? std::optional<BudgetRecord>() : BudgetRecord::decode(result.bytes);
        if (result.revision != 0 && !current) {
            logChange("budget-unreadable", "program={} revision={}", account.program.value(), result.revision);
            account.failWaiters({});
            return;
        }
        BudgetRecord none;
        none.budget = account.budget;
        account.adoptStoredRecord(current.value_or(none), result.revision);
        if (const auto holder = reachableHolder(account)) {
            account.failWaiters({BudgetVerdict::HeldElsewhere, *holder, {}});
            return;
        }
        if (m_fencing.fence(account, false)) {
            return;
        }
    } else if (!handleFailedWrite(account, result.status)) {
        return;
    }
    serveWaiters(account);
    m_limits.lower(account);
}

void BudgetLedger::onLimitAnswered(BudgetAccount &account)
{
    if (account.isBusy()) {
        return;
    }
    if (account.waiters.empty()) {
        m_limits.update(account);
        return;
    }
    serveWaiters(account);
    m_limits.lower(account);
}

// The store has not responded, or has refused the write. Returns whether waiters may still be served.
bool BudgetLedger::handleFailedWrite(BudgetAccount &account, SwapResult::Status status)
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
    if (!account.waiters.empty() && tryGrantProvisionally(account, account.waiters.front().maxTokens)) {
        return true;
    }
    if (awaitGrantMark(account)) {
        return false;
    }
    if (++account.consecutiveFailures >= MaxGrantAttempts || isRefused) {
        account.failWaiters({});
        return false;
    }
    return true;
}

void BudgetLedger::onFencesEnded(BudgetAccount &account)
{
    if (m_isReleasing) {
        account.failWaiters({});
        release(account);
    } else {
        serveWaiters(account);
    }
}

void BudgetLedger::recordProvisionalGrants()
{
    if (m_isReleasing || m_checks.isStoreUnreachable()) {
        return;
    }
    std::vector<ProgramId> programs;
    for (const auto &[program, account] : m_accounts) {
        if (account.provisionalGrant.value() > 0 && !account.isBusy()) {
            programs.push_back(program);
        }
    }
    for (const ProgramId &program : programs) {
        requestGrant(m_accounts.at(program));
    }
}

void BudgetLedger::serveWaiters(BudgetAccount &account)
{
    std::vector<BudgetAccount::Waiter> waiting = std::exchange(account.waiters, {});
    std::vector<AnswerHandler> served;
    for (BudgetAccount::Waiter &waiter : waiting) {
        if (account.tryReserve(waiter.maxTokens)) {
            served.push_back(std::move(waiter.onAnswer));
        } else {
            account.waiters.push_back(std::move(waiter));
        }
    }
    if (!account.waiters.empty()) {
        requestTokens(account);
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
void BudgetLedger::handleShortage(BudgetAccount &account)
{
    // Also when this holder has some tokens left, since they aren't enough for a turn.
    const auto holder = account.isForwarded ? std::nullopt : reachableOtherHolder(account);
    if (holder) {
        account.failWaiters({BudgetVerdict::HeldElsewhere, *holder, {}});
    } else if (!m_fencing.fence(account, true)) {
        BudgetAnswer answer = shortageAnswer(account);
        logShortage(account, answer);
        answer.holder = reachableOtherHolder(account).value_or(IncarnationId());
        account.failWaiters(answer);
    }
}

void BudgetLedger::logShortage(const BudgetAccount &account, const BudgetAnswer &answer) const
{
    logChange("budget-short",
              "program={} verdict={} budget={} reserve={} spent={} reserved={} wanted={} holders={}",
              account.program.value(),
              answer.verdict == BudgetVerdict::Exhausted ? "exhausted" : "unconfirmed",
              account.budget.value(),
              account.record.provisionalReserve.value(),
              account.spent.value(),
              account.reserved.value(),
              account.wantedTokens().value(),
              account.record.describeHolders());
}

// A turn is refused for a limited time only, since callers can do nothing about a holder that doesn't come back.
BudgetAnswer BudgetLedger::shortageAnswer(BudgetAccount &account) const
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
bool BudgetLedger::mayChange(const BudgetAccount &account) const
{
    if (account.record.provisionalReserve.value() > 0) {
        return true;
    }
    const std::vector<IncarnationId> holders = account.otherHolders();
    return std::any_of(holders.begin(), holders.end(), [&](const IncarnationId &holder) {
        const auto witness = account.record.witnesses.find(holder);
        const bool mayBeFenced = witness != account.record.witnesses.end() && m_checks.mayBeAlive(witness->second.incarnation);
        return mayBeFenced || m_checks.mayBeAlive(holder);
    });
}

// A program's home changes when instances join and leave, but its budget stays with the holder that it was granted to
// while that one is reachable.
std::optional<IncarnationId> BudgetLedger::reachableHolder(const BudgetAccount &account) const
{
    const bool isHolder = account.grantedTokens() > account.committedTokens() && !account.isClosed();
    return account.isForwarded || isHolder ? std::nullopt : reachableOtherHolder(account);
}

std::optional<IncarnationId> BudgetLedger::reachableOtherHolder(const BudgetAccount &account) const
{
    std::optional<IncarnationId> best;
    for (const IncarnationId &holder : account.otherHolders()) {
        const bool isBetter = !best || account.record.grantOf(holder) > account.record.grantOf(*best);
        if (isBetter && m_checks.isReachable(holder)) {
            best = holder;
        }
    }
    return best;
}

void BudgetLedger::beginRelease(Instant now)
{
    m_isReleasing = true;
    for (auto &[program, account] : m_accounts) {
        if (now - account.lastUsedAt < MaxIdleForRelease || account.provisionalGrant.value() > 0) {
            release(account);
        }
    }
}

void BudgetLedger::release(BudgetAccount &account)
{
    const Tokens needed = account.committedTokens();
    if (account.isBusy() || (account.grantedTokens() <= needed && account.provisionalGrant.value() == 0)) {
        return;
    }
    BudgetRecord proposed = account.record;
    proposed.granted[m_self] = needed;
    proposed.witnesses.erase(m_self);
    proposed.closed.insert(m_self);
    if (mayDropProvisionalReserve(account)) {
        proposed.provisionalReserve = Tokens(0);
    }
    writeRecord(account, std::move(proposed), &BudgetLedger::onReleaseWritten);
}

void BudgetLedger::onReleaseWritten(BudgetAccount &account, const BudgetRecord &proposed, const SwapResult &result)
{
    if (result.status == SwapResult::Status::Done) {
        account.adoptRecord(proposed, result.revision);
        release(account);
        return;
    }
    const auto current = result.status == SwapResult::Status::Conflict ? BudgetRecord::decode(result.bytes) : std::nullopt;
    if (current) {
        account.adoptStoredRecord(*current, result.revision);
        release(account);
        return;
    }
    logChange("budget-not-released", "program={} tokens={}", account.program.value(), (account.grantedTokens() - account.spent).value());
}

void BudgetLedger::settle(const ProgramId &program, Tokens reserved, Tokens used, Instant now)
{
    BudgetAccount *settled = findAccount(program);
    if (!settled) {
        return;
    }
    BudgetAccount &account = *settled;
    account.reserved = account.reserved - reserved;
    account.spent = account.spent + std::min(used, reserved);
    account.lastUsedAt = now;
    if (m_isReleasing) {
        release(account);
    } else if (m_limits.lacksWitness(account)) {
        requestGrant(account);
    } else {
        m_limits.update(account);
    }
}

void BudgetLedger::removeIdle(Milliseconds idle, Instant now)
{
    std::vector<BudgetRevision> removed;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        const BudgetAccount &account = it->second;
        if (now - account.lastUsedAt <= idle || account.reserved.value() > 0 || !account.waiters.empty() || account.isBusy()) {
            ++it;
            continue;
        }
        if (!account.otherHolders().empty()) {
            resign(account);
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
void BudgetLedger::resign(const BudgetAccount &account)
{
    if (account.recordedGrant() <= account.spent) {
        return;
    }
    BudgetRecord proposed = account.record;
    proposed.granted[m_self] = account.spent;
    proposed.witnesses.erase(m_self);
    proposed.closed.insert(m_self);
    m_store.compareAndSwap(account.program, account.revision, proposed.encode(), [](const SwapResult &) {});
}

std::size_t BudgetLedger::programCount() const
{
    return m_accounts.size();
}

} // namespace flamingo

#include "serving/budgetledger.h"

#include "core/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

/// Part of what is left of a budget that a holder takes at once: enough for most programs, with as much for the next
/// holder if this one dies.
constexpr std::int64_t GrantDivisor = 2;
/// Tries of one grant before its turns are refused for now.
constexpr int MaxTries = 3;
/// Programs without a turn for this long have most likely ended, so there is nobody to give their budget back to.
constexpr Milliseconds ReleaseRecent{15000};
/// Part of a budget that is lent in an outage. Most programs use less than a third.
constexpr std::int64_t LentDivisor = 2;

Tokens loan(Tokens budget, Tokens most)
{
    return std::min(budget, std::max(most, Tokens(budget.value() / LentDivisor)));
}
} // namespace

Tokens BudgetRecord::remaining() const
{
    Tokens rest = budget - reserve;
    for (const auto &[holder, tokens] : granted) {
        rest = rest - tokens;
    }
    return rest;
}

std::string BudgetRecord::encode() const
{
    Json json = {{"budget", budget}, {"granted", Json::object()}, {"reserve", reserve}};
    for (const auto &[holder, tokens] : granted) {
        json["granted"][holder.value()] = tokens;
    }
    return json.dump();
}

std::optional<BudgetRecord> BudgetRecord::decode(const std::string &bytes)
{
    const Json json = Json::parse(bytes, nullptr, false);
    if (!json.is_object() || !json.contains("budget") || !json.contains("granted")) {
        return std::nullopt;
    }
    BudgetRecord record;
    record.budget = json["budget"].get<Tokens>();
    record.reserve = json.value("reserve", Tokens(0));
    for (const auto &[holder, tokens] : json["granted"].items()) {
        record.granted[HolderId(holder)] = tokens.get<Tokens>();
    }
    return record;
}

BudgetLedger::BudgetLedger(HolderId self, BudgetStore &store, Checks checks)
    : m_self(std::move(self))
    , m_store(store)
    , m_checks(std::move(checks))
{
}

// A grant whose answer was lost and a loan may be about the same tokens, so they don't add up.
Tokens BudgetLedger::held(const Account &account) const
{
    const auto it = account.record.granted.find(m_self);
    return std::max(account.lent, it == account.record.granted.end() ? Tokens(0) : it->second);
}

// What the store has to show for this holder at least: its grant, or what turns have used of a loan.
Tokens BudgetLedger::ownShare(const Account &account) const
{
    const auto it = account.record.granted.find(m_self);
    const Tokens granted = it == account.record.granted.end() ? Tokens(0) : it->second;
    return account.loan.value() > 0 ? std::max(granted, account.spent + account.reserved) : granted;
}

// Only for a program of which this holder knows no record: what it knows to be granted elsewhere isn't lent again.
bool BudgetLedger::tryLend(const ProgramId &program, Account &account, Tokens most) const
{
    const bool isUnknown = account.revision == 0 && account.record.granted.empty() && account.loan.value() == 0;
    if (!isUnknown || !m_checks.mayLend(program)) {
        return false;
    }
    account.loan = loan(account.budget, most);
    account.lent = account.loan;
    logChange("budget-lent", "program={} tokens={} budget={}", program.value(), account.lent.value(), account.budget.value());
    return true;
}

bool BudgetLedger::tryReserve(Account &account, Tokens most) const
{
    if (account.spent + account.reserved + most > held(account)) {
        return false;
    }
    account.reserved = account.reserved + most;
    return true;
}

void BudgetLedger::reserve(const TurnRequest &turn, Instant now, AnswerHandler onAnswer)
{
    if (m_isReleasing) {
        onAnswer({});
        return;
    }
    const auto [it, isNew] = m_accounts.try_emplace(turn.program);
    Account &account = it->second;
    const ProgramId &program = turn.program;
    account.isOwnFromStart = isNew ? m_checks.isSoleLender(program) : account.isOwnFromStart;
    const Tokens most = turn.most;
    if (account.revision == 0 && account.record.granted.empty()) {
        account.budget = turn.budget;
        account.record.budget = turn.budget;
    }
    account.usedAt = now;
    if (tryReserve(account, most)) {
        onAnswer({BudgetVerdict::Reserved, {}});
        return;
    }
    account.isReferred = turn.isReferred;
    const auto holder = liveHolder(account);
    if (holder) {
        onAnswer({BudgetVerdict::Elsewhere, *holder});
        return;
    }
    if (m_checks.isStoreAway() && tryLend(program, account, most) && tryReserve(account, most)) {
        onAnswer({BudgetVerdict::Reserved, {}});
        return;
    }
    account.waiters.push_back({most, std::move(onAnswer)});
    if (!account.isAsking) {
        account.failuresInRow = 0;
        ask(program, account);
    }
}

void BudgetLedger::ask(const ProgramId &program, Account &account)
{
    Tokens wanted(0);
    for (const Waiter &waiter : account.waiters) {
        wanted = wanted + waiter.most;
    }
    const Tokens own = ownShare(account);
    BudgetRecord proposed = account.record;
    proposed.granted[m_self] = own;
    if (isReserveNeedless(program, account)) {
        proposed.reserve = Tokens(0);
    } else if (account.revision == 0) {
        const Tokens most = account.waiters.empty() ? Tokens(0) : account.waiters.front().most;
        proposed.reserve = loan(account.budget, most) - most;
    }
    const Tokens remaining = proposed.remaining();
    // What this holder has left unreserved helps to cover what is wanted.
    const Tokens unused = own - account.spent - account.reserved;
    if (!account.waiters.empty() && remaining < account.waiters.front().most - unused) {
        failWaiters(account, {verdictWithoutRoom(account), {}});
        return;
    }
    const Tokens part(remaining.value() / GrantDivisor);
    const Tokens grant = std::max(Tokens(0), std::min(remaining, std::max(wanted - unused, part)));
    proposed.granted[m_self] = own + grant;
    // From here on others may be granted what the store isn't told of.
    account.lent = std::min(account.lent, own + grant);
    swap(program, account, std::move(proposed), &BudgetLedger::onSwapped);
}

bool BudgetLedger::isReserveNeedless(const ProgramId &program, const Account &account) const
{
    return account.isOwnFromStart && m_checks.isSoleLender(program);
}

void BudgetLedger::swap(const ProgramId &program, Account &account, BudgetRecord proposed, SwapHandler onResult)
{
    account.isAsking = true;
    const std::string bytes = proposed.encode();
    m_store.swap(program, account.revision, bytes, [this, program, proposed = std::move(proposed), onResult](const SwapResult &result) {
        const auto it = m_accounts.find(program);
        if (it != m_accounts.end()) {
            it->second.isAsking = false;
            (this->*onResult)(program, it->second, proposed, result);
        }
    });
}

void BudgetLedger::onSwapped(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result)
{
    if (result.status == SwapResult::Status::Done) {
        adopt(account, proposed, result.revision);
    } else if (result.status == SwapResult::Status::Conflict) {
        // What stands there is the truth, also when it is this holder's own earlier call whose answer was lost.
        const auto present = result.revision == 0 ? std::optional<BudgetRecord>() : BudgetRecord::decode(result.bytes);
        if (result.revision != 0 && !present) {
            logChange("budget-unreadable", "program={} revision={}", program.value(), result.revision);
            failWaiters(account, {});
            return;
        }
        const Tokens budget = account.budget;
        account.record = present.value_or(BudgetRecord{budget, {}, Tokens(0)});
        account.revision = result.revision;
        if (const auto holder = liveHolder(account)) {
            failWaiters(account, {BudgetVerdict::Elsewhere, *holder});
            return;
        }
    } else if (!serveUntold(program, account, result.status)) {
        return;
    }
    serveWaiters(program);
}

// The store has not answered, or has refused. Returns whether waiters may go on.
bool BudgetLedger::serveUntold(const ProgramId &program, Account &account, SwapResult::Status status)
{
    const bool isRefused = status == SwapResult::Status::Refused;
    if (isRefused) {
        account.lent = account.loan;
    }
    if (!account.waiters.empty() && tryLend(program, account, account.waiters.front().most)) {
        return true;
    }
    if (++account.failuresInRow >= MaxTries || isRefused) {
        failWaiters(account, {});
        return false;
    }
    return true;
}

// Turns may have begun on a loan while the store was being told.
void BudgetLedger::adopt(Account &account, const BudgetRecord &proposed, std::uint64_t revision) const
{
    account.record = proposed;
    account.revision = revision;
    if (account.spent + account.reserved <= account.record.granted[m_self]) {
        account.lent = Tokens(0);
        account.loan = Tokens(0);
    }
}

void BudgetLedger::registerLoans()
{
    if (m_isReleasing || m_checks.isStoreAway()) {
        return;
    }
    std::vector<ProgramId> programs;
    for (const auto &[program, account] : m_accounts) {
        if (account.loan.value() > 0 && !account.isAsking) {
            programs.push_back(program);
        }
    }
    for (const ProgramId &program : programs) {
        ask(program, m_accounts.at(program));
    }
}

void BudgetLedger::serveWaiters(const ProgramId &program)
{
    Account &account = m_accounts.at(program);
    std::vector<Waiter> waiting = std::exchange(account.waiters, {});
    std::vector<AnswerHandler> served;
    for (Waiter &waiter : waiting) {
        if (tryReserve(account, waiter.most)) {
            served.push_back(std::move(waiter.onAnswer));
        } else {
            account.waiters.push_back(std::move(waiter));
        }
    }
    if (!account.waiters.empty()) {
        ask(program, account);
    }
    for (const AnswerHandler &onAnswer : served) {
        onAnswer({BudgetVerdict::Reserved, {}});
    }
}

bool BudgetLedger::hasLoans() const
{
    return std::any_of(m_accounts.begin(), m_accounts.end(), [](const auto &it) { return it.second.loan.value() > 0; });
}

BudgetVerdict BudgetLedger::verdictWithoutRoom(const Account &account) const
{
    const bool othersHold =
        account.record.reserve.value() > 0 || std::any_of(account.record.granted.begin(), account.record.granted.end(), [this](const auto &it) {
            return it.first != m_self && it.second.value() > 0;
        });
    return othersHold ? BudgetVerdict::Unsure : BudgetVerdict::Spent;
}

void BudgetLedger::failWaiters(Account &account, const BudgetAnswer &answer)
{
    const std::vector<Waiter> waiting = std::exchange(account.waiters, {});
    for (const Waiter &waiter : waiting) {
        waiter.onAnswer(answer);
    }
}

// Homes change when instances come and go, but a budget stays where it was granted as long as its holder lives.
std::optional<HolderId> BudgetLedger::liveHolder(const Account &account) const
{
    if (account.isReferred || held(account).value() > 0) {
        return std::nullopt;
    }
    std::optional<HolderId> best;
    Tokens most(0);
    for (const auto &[holder, tokens] : account.record.granted) {
        if (holder != m_self && tokens > most && m_checks.isLive(holder)) {
            best = holder;
            most = tokens;
        }
    }
    return best;
}

void BudgetLedger::beginRelease(Instant now)
{
    m_isReleasing = true;
    for (auto &[program, account] : m_accounts) {
        if (now - account.usedAt < ReleaseRecent || account.loan.value() > 0) {
            release(program, account);
        }
    }
}

void BudgetLedger::release(const ProgramId &program, Account &account)
{
    const Tokens needed = account.spent + account.reserved;
    if (account.isAsking || (held(account) <= needed && account.loan.value() == 0)) {
        return;
    }
    BudgetRecord proposed = account.record;
    proposed.granted[m_self] = needed;
    if (isReserveNeedless(program, account)) {
        proposed.reserve = Tokens(0);
    }
    swap(program, account, std::move(proposed), &BudgetLedger::onReleased);
}

void BudgetLedger::onReleased(const ProgramId &program, Account &account, const BudgetRecord &proposed, const SwapResult &result)
{
    if (result.status == SwapResult::Status::Done) {
        adopt(account, proposed, result.revision);
        release(program, account);
        return;
    }
    const auto present = result.status == SwapResult::Status::Conflict ? BudgetRecord::decode(result.bytes) : std::nullopt;
    if (present) {
        account.record = *present;
        account.revision = result.revision;
        release(program, account);
        return;
    }
    logChange("budget-not-released", "program={} tokens={}", program.value(), (held(account) - account.spent).value());
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
    account.usedAt = now;
    if (m_isReleasing) {
        release(program, account);
    }
}

void BudgetLedger::forgetIdle(Milliseconds idle, Instant now)
{
    std::vector<ProgramId> gone;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        const Account &account = it->second;
        if (now - account.usedAt > idle && account.reserved.value() == 0 && account.waiters.empty() && !account.isAsking) {
            gone.push_back(it->first);
            it = m_accounts.erase(it);
        } else {
            ++it;
        }
    }
    if (!gone.empty()) {
        m_store.remove(gone);
    }
}

std::size_t BudgetLedger::programs() const
{
    return m_accounts.size();
}

} // namespace flamingo

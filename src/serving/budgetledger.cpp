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

/// Part of what is left of a budget that a holder takes at once: enough for nearly every program, with a rest for the
/// next holder if this one dies.
constexpr std::int64_t GrantNumerator = 2;
constexpr std::int64_t GrantDenominator = 3;
/// Tries of one grant before its turns are refused for now.
constexpr int MaxTries = 3;
/// Programs without a turn for this long have most likely ended, so there is nobody to give their budget back to.
constexpr Milliseconds ReleaseRecent{15000};
} // namespace

Tokens BudgetRecord::remaining() const
{
    Tokens rest = budget;
    for (const auto &[holder, tokens] : granted) {
        rest = rest - tokens;
    }
    return rest;
}

std::string BudgetRecord::encode() const
{
    Json json = {{"budget", budget}, {"granted", Json::object()}};
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
    for (const auto &[holder, tokens] : json["granted"].items()) {
        record.granted[HolderId(holder)] = tokens.get<Tokens>();
    }
    return record;
}

BudgetLedger::BudgetLedger(HolderId self, BudgetStore &store, LivenessCheck isLive)
    : m_self(std::move(self))
    , m_store(store)
    , m_isLive(std::move(isLive))
{
}

Tokens BudgetLedger::held(const Account &account) const
{
    const auto it = account.record.granted.find(m_self);
    return it == account.record.granted.end() ? Tokens(0) : it->second;
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
    Account &account = m_accounts[turn.program];
    const ProgramId &program = turn.program;
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
    const Tokens remaining = account.record.remaining();
    // What this holder has left unreserved helps to cover what is wanted.
    const Tokens unused = held(account) - account.spent - account.reserved;
    const Tokens least = account.waiters.front().most - unused;
    if (remaining < least) {
        failWaiters(account, {verdictWithoutRoom(account), {}});
        return;
    }
    const Tokens part(remaining.value() * GrantNumerator / GrantDenominator);
    const Tokens grant = std::min(remaining, std::max(wanted - unused, part));
    BudgetRecord proposed = account.record;
    proposed.granted[m_self] = held(account) + grant;
    account.isAsking = true;
    m_store.swap(program, account.revision, proposed.encode(), [this, program, proposed](const SwapResult &result) { onSwapped(program, proposed, result); });
}

void BudgetLedger::onSwapped(const ProgramId &program, const BudgetRecord &proposed, const SwapResult &result)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end()) {
        return;
    }
    Account &account = it->second;
    account.isAsking = false;
    if (result.status == SwapResult::Status::Done) {
        account.record = proposed;
        account.revision = result.revision;
    } else if (result.status == SwapResult::Status::Conflict) {
        // What stands there is the truth, also when it is this holder's own earlier call whose answer was lost.
        const auto present = result.revision == 0 ? std::optional<BudgetRecord>() : BudgetRecord::decode(result.bytes);
        if (result.revision != 0 && !present) {
            logChange("budget-unreadable", "program={} revision={}", program.value(), result.revision);
            failWaiters(account, {});
            return;
        }
        const Tokens budget = account.budget;
        account.record = present.value_or(BudgetRecord{budget, {}});
        account.revision = result.revision;
        if (const auto holder = liveHolder(account)) {
            failWaiters(account, {BudgetVerdict::Elsewhere, *holder});
            return;
        }
    } else if (++account.failuresInRow >= MaxTries || result.status == SwapResult::Status::Refused) {
        failWaiters(account, {});
        return;
    }
    serveWaiters(program);
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

BudgetVerdict BudgetLedger::verdictWithoutRoom(const Account &account) const
{
    const bool othersHold = std::any_of(
        account.record.granted.begin(), account.record.granted.end(), [this](const auto &it) { return it.first != m_self && it.second.value() > 0; });
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
        if (holder != m_self && tokens > most && m_isLive(holder)) {
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
        if (now - account.usedAt < ReleaseRecent) {
            release(program, account);
        }
    }
}

void BudgetLedger::release(const ProgramId &program, Account &account)
{
    const Tokens needed = account.spent + account.reserved;
    if (account.isAsking || held(account) <= needed) {
        return;
    }
    BudgetRecord proposed = account.record;
    proposed.granted[m_self] = needed;
    account.isAsking = true;
    m_store.swap(program, account.revision, proposed.encode(), [this, program, proposed](const SwapResult &result) { onReleased(program, proposed, result); });
}

void BudgetLedger::onReleased(const ProgramId &program, const BudgetRecord &proposed, const SwapResult &result)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end()) {
        return;
    }
    Account &account = it->second;
    account.isAsking = false;
    if (result.status == SwapResult::Status::Done) {
        account.record = proposed;
        account.revision = result.revision;
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

#include "serving/witnessedlimits.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
/// Witnesses that are tried one after the other while a turn waits. Then the holder goes on without one.
constexpr int MaxLostWitnesses = 2;
} // namespace

WitnessedLimits::WitnessedLimits(WitnessNetwork *network, Hooks hooks)
    : m_network(network)
    , m_hooks(std::move(hooks))
{
}

bool WitnessedLimits::canRaiseTo(const BudgetAccount &account, Tokens needed) const
{
    return mayRaise(account) && account.lostWitnesses <= MaxLostWitnesses && needed <= account.recordedGrant();
}

// Another witness can't be named while the store is unreachable, so one that didn't respond is asked again.
bool WitnessedLimits::mayRaise(const BudgetAccount &account) const
{
    if (!account.witness || account.witness->isRefused || account.unconfirmedLimit) {
        return false;
    }
    return !account.witness->isLost || m_hooks.isStoreUnreachable();
}

void WitnessedLimits::raise(BudgetAccount &account)
{
    if (!account.witness->isSending) {
        send(account, *account.witness, limitInOutage(account, account.committedTokens() + account.wantedTokens()));
    }
}

// The first limit of a new witness covers all that turns may use until the store's response.
void WitnessedLimits::chooseWitness(BudgetAccount &account)
{
    if (!m_network) {
        return;
    }
    const Tokens needed = account.committedTokens() + account.wantedTokens();
    Tokens limit = std::max(needed, account.usableTokens());
    if (account.witness && !account.witness->isLost) {
        if (needed > account.witness->noted && !account.witness->isSending) {
            send(account, *account.witness, std::max(needed, account.provisionalLimit));
        }
        return;
    }
    if (account.revision == 0 && account.provisionalGrant.value() == 0 && m_hooks.mayGrantProvisionally(account.program)) {
        limit = std::max(limit, account.provisionalGrantFor(account.wantedTokens()));
    }
    if (account.nextWitness && !account.nextWitness->isLost && limit <= account.nextWitness->lastSent) {
        return; // The last write had no response, and names this one already.
    }
    account.nextWitness.reset();
    const auto witness = account.lostWitnesses <= MaxLostWitnesses ? m_network->choose(account.program) : std::nullopt;
    if (witness) {
        m_lastTerm = WitnessTerm(m_lastTerm.value() + 1);
        account.nextWitness = WitnessedLimit{{*witness, m_lastTerm}, Tokens(0), Tokens(0)};
        send(account, *account.nextWitness, limit);
    }
}

// There was no other instance when the grant was made, as at the start of a deployment, and now there is one.
bool WitnessedLimits::lacksWitness(const BudgetAccount &account) const
{
    const bool isUnwitnessed = m_network && !account.witness && !account.nextWitness && account.lostWitnesses == 0;
    const bool hasGrant = account.recordedGrant() > account.committedTokens() && !account.isClosed();
    return isUnwitnessed && hasGrant && !account.isBusy() && !m_hooks.isStoreUnreachable() && m_network->choose(account.program);
}

void WitnessedLimits::update(BudgetAccount &account)
{
    if (!mayRaise(account) || account.witness->isSending || account.nextWitness || account.isBusy()) {
        return;
    }
    const Tokens limit = expectedLimit(account);
    if (limit != account.witness->lastSent) {
        send(account, *account.witness, limit);
    }
}

void WitnessedLimits::lower(BudgetAccount &account)
{
    if (account.witness && expectedLimit(account) < account.witness->lastSent) {
        update(account);
    }
}

// While the store is unreachable no other witness can be named, so the whole grant is made usable: turns then don't depend on the
// witness until the store is back.
Tokens WitnessedLimits::limitInOutage(const BudgetAccount &account, Tokens limit) const
{
    return m_hooks.isStoreUnreachable() ? std::max(limit, account.recordedGrant()) : limit;
}

Tokens WitnessedLimits::expectedLimit(const BudgetAccount &account) const
{
    const Tokens committed = account.committedTokens();
    const Tokens expected = std::min(committed + account.lastTurnMaximum, account.recordedGrant());
    return limitInOutage(account, std::max(std::max(expected, committed), account.provisionalLimit));
}

void WitnessedLimits::send(BudgetAccount &account, WitnessedLimit &witnessed, Tokens limit)
{
    const bool isFirst = witnessed.sequence == 0;
    // Turns needn't wait for the first limit of a term: as long as the witness hasn't noted it, the whole grant counts as spent.
    witnessed.noted = isFirst ? limit : std::min(witnessed.noted, limit);
    witnessed.lastSent = limit;
    witnessed.isSending = true;
    SpendLimit spendLimit;
    spendLimit.program = account.program;
    spendLimit.holder = account.self();
    spendLimit.term = witnessed.witness.term;
    spendLimit.sequence = ++witnessed.sequence;
    spendLimit.isFirst = isFirst;
    spendLimit.limit = limit;
    const Tokens promised = account.committedTokens() + account.wantedTokens();
    spendLimit.unreserved = std::max(Tokens(0), std::min(limit - promised, account.lastTurnMaximum));
    const IncarnationId witness = witnessed.witness.incarnation;
    m_network->note(
        witness, spendLimit, [this, program = account.program, term = spendLimit.term, limit](NoteResult result) { onNoted(program, term, limit, result); });
}

void WitnessedLimits::onNoted(const ProgramId &program, WitnessTerm term, Tokens limit, NoteResult result)
{
    BudgetAccount *account = m_hooks.findAccount(program);
    const auto isAtTerm = [term](const std::optional<WitnessedLimit> &witnessed) { return witnessed && witnessed->witness.term == term; };
    if (!account || (!isAtTerm(account->witness) && !isAtTerm(account->nextWitness))) {
        return;
    }
    WitnessedLimit &witnessed = isAtTerm(account->witness) ? *account->witness : *account->nextWitness;
    witnessed.isSending = false;
    if (result == NoteResult::Noted) {
        witnessed.noted = limit;
        witnessed.isLost = false;
    } else {
        witnessed.isLost = true;
        witnessed.isRefused = witnessed.isRefused || result == NoteResult::Refused;
        ++account->lostWitnesses;
    }
    m_hooks.onAnswered(*account);
}

} // namespace flamingo

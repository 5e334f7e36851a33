#include "instance/turnreservation.h"

#include "core/log.h"

#include <utility>

namespace flamingo
{

namespace
{
constexpr int StatusPaymentRequired = 402;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
constexpr Milliseconds StoreRetryAfter{500};

bool hasBudget(const RequestMetadata &metadata)
{
    return metadata.tokenBudget && metadata.program && metadata.maxOutputTokens;
}

tl::unexpected<Refusal> refusal(int status, const char *reason, std::optional<Milliseconds> retryAfter = std::nullopt)
{
    return tl::make_unexpected(Refusal{status, reason, retryAfter});
}
} // namespace

TurnReservation::TurnReservation(HomeClient &homeClient)
    : m_homeClient(homeClient)
{
}

void TurnReservation::setCachedPrefix(CachedPrefix prefix)
{
    m_cachedPrefix = std::move(prefix);
}

const std::optional<CachedPrefix> &TurnReservation::cachedPrefix() const
{
    return m_cachedPrefix;
}

bool TurnReservation::isNeeded(const RequestMetadata &metadata, bool isStateful)
{
    return hasBudget(metadata) || (isStateful && metadata.previousTurn);
}

void TurnReservation::begin(const AdmittedRequest &admitted, const RequestMetadata &metadata, std::function<void(tl::expected<TurnChain, Refusal>)> onReserved)
{
    m_program = admitted.program;
    m_session = metadata.session;
    BeginTurnRequest request;
    request.program = admitted.program;
    request.session = metadata.session;
    request.workspace = workspaceId(admitted);
    if (hasBudget(metadata)) {
        request.budget = metadata.tokenBudget;
        request.maxTokens = *metadata.maxOutputTokens;
    }
    if (admitted.route.isStateful) {
        request.previousTurn = metadata.previousTurn;
    }
    m_reservedTokens = request.maxTokens;
    m_homeClient.beginTurn(
        request, [this, metadata, onReserved = std::move(onReserved)](BeginTurnResponse response) { onReserved(evaluate(metadata, std::move(response))); });
}

tl::expected<TurnChain, Refusal> TurnReservation::evaluate(const RequestMetadata &metadata, BeginTurnResponse response)
{
    m_cachedPrefix = response.cachedPrefix;
    if (response.verdict == BudgetVerdict::Reserved) {
        m_home = response.home;
    }
    if (response.verdict == BudgetVerdict::Exhausted) {
        return refusal(StatusPaymentRequired, "budget-spent");
    }
    if (response.verdict != BudgetVerdict::Reserved) {
        return refusal(StatusUnavailable, "budget-unsure", response.retryAfter.count() > 0 ? response.retryAfter : StoreRetryAfter);
    }
    if (response.history.status == TurnLookup::Status::Absent) {
        logChange("turn-unknown", "id={} previous={} home={}", metadata.id.value(), metadata.previousTurn->value(), response.home.value());
        return refusal(StatusNotFound, "no-such-turn");
    }
    if (response.history.status == TurnLookup::Status::Unknown) {
        return refusal(StatusUnavailable, "history-unsure", StoreRetryAfter);
    }
    return std::move(response.history);
}

void TurnReservation::end(Tokens usedTokens, TurnRecordPtr turnRecord)
{
    if (m_home) {
        m_homeClient.endTurn(*m_home, {m_program, m_session, m_reservedTokens, usedTokens, m_cachedPrefix, std::move(turnRecord)});
        m_home.reset();
    }
}

} // namespace flamingo

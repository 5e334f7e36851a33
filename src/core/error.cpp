#include "core/error.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

const std::vector<ErrorInfo> &errorTable()
{
    using K = ErrorKind;
    using R = RunState;
    using A = RetryAdvice;
    static const std::vector<ErrorInfo> table = {
        {K::MalformedRequest, "malformed-request", 400, 10, R::NotRun, A::Useless},
        {K::RequestTooLarge, "request-too-large", 413, 11, R::NotRun, A::Useless},
        {K::Unauthenticated, "unauthenticated", 401, 12, R::NotRun, A::Useless},
        {K::NotFound, "not-found", 404, 13, R::NotRun, A::Useless},
        {K::UnknownProgram, "unknown-program", 404, 14, R::NotRun, A::Useless},
        {K::UnknownAgent, "unknown-agent", 404, 15, R::NotRun, A::Useless},
        {K::UnknownPool, "unknown-pool", 404, 16, R::NotRun, A::Useless},
        {K::CallOutOfOrder, "call-out-of-order", 409, 17, R::NotRun, A::Useless},
        {K::CallConflict, "call-conflict", 409, 18, R::NotRun, A::Useless},
        {K::ProgramEnded, "program-ended", 410, 19, R::NotRun, A::Useless},
        {K::BudgetExhausted, "budget-exhausted", 402, 20, R::NotRun, A::Useless},
        {K::BudgetUnconfirmed, "budget-unconfirmed", 503, 21, R::NotRun, A::Helps},
        {K::TurnLimitReached, "turn-limit-reached", 422, 22, R::NotRun, A::Useless},
        {K::ProgramTimeLimit, "program-time-limit", 422, 23, R::NotRun, A::Useless},
        {K::Overloaded, "overloaded", 429, 24, R::NotRun, A::Helps},
        {K::DeadlineUnreachable, "deadline-unreachable", 503, 25, R::NotRun, A::Helps},
        {K::NoEndpoint, "no-endpoint", 503, 26, R::NotRun, A::Helps},
        {K::ShuttingDown, "shutting-down", 503, 27, R::NotRun, A::Helps},
        {K::NotReady, "not-ready", 503, 40, R::NotRun, A::Helps},
        {K::StoreUnavailable, "store-unavailable", 503, 28, R::NotRun, A::Helps},
        {K::NotOwner, "not-owner", 503, 29, R::NotRun, A::Helps},
        {K::OwnerUnreachable, "owner-unreachable", 503, 30, R::NotRun, A::Helps},
        {K::OwnerUnreachableOnRetry, "owner-unreachable-on-retry", 504, 31, R::MayHaveRun, A::Helps},
        {K::OwnershipLost, "ownership-lost", 503, 32, R::MayHaveRun, A::Helps},
        {K::OutcomeUnknown, "outcome-unknown", 504, 33, R::MayHaveRun, A::Useless},
        {K::EndpointFailed, "endpoint-failed", 502, 34, R::MayHaveRun, A::Helps},
        {K::EndpointRejected, "endpoint-rejected", 502, 35, R::Ran, A::Useless},
        {K::TicketSuperseded, "ticket-superseded", 409, 36, R::NotRun, A::Useless},
        {K::TicketMalformed, "ticket-malformed", 422, 37, R::NotRun, A::Useless},
        {K::TicketUnknownObject, "ticket-unknown-object", 422, 38, R::NotRun, A::Useless},
        {K::TicketUndecided, "ticket-undecided", 504, 39, R::MayHaveRun, A::Helps},
    };
    return table;
}

const ErrorInfo &errorInfo(ErrorKind kind)
{
    return errorTable().at(static_cast<std::size_t>(kind));
}

std::optional<ErrorKind> errorKindFromName(const std::string &name)
{
    const auto &table = errorTable();
    const auto it = std::find_if(table.begin(), table.end(), [&](const ErrorInfo &info) { return name == info.name; });
    if (it == table.end()) {
        return std::nullopt;
    }
    return it->kind;
}

const char *runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::MayHaveRun:
        return "may-have-run";
    case RunState::Ran:
        return "ran";
    }
    return "may-have-run";
}

tl::unexpected<Error> failure(ErrorKind kind, std::string detail)
{
    return tl::make_unexpected(Error{kind, std::move(detail), std::nullopt});
}

} // namespace flamingo

#pragma once

#include "core/time.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Every kind of error that a process reports to others. The table in error.cpp has one row per kind, in this order.
enum class ErrorKind {
    MalformedRequest,
    RequestTooLarge,
    Unauthenticated,
    NotFound,
    UnknownProgram,
    UnknownAgent,
    UnknownPool,
    CallOutOfOrder,
    CallConflict,
    ProgramEnded,
    BudgetExhausted,
    BudgetUnconfirmed,
    TurnLimitReached,
    ProgramTimeLimit,
    Overloaded,
    DeadlineUnreachable,
    NoEndpoint,
    ShuttingDown,
    NotReady,
    StoreUnavailable,
    NotOwner,
    OwnerUnreachable,
    OwnerUnreachableOnRetry,
    OwnershipLost,
    OutcomeUnknown,
    EndpointFailed,
    EndpointRejected,
    TicketSuperseded,
    TicketMalformed,
    TicketUnknownObject,
    TicketUndecided,
};

/// Whether the request that failed was executed.
enum class RunState { NotRun, MayHaveRun, Ran };

/// Whether sending the same request again can succeed.
enum class RetryAdvice { Useless, Helps };

/// How an error kind is reported.
struct ErrorInfo {
    ErrorKind kind;
    const char *name; ///< Name in responses, logs and counters.
    int httpStatus;
    int exitCode; ///< Exit code of flamingoctl.
    RunState runState;
    RetryAdvice retry;
};

/// An error that is reported to a caller or an operator.
struct Error {
    ErrorKind kind;
    std::string detail;
    std::optional<Milliseconds> retryAfter; ///< Suggested delay before a retry, if one is known.
};

template<typename T>
using Result = tl::expected<T, Error>;

/// Returns the row of a kind.
const ErrorInfo &errorInfo(ErrorKind kind);

/// Returns all rows, in the order of ErrorKind.
const std::vector<ErrorInfo> &errorTable();

/// Returns the kind with this name, or nothing if there is none.
std::optional<ErrorKind> errorKindFromName(const std::string &name);

/// Returns "not-run", "may-have-run" or "ran".
const char *runStateName(RunState state);

/// Returns an error without a retry delay, to be returned as a Result.
tl::unexpected<Error> failure(ErrorKind kind, std::string detail);

} // namespace flamingo

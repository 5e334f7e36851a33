#pragma once

#include "core/time.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Every error that leaves a process. The table in error.cpp gives each its answer.
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

/// What is known about the request that got the error.
enum class RunState { NotRun, MayHaveRun, Ran };

/// Whether sending the same request again can succeed.
enum class RetryAdvice { Useless, Helps };

/// One row of the table from kind to answer.
struct ErrorInfo {
    ErrorKind kind;
    const char *name; ///< Name in answers, logs and counters.
    int httpStatus;
    int exitCode; ///< Exit code of flamingoctl.
    RunState runState;
    RetryAdvice retry;
};

/// An error on its way to a caller or an operator.
struct Error {
    ErrorKind kind;
    std::string detail;
    std::optional<Milliseconds> retryAfter;
};

template<typename T>
using Result = tl::expected<T, Error>;

/// The row for a kind.
const ErrorInfo &errorInfo(ErrorKind kind);

/// All rows, in the order of the enumeration.
const std::vector<ErrorInfo> &errorTable();

/// The kind with this name, if there is one.
std::optional<ErrorKind> errorKindFromName(const std::string &name);

/// "not-run", "may-have-run" or "ran".
const char *runStateName(RunState state);

/// Shorthand for an unexpected Error.
tl::unexpected<Error> failure(ErrorKind kind, std::string detail);

} // namespace flamingo

#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/incarnationid.h"

namespace flamingo
{

/// A turn that needs tokens reserved before it runs.
struct BudgetRequest {
    ProgramId program;
    Tokens budget; ///< Of the whole program.
    Tokens maxTokens; ///< The most that the turn can generate.
    bool isForwarded = false; ///< Another instance forwarded it here, so it isn't forwarded again.
};

enum class BudgetVerdict {
    Reserved,
    Exhausted, ///< No turn of this size fits into the budget any more.
    Unconfirmed, ///< The store didn't respond, or other holders have what is left.
    HeldElsewhere, ///< Another holder has the program's budget and can be reached.
};

/// Result of a reservation.
struct BudgetAnswer {
    BudgetVerdict verdict = BudgetVerdict::Unconfirmed;
    IncarnationId holder; ///< The one that has the budget, for HeldElsewhere; else one that may have enough, or empty.
    Milliseconds retryAfter{0}; ///< For Unconfirmed: when other holders may have been reached; 0 if the store didn't respond.
};

} // namespace flamingo

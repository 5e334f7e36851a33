#pragma once

#include "serving/quotamessages.h"

namespace flamingo
{

/// How the limits of workspaces are enforced.
struct QuotaSettings {
    Milliseconds window{5000}; ///< Length of the sliding window that limits count for; 0 if no limit is enforced.
    double overshoot = 0.1; ///< By this part of a limit, more requests may run.
    int tolerance = 20; ///< And by as many requests.

    /// What is granted counts for this long: a request may use a lease as long as that is valid.
    Milliseconds span() const;

    /// The most that a partition of a workspace with this limit grants in any span.
    int partitionLimit(const QuotaLimit &limit, int partition) const;
};

} // namespace flamingo

#pragma once

#include "core/time.h"

#include <optional>

namespace flamingo
{

/// What an instance does at which time of a planned stop. First it goes on as usual, since the load balancer still sends callers
/// to it. Then it closes idle connections, takes no new ones, and accepts only requests that end before the process does.
class DrainSchedule
{
public:
    /// Begins the stop. The process is killed when the grace period is over.
    void begin(Instant now, Milliseconds gracePeriod);

    bool hasBegun() const;

    /// Whether callers are sent to other instances by now, so that connections are no longer kept or accepted.
    bool isClosingConnections(Instant now) const;

    /// Whether a request that ends at its deadline at the latest may be accepted.
    bool mayAccept(Instant now, Instant deadline) const;

    /// Whether requests in progress are ended now, so that their callers get an answer before the process ends.
    bool isEndingRequests(Instant now) const;

    /// Whether the process ends now, whatever is in progress.
    bool isOver(Instant now) const;

private:
    std::optional<Instant> m_beganAt;
    Instant m_endsAt;
};

} // namespace flamingo

#pragma once

#include "core/time.h"

#include <optional>

namespace flamingo
{

/// How old this instance's view of the configuration may be. A key that the operator has taken away may be used for a limited time only, also
/// at an instance that can't learn of it, so an instance whose view is too old refuses all requests with a key. Times are of
/// suspendAwareNow().
class ConfigurationAge
{
public:
    /// The bound is the time after which a key that was taken away must not be accepted anywhere; without one, no age is too high.
    explicit ConfigurationAge(std::optional<Milliseconds> revocationBound);

    /// A call to the store that was sent at this time has shown that the configuration in force is the newest one. The end of the call
    /// proves nothing: a store that drops its history may not report a change to a call that waits for it.
    void confirm(Instant sentAt);

    /// When the last such call was sent; nothing before the first one.
    std::optional<Instant> confirmedAt() const;

    /// Whether keys of the configuration in force may be accepted.
    bool mayAcceptKeys(Instant now) const;

    /// Whether a key that the configuration in force doesn't have is known to be wrong. Where the configuration has not been confirmed for
    /// longer than it usually takes, the key may have been added since.
    bool mayRejectUnknownKeys(Instant now) const;

    /// The longest that a call may wait for a change, so that the age stays well below the bound; nothing without a bound.
    std::optional<Milliseconds> longestWait() const;

private:
    std::optional<Milliseconds> m_bound;
    std::optional<Instant> m_confirmedAt;
};

} // namespace flamingo

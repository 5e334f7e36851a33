#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "policy/loadestimate.h"
#include "policy/policyrules.h"

namespace flamingo
{

/// Timing and token counts of one answered attempt, as its sender sees them.
struct CallObservation {
    Milliseconds timeToFirstToken{0}; ///< From sending to the first token of the answer; the whole duration for a service without streaming.
    Milliseconds totalTime{0};
    Tokens uncachedPromptTokens; ///< Prompt tokens that had to be prefilled.
    Tokens generatedTokens;
};

/// One endpoint as one dispatcher sees it: its calls there, its concurrency limit and the measured speed.
/// The limit and the speed come from the dispatcher's own calls, since load reports lag and the calls of other dispatchers
/// are not visible otherwise. A load report only adds short-lived corrections.
class EndpointState
{
public:
    EndpointState(int slots, int dispatcherCount);

    /// Changes the number of slots and the number of dispatchers that share them.
    void setCapacity(int slots, int dispatcherCount);

    void beginCall(bool isLong, Instant now);
    void endCall(bool isLong, Instant now);

    /// Records an answered attempt and adapts the concurrency limit.
    void observeCall(const CallObservation &observation, Instant now);

    /// Records the time per token of a running stream, long before its call finishes.
    void observeTokenTime(double msPerToken, Instant now);

    /// Records a load report.
    void observeLoad(const EndpointLoad &load, Instant now);

    const LoadEstimate &loadEstimate() const;

    /// Records a failed attempt. The endpoint is not used for a time that doubles with each consecutive failure, up to a limit.
    void observeFailure(Instant now);

    /// Ends the backoff after failures that were not the endpoint's fault.
    void forgiveFailures();

    /// Records that a first token is so late that the call was hedged.
    void observeLateFirstToken(Instant now);

    /// Returns whether the backoff after failures is over.
    bool isUsable(Instant now) const;

    /// When an attempt, a running stream or an overdue first token last showed the speed.
    Instant lastObservedAt() const;
    bool hasFreeSlot(const PolicyRules &rules) const;
    int runningCalls() const;
    int runningLongCalls() const;

    /// The most calls that this dispatcher sends here at once.
    double concurrencyLimit(const PolicyRules &rules) const;

    /// Milliseconds per generated token, smoothed; the reference before the first observation. Without new observations it
    /// decays to the reference, so that a slow endpoint is probed again.
    double msPerToken(Instant now, double reference) const;

    /// Milliseconds per generated token over many calls, without decay; 0 before the first observation.
    double usualMsPerToken() const;

    /// Milliseconds per uncached prompt token, smoothed.
    double prefillMsPerToken() const;

    /// Milliseconds that a call takes here, smoothed; 0 before the first observation.
    double serviceTimeMs() const;

    /// Milliseconds to the first token beyond the prefill time, smoothed.
    double startDelayMs() const;

private:
    int m_slots;
    int m_dispatcherCount;
    int m_runningCalls = 0;
    int m_runningLongCalls = 0;
    double m_concurrencyLimit;
    double m_msPerToken = 0;
    double m_usualMsPerToken = 0;
    double m_prefillMsPerToken = 0.05;
    double m_serviceTimeMs = 0;
    double m_startDelayMs = 0;
    double m_lowestStartDelayMs = 0;
    int m_consecutiveFailures = 0;
    Instant m_usableFrom{};
    Instant m_lastObservedAt{};
    LoadEstimate m_loadEstimate;
};

} // namespace flamingo

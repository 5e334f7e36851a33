#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "policy/policyrules.h"

namespace flamingo
{

/// What an owner can see of one finished call.
struct CallObservation {
    Milliseconds timeToFirstToken{0}; ///< From sending to the first piece of the answer; the whole time for a plain service.
    Milliseconds totalTime{0};
    Tokens uncachedPromptTokens; ///< Prompt tokens that weren't cached.
    Tokens generatedTokens;
};

/// What an endpoint says about itself with an answer. It comes late, but it shows what other owners send there.
struct EndpointLoad {
    int runningCalls = 0;
    int waitingCalls = 0;
    int slots = 0;
    int durationPercent = 100; ///< How long work takes at this moment; 100 is usual.
};

/// One endpoint as this owner sees it: how many calls it has there, how many it should have, and how fast it is.
/// All of it is learnt from the owner's own calls, since load reports come late and neighbours are hidden.
class EndpointState
{
public:
    EndpointState(int slots, int dispatcherCount);

    /// Changes the number of slots, and the number of owners that share them.
    void setCapacity(int slots, int dispatcherCount);

    void beginCall(bool isLong);
    void endCall(bool isLong);

    /// A call has finished here.
    void observeCall(const CallObservation &observation, Instant now);

    /// What a stream under way shows of the pace, long before its call has finished.
    void observeTokenTime(double msPerToken, Instant now);

    /// An answer has told how busy the endpoint is.
    void observeLoad(const EndpointLoad &load, Instant now);

    /// Calls of other owners that were there when the endpoint last told, fading out.
    double callsOfOtherDispatchers(Instant now) const;

    /// By how much work takes longer than usual at the moment, fading out to 1.
    double reportedSlowdown(Instant now) const;

    /// A call has failed here, so the endpoint is left alone for a while that grows with each failure in a row.
    void observeFailure(Instant now);

    /// A first token is overdue by a hedge's measure.
    void observeLateFirstToken(Instant now);

    bool isUsable(Instant now) const;

    /// When the pace was last seen.
    Instant lastObservedAt() const;
    bool hasFreeSlot(const PolicyRules &rules) const;
    int runningCalls() const;
    int runningLongCalls() const;

    /// The most calls that this owner sends here at once.
    double concurrencyLimit(const PolicyRules &rules) const;

    /// Milliseconds for each generated token, smoothed; 0 before the first observation. After a while without
    /// observations it drifts back to the reference, so that a slow endpoint gets probed.
    double msPerToken(Instant now, double reference) const;

    /// Milliseconds for each prompt token that isn't cached, smoothed.
    double prefillMsPerToken() const;

    /// Milliseconds that a call takes here, smoothed.
    double serviceTimeMs() const;

    /// Milliseconds to a first token beyond the prefill, smoothed.
    double startDelayMs() const;

private:
    int m_slots;
    int m_dispatcherCount;
    int m_runningCalls = 0;
    int m_runningLongCalls = 0;
    double m_concurrencyLimit;
    double m_msPerToken = 0;
    double m_prefillMsPerToken = 0.05;
    double m_serviceTimeMs = 0;
    double m_startDelayMs = 0;
    double m_lowestStartDelayMs = 0;
    int m_consecutiveFailures = 0;
    Instant m_usableFrom{};
    Instant m_lastObservedAt{};
    double m_callsOfOtherDispatchers = 0;
    double m_reportedSlowdown = 1;
    Instant m_loadReportedAt{};
};

} // namespace flamingo

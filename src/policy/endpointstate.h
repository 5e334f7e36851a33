#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "policy/policyrules.h"

namespace flamingo
{

/// What an owner can see of one finished call.
struct CallObservation {
    Milliseconds firstToken{0}; ///< From sending to the first piece of the answer; the whole time for a plain service.
    Milliseconds total{0};
    Tokens prefilled; ///< Prompt tokens that weren't cached.
    Tokens generated;
};

/// What an endpoint says about itself with an answer. It comes late, but it shows what other owners send there.
struct EndpointLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    int pacePercent = 100; ///< How long work takes at this moment; 100 is usual.
};

/// One endpoint as this owner sees it: how many calls it has there, how many it should have, and how fast it is.
/// All of it is learnt from the owner's own calls, since load reports come late and neighbours are hidden.
class EndpointState
{
public:
    EndpointState(int slots, int owners);

    /// Changes the number of slots, and the number of owners that share them.
    void resize(int slots, int owners);

    void begin(bool isLong);
    void end(bool isLong);

    /// A call has finished here.
    void observe(const CallObservation &observation, Instant now);

    /// What a stream under way shows of the pace, long before its call has finished.
    void observePace(double msPerToken, Instant now);

    /// An answer has told how busy the endpoint is.
    void observeLoad(const EndpointLoad &load, Instant now);

    /// Calls of other owners that were there when the endpoint last told, fading out.
    double runningForOthers(Instant now) const;

    /// By how much work takes longer than usual at the moment, fading out to 1.
    double momentarySlowness(Instant now) const;

    /// A call has failed here, so the endpoint is left alone for a while that grows with each failure in a row.
    void observeFailure(Instant now);

    /// A first token is overdue by a hedge's measure.
    void observeOverdue(Instant now);

    bool isUsable(Instant now) const;

    /// When the pace was last seen.
    Instant observedAt() const;
    bool hasRoom(const PolicyRules &rules) const;
    int running() const;
    int runningLong() const;

    /// The most calls that this owner sends here at once.
    double limit(const PolicyRules &rules) const;

    /// Milliseconds for each generated token, smoothed; 0 before the first observation. After a while without
    /// observations it drifts back to the reference, so that a slow endpoint gets probed.
    double pace(Instant now, double reference) const;

    /// Milliseconds for each prompt token that isn't cached, smoothed.
    double prefillPace() const;

    /// Milliseconds that a call takes here, smoothed.
    double serviceTime() const;

    /// Milliseconds to a first token beyond the prefill, smoothed.
    double startDelay() const;

private:
    int m_slots;
    int m_owners;
    int m_running = 0;
    int m_runningLong = 0;
    double m_limit;
    double m_pace = 0;
    double m_prefillPace = 0.05;
    double m_serviceTime = 0;
    double m_startDelay = 0;
    double m_bestStartDelay = 0;
    int m_failuresInRow = 0;
    Instant m_usableAt{};
    Instant m_observedAt{};
    double m_runningForOthers = 0;
    double m_momentarySlowness = 1;
    Instant m_loadSeenAt{};
};

} // namespace flamingo

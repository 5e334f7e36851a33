#pragma once

#include "core/time.h"

#include <deque>
#include <utility>

namespace flamingo
{

/// Load that an endpoint reports with an answer. The report lags, but it includes the calls of other dispatchers.
struct EndpointLoad {
    int runningCalls = 0;
    int waitingCalls = 0;
    int slots = 0;
    int durationPercent = 100; ///< Current duration of work in percent of its normal duration.
};

/// What an endpoint's load reports say about the calls of other dispatchers and about its present speed. Answers the load pattern of many
/// dispatchers, each of which hears of an endpoint only every few seconds, and then of its load some time ago.
class LoadEstimate
{
public:
    /// Age that reports are assumed to have when they come.
    static constexpr Milliseconds ReportAge{200};

    /// Records how many calls this dispatcher has at the endpoint from now on.
    void onOwnCallsChanged(int ownCalls, Instant now);

    /// Records a load report. ownCalls is the number of this dispatcher's calls at the endpoint.
    void onReport(const EndpointLoad &load, int ownCalls, Instant now);

    /// Calls of other dispatchers according to the last load report, decaying to 0 with its age. For pools in which load isn't spread
    /// evenly; the others use expectedCallsOfOthers().
    double callsOfOtherDispatchers(Instant now) const;

    /// Calls of other dispatchers: those of the last load report without the own ones that it contained. With the report's age the
    /// estimate tends to the given mean of the pool.
    double expectedCallsOfOthers(Instant now, double poolMean, Milliseconds decayTime) const;

    /// How much the last report still says about the present load: 1 for the time it was made at, 0 without a report.
    double reportWeight(Instant now, Milliseconds decayTime) const;

    /// Calls of other dispatchers at the time of the last report, without decay.
    double reportedCallsOfOthers() const;

    /// Factor by which work takes longer than normal according to the last load report, decaying to 1 with its age.
    double reportedSlowdown(Instant now) const;

private:
    int ownCallsAt(Instant time) const;

    std::deque<std::pair<Instant, int>> m_ownCalls; ///< Changes of the number of own calls; the first one is ReportAge old or older.
    double m_callsOfOtherDispatchers = 0;
    double m_reportedCallsOfOthers = 0;
    bool m_hasReport = false;
    double m_reportedSlowdown = 1;
    Instant m_reportedAt{};
};

} // namespace flamingo

#pragma once

#include "core/time.h"

namespace flamingo
{

/// Load that an endpoint reports with an answer. The report lags, but it includes the calls of other dispatchers.
struct EndpointLoad {
    int runningCalls = 0;
    int waitingCalls = 0;
    int slots = 0;
    int durationPercent = 100; ///< Current duration of work in percent of its normal duration.
};

/// What an endpoint's load reports say about the calls of other dispatchers and about its present speed.
class LoadEstimate
{
public:
    /// Records a load report. ownCalls is the number of this dispatcher's calls at the endpoint.
    void onReport(const EndpointLoad &load, int ownCalls, Instant now);

    /// Calls of other dispatchers according to the last load report, decaying to 0 with its age.
    double callsOfOtherDispatchers(Instant now) const;

    /// Factor by which work takes longer than normal according to the last load report, decaying to 1 with its age.
    double reportedSlowdown(Instant now) const;

private:
    double m_callsOfOtherDispatchers = 0;
    double m_reportedSlowdown = 1;
    Instant m_reportedAt{};
};

} // namespace flamingo

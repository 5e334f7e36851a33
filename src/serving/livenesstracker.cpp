#include "serving/livenesstracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingo
{

LivenessTracker::LivenessTracker(Settings settings)
    : m_settings(settings)
{
}

void LivenessTracker::beginPass(std::set<IncarnationId> listedIncarnations, Instant now)
{
    if (now - m_passStartedAt > m_settings.maxPassInterval) {
        m_heartbeats.clear();
        m_unlistedIncarnations.clear();
    }
    m_passStartedAt = now;
    m_listedIncarnations = std::move(listedIncarnations);
    eraseUnobserved(m_heartbeats);
    eraseUnobserved(m_unlistedIncarnations);
}

void LivenessTracker::eraseUnobserved(std::map<std::string, Observation> &observations)
{
    for (auto it = observations.begin(); it != observations.end();) {
        it = std::exchange(it->second.isObservedInPass, false) ? std::next(it) : observations.erase(it);
    }
}

Milliseconds LivenessTracker::observeRevision(Observation &observation, std::uint64_t revision, Instant now) const
{
    if (observation.since == Instant() || observation.revision != revision) {
        observation.revision = revision;
        observation.since = now;
    }
    observation.isObservedInPass = true;
    return std::chrono::duration_cast<Milliseconds>(now - observation.since);
}

void LivenessTracker::raiseRetention(Milliseconds retention)
{
    m_retention = std::max(m_retention, retention);
}

Milliseconds LivenessTracker::deadAfter() const
{
    return std::max(m_settings.deadAfter, m_retention * 2);
}

Milliseconds LivenessTracker::removeAfter(const MemberRecord &member) const
{
    const bool isArchive = member.role == MemberRecord::Role::Archive;
    return std::max(isArchive ? m_settings.removeArchiveAfter : m_settings.removeInstanceAfter, m_retention * 4);
}

LivenessTracker::Action LivenessTracker::assess(const MemberRecord &member, std::uint64_t heartbeatRevision, Instant now)
{
    const Milliseconds sinceHeartbeat = observeRevision(m_heartbeats[member.id.value()], heartbeatRevision, now);
    if (sinceHeartbeat >= removeAfter(member)) {
        return Action::Remove;
    }
    return sinceHeartbeat >= deadAfter() && !member.isPresumedDead ? Action::MarkDead : Action::Keep;
}

bool LivenessTracker::isIncarnationDead(const IncarnationId &incarnation, Instant now)
{
    return m_listedIncarnations.count(incarnation) == 0 && observeRevision(m_unlistedIncarnations[incarnation.value()], 0, now) >= deadAfter();
}

} // namespace flamingo

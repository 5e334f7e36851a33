#include "serving/fleetsweep.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingo
{

FleetSweep::FleetSweep(Settings settings)
    : m_settings(settings)
{
}

void FleetSweep::beginPass(std::set<HolderId> listedLives, Instant now)
{
    if (now - m_passAt > m_settings.maxPause) {
        m_signs.clear();
        m_lives.clear();
    }
    m_passAt = now;
    m_listedLives = std::move(listedLives);
    forgetPassed(m_signs);
    forgetPassed(m_lives);
}

void FleetSweep::forgetPassed(std::map<std::string, Observation> &observations)
{
    for (auto it = observations.begin(); it != observations.end();) {
        it = std::exchange(it->second.isOfThisPass, false) ? std::next(it) : observations.erase(it);
    }
}

Milliseconds FleetSweep::unchangedFor(Observation &observation, std::uint64_t revision, Instant now) const
{
    if (observation.since == Instant() || observation.revision != revision) {
        observation.revision = revision;
        observation.since = now;
    }
    observation.isOfThisPass = true;
    return std::chrono::duration_cast<Milliseconds>(now - observation.since);
}

void FleetSweep::setRetention(Milliseconds retention)
{
    m_retention = std::max(m_retention, retention);
}

Milliseconds FleetSweep::goneAfter() const
{
    return std::max(m_settings.goneAfter, m_retention * 2);
}

Milliseconds FleetSweep::forgottenAfter(const FleetMember &member) const
{
    const bool isArchive = member.role == FleetMember::Role::Archive;
    return std::max(isArchive ? m_settings.archiveForgottenAfter : m_settings.instanceForgottenAfter, m_retention * 4);
}

FleetSweep::Verdict FleetSweep::judge(const FleetMember &member, std::uint64_t signRevision, Instant now)
{
    const Milliseconds silence = unchangedFor(m_signs[member.id.value()], signRevision, now);
    if (silence >= forgottenAfter(member)) {
        return Verdict::Forgotten;
    }
    return silence >= goneAfter() && !member.isGone ? Verdict::Gone : Verdict::Present;
}

bool FleetSweep::isLifeOver(const HolderId &life, Instant now)
{
    return m_listedLives.count(life) == 0 && unchangedFor(m_lives[life.value()], 0, now) >= goneAfter();
}

} // namespace flamingo

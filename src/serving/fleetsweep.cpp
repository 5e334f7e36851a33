#include "serving/fleetsweep.h"

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

Milliseconds FleetSweep::forgottenAfter(const FleetMember &member) const
{
    return member.role == FleetMember::Role::Archive ? m_settings.archiveForgottenAfter : m_settings.instanceForgottenAfter;
}

FleetSweep::Verdict FleetSweep::judge(const FleetMember &member, std::uint64_t signRevision, Instant now)
{
    const Milliseconds silence = unchangedFor(m_signs[member.id.value()], signRevision, now);
    if (silence >= forgottenAfter(member)) {
        return Verdict::Forgotten;
    }
    return silence >= m_settings.goneAfter && !member.isGone ? Verdict::Gone : Verdict::Present;
}

bool FleetSweep::isLifeOver(const HolderId &life, Instant now)
{
    return m_listedLives.count(life) == 0 && unchangedFor(m_lives[life.value()], 0, now) >= m_settings.goneAfter;
}

} // namespace flamingo

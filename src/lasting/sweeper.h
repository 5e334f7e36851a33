#pragma once

#include "lasting/lastingstores.h"
#include "platform/platformstore.h"
#include "serving/fleetsweep.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingo
{

/// Removes from the store what members that are gone for good have left there: their entries, the budgets that only they
/// held, and the turns that only they would have removed. Each removal holds only while nothing has changed meanwhile.
class Sweeper
{
public:
    Sweeper(platform::PlatformStore &store, FleetSweep::Settings settings);

    /// One pass; does nothing while one is under way. A pass that fails is taken up by the next one. The retention is the
    /// longest of any route in force.
    void sweep(Instant now, Milliseconds retention);

private:
    struct Pass;
    using PassPtr = std::shared_ptr<Pass>;

    void readSigns(const PassPtr &pass);
    void judgeMembers(const PassPtr &pass);
    void change(const FleetMember &member, FleetSweep::Verdict verdict, std::uint64_t signRevision);
    void sweepBudgets(const PassPtr &pass);
    void sweepTurns(const PassPtr &pass);
    void removeUnchanged(const std::vector<platform::KeyExpectation> &keys);
    void removeTurns(const platform::KeyExpectation &key, const TurnIndex &index);
    void commit(const platform::StoreTransaction &transaction, const char *what);

    platform::PlatformStore &m_store;
    FleetSweep m_decisions;
    bool m_isSweeping = false;
};

} // namespace flamingo

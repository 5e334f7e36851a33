#pragma once

#include "http/simplecall.h"
#include "lasting/lastingstores.h"
#include "serving/fleet.h"

#include <functional>

namespace flamingo
{

/// Keeps turns on one archive more than may be lost at once, in two failure domains or more, which bring them to the
/// platform's store in batches; where these don't answer at once, a turn goes to the store itself. So a turn costs a part
/// of a call to the store, and lasts while either the store or enough archives can be reached.
class ArchivedTurnStore : public TurnStore
{
public:
    ArchivedTurnStore(asio::io_context &context,
                      Fleet &fleet,
                      LinkPool &links,
                      platform::PlatformStore &platformStore,
                      PlatformTurnStore &store,
                      std::size_t toleratedMachines);

    void save(const TurnRecordPtr &turn, std::function<void(bool isKept)> onSaved) override;

    /// Absent only when the store and every archive say so, and the store lists no archive that wasn't asked.
    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override;

private:
    struct Saving;
    struct Loading;

    void keep(const FleetMember &archive, const std::string &message, const std::shared_ptr<Saving> &saving);
    void toStore(const std::shared_ptr<Saving> &saving);
    void askArchives(const std::shared_ptr<Loading> &loading);
    void onArchivesAsked(const std::shared_ptr<Loading> &loading);
    void checkAllAsked(const std::shared_ptr<Loading> &loading);
    void loadAgain(const std::shared_ptr<Loading> &loading, bool isCertain);

    asio::io_context &m_context;
    Fleet &m_fleet;
    LinkPool &m_links;
    platform::PlatformStore &m_platformStore;
    PlatformTurnStore &m_store;
    const std::size_t m_copiesWanted;
};

} // namespace flamingo

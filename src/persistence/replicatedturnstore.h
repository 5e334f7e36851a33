#pragma once

#include "http/simplecall.h"
#include "persistence/budgetandturnstores.h"
#include "serving/memberdirectory.h"

#include <functional>

namespace flamingo
{

/// Keeps turns on one archive more than may be lost at once, in two failure domains or more, which bring them to the
/// platform's store in batches; where these don't answer at once, a turn goes to the store itself. So a turn costs a part
/// of a call to the store, and lasts while either the store or enough archives can be reached.
class ReplicatedTurnStore : public TurnStore
{
public:
    ReplicatedTurnStore(asio::io_context &context,
                        MemberDirectory &members,
                        LinkPool &links,
                        platform::PlatformStore &platformStore,
                        PlatformTurnStore &store,
                        std::size_t toleratedMachineFailures);

    void save(const TurnRecordPtr &turn, std::function<void(bool isDurable)> onSaved) override;

    /// Absent only when the store and every archive say so, and the store lists no archive that wasn't asked.
    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override;

private:
    struct PendingSave;
    struct PendingLoad;

    void sendToArchive(const MemberRecord &archive, const std::string &message, const std::shared_ptr<PendingSave> &saving);
    void saveToStore(const std::shared_ptr<PendingSave> &saving);
    void queryArchives(const std::shared_ptr<PendingLoad> &loading);
    void onArchivesAnswered(const std::shared_ptr<PendingLoad> &loading);
    void checkAllArchivesQueried(const std::shared_ptr<PendingLoad> &loading);
    void recheckStore(const std::shared_ptr<PendingLoad> &loading, bool isCertain);

    asio::io_context &m_context;
    MemberDirectory &m_members;
    LinkPool &m_links;
    platform::PlatformStore &m_platformStore;
    PlatformTurnStore &m_store;
    const std::size_t m_replicaCount;
};

} // namespace flamingo

#pragma once

#include "http/internalrequest.h"
#include "persistence/platformturnstore.h"
#include "serving/grantmarks.h"
#include "serving/memberdirectory.h"

#include <functional>

namespace flamingo
{

/// Stores turns on one archive more than the number of machines that may fail at once, in two failure domains or more. The
/// archives write them to the platform's store in batches; when one doesn't respond in time, the turn is written to the
/// store directly. So a turn costs a fraction of a store call, and can be saved while either the store or enough archives
/// can be reached.
class ReplicatedTurnStore : public TurnStore, public GrantMarkStore
{
public:
    ReplicatedTurnStore(asio::io_context &context,
                        MemberDirectory &members,
                        ConnectionPool &links,
                        platform::PlatformStore &platformStore,
                        PlatformTurnStore &store,
                        std::size_t toleratedMachineFailures);

    void save(const TurnRecordPtr &turn, std::function<void(bool isDurable)> onSaved) override;

    /// The result is Absent only when the store and every archive say so, and the store lists no archive that was not queried.
    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override;

    void saveMark(const TurnRecordPtr &mark, MemberListRevision basedOn, std::function<void(bool isDurable)> onSaved) override;
    void loadMark(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override;

    /// Whether enough archives are listed, reachable or not, to hold a turn without the store.
    bool hasEnoughArchives() const;

private:
    struct PendingSave;
    struct PendingLoad;

    std::vector<MemberRecord> chooseArchives(const RequestId &turn, bool mayUseStore) const;
    void sendToArchives(const std::vector<MemberRecord> &archives, const std::shared_ptr<PendingSave> &saving);
    void sendToArchive(const MemberRecord &archive, const std::string &message, const std::shared_ptr<PendingSave> &saving);
    void onArchivesLate(const std::shared_ptr<PendingSave> &saving);
    void onArchiveUnreachable(const std::shared_ptr<PendingSave> &saving, const InstanceId &archive);
    void finishIfDecided(const std::shared_ptr<PendingSave> &saving) const;
    void saveToStore(const std::shared_ptr<PendingSave> &saving);
    void queryArchives(const std::shared_ptr<PendingLoad> &loading);
    void onArchivesAnswered(const std::shared_ptr<PendingLoad> &loading);
    void checkAllArchivesQueried(const std::shared_ptr<PendingLoad> &loading);
    void recheckStore(const std::shared_ptr<PendingLoad> &loading, bool isCertain);

    asio::io_context &m_context;
    MemberDirectory &m_members;
    ConnectionPool &m_links;
    platform::PlatformStore &m_platformStore;
    PlatformTurnStore &m_store;
    const std::size_t m_replicaCount;
};

} // namespace flamingo

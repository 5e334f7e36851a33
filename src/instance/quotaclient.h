#pragma once

#include "core/metrics.h"
#include "core/timerservice.h"
#include "http/connectionpool.h"
#include "serving/admission.h"
#include "serving/memberdirectory.h"
#include "serving/quotaleases.h"
#include "serving/quotaledger.h"
#include "serving/routetable.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace flamingo
{

/// The limits of workspaces over all instances: holds this instance's leases, and what it has granted as the home of partitions, and
/// exchanges their messages with other instances.
class QuotaClient
{
public:
    static constexpr const char *LeasePath = "/quota/lease";
    static constexpr const char *TransferPath = "/quota/transfer";

    struct Peers {
        asio::io_context &context;
        TimerService &timers;
        const MemberDirectory &members;
        ConnectionPool &connections;
    };

    /// ownLimit tells the limit that the configuration in force has of a workspace.
    QuotaClient(Peers peers, IncarnationId self, QuotaSettings settings, const RouteTable &routes, QuotaLedger::OwnLimit ownLimit, Metrics &metrics);

    /// Decides whether a request of the workspace is within its limit. The handler is called once, possibly before this returns.
    void acquire(const Workspace &workspace, std::function<void(QuotaVerdict)> onVerdict);

    /// The same for a request that may have no workspace. The handler gets the refusal of one that is over the limit.
    void admit(const std::optional<Workspace> &workspace, std::function<void(const std::optional<Refusal> &)> onDecided);

    /// Answers another instance's encoded QuotaLeaseRequest; nothing if it can't be decoded.
    std::optional<std::string> answerLease(const std::string &body);

    /// Takes another instance's encoded QuotaTransfer. Returns false if it can't be decoded or is meant for another incarnation.
    bool acceptTransfer(const std::string &body);

    /// Of this instance's registration. The record is that of an earlier incarnation that was listed until now and has ended.
    void setRegistering();
    void setRegistered(bool isNewMachine, const std::optional<MemberRecord> &earlier);

    void setFirstStart();
    void setIsolated(bool isIsolated);
    void onMembersChanged();
    void onMembersRead(Instant confirmedAt);

    /// Hands the partitions over to their next homes; from here on none is granted of.
    void beginDrain();

    /// Forgets what is no longer needed.
    void removeIdle();

private:
    std::optional<IncarnationId> reachableHome(const QuotaPartition &partition) const;
    void ask(const QuotaLeaseRequest &request, Instant now, QuotaLeases::AnswerHandler onAnswer);
    void onAnswer(const QuotaLeaseRequest &request, const std::optional<QuotaLease> &lease);
    void onVerdict(const WorkspaceId &workspace, const QuotaVerdict &verdict, Instant now);
    void send(std::vector<QuotaTransfer> transfers);
    void sendTransfer(const QuotaTransfer &transfer, int triesLeft);
    void post(const MemberRecord &member, const char *path, std::string body, std::function<void(std::optional<std::string>)> onResponse);

    Peers m_peers;
    IncarnationId m_self;
    const RouteTable &m_routes;
    Metrics &m_metrics;
    bool m_isEnabled;
    QuotaLedger m_ledger;
    QuotaLeases m_leases;
    std::map<IncarnationId, Instant> m_avoidedUntil; ///< Homes that haven't answered, which would delay requests of all workspaces.
    std::map<WorkspaceId, Instant> m_refusedAt; ///< Workspaces that are over their limit, with their last refusal.
};

} // namespace flamingo

#pragma once

#include "configuration/configurationreplica.h"
#include "journal/storeoperation.h"
#include "membership/membership.h"
#include "peerlink/messages.h"
#include "peerlink/peertransport.h"
#include "serving/endpointchanges.h"
#include "settings/instancesettings.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace flamingo
{

struct SendGossip {
    std::string address;
    GossipMessage message;
};

struct SendOnControlLink {
    LinkId link = 0;
    PeerMessage message;
};

struct SendToControlPeer {
    std::string address;
    PeerMessage message;
};

struct CallConfigStore {
    StoreOperation operation;
};

struct WatchConfig {
    std::uint64_t afterRevision = 0;
};

struct WatchEndpoints {
    std::uint64_t afterRevision = 0;
};

/// What the control's decisions ask the threads with the wires to do.
using ControlAction = std::variant<SendGossip, SendOnControlLink, SendToControlPeer, CallConfigStore, WatchConfig, WatchEndpoints>;

/// All decisions of a control process: membership, tickets, and the spreading of both. It does no I/O and reads no clock.
class ControlCore
{
public:
    using StatusHandler = std::function<void(nlohmann::json report)>;
    using TicketHandler = std::function<void(Result<void> result)>;
    using ExplanationHandler = std::function<void(Result<nlohmann::json> result)>;

    ControlCore(const InstanceSettings &settings, std::uint64_t incarnation);

    void setTime(Instant now);

    void onGossip(const GossipMessage &message);
    void onPeerMessage(LinkId link, const PeerMessage &message);
    void onLinkDown(LinkId link);
    void onStoreReply(const StoreReply &reply);
    void onConfigurationChanges(const WatchResult &result);
    void onEndpointChanges(const EndpointChanges &changes);

    /// To be called every few milliseconds.
    void onTimer();

    void submitTicket(Ticket ticket, TicketHandler onDecided);

    /// What each member has in force; those that don't answer in time are listed as silent.
    void collectStatus(StatusHandler onStatus);

    void explainProgram(const ProgramId &program, ExplanationHandler onExplained);

    /// Begins the planned stop of an instance.
    Result<void> drainInstance(const InstanceId &instance);

    const Configuration &configuration() const;

    /// How many members, this one included, are held for live.
    std::size_t liveMemberCount() const;
    std::vector<ControlAction> takeActions();

private:
    /// One prefix of the store that watchers follow.
    struct Watch {
        std::uint64_t revision = 0;
        bool isPending = false;
        Instant retryAt{};
    };
    struct PendingStatus {
        StatusHandler handler;
        nlohmann::json replies = nlohmann::json::array();
        std::set<InstanceId> missing;
        Instant deadline;
    };
    struct PendingExplanation {
        ExplanationHandler handler;
        Instant deadline;
    };

    void onSubscribe(LinkId link, const std::string &role);
    void onSchedulerReport(LinkId link, const SchedulerReport &report);
    void onConfigurationDigest(LinkId link, const ConfigurationDigest &digest);
    void onStatusReply(const StatusReply &reply);
    void finishStatus(RequestNumber request);
    void updateOwnInfo();
    void publishMembers();
    void publishConfigurationChanges();
    void compareConfigurations();
    void exchangeMembers();
    std::vector<MemberInfo> knownMembers() const;
    void onMembershipExchange(LinkId link, const MembershipExchange &exchange);
    void startWatches();
    bool finishWatch(Watch &watch, bool isOk, std::uint64_t revision) const;
    bool isWatcher() const;
    bool updateLeavingEndpoints(const EndpointsLeaving &leaving);
    void sendToDomain(const PeerMessage &message);
    void drainSelf();
    nlohmann::json ownStatus() const;
    MembershipUpdate membershipUpdate() const;
    void sendToControl(const InstanceId &instance, PeerMessage message);
    void sendToSubscribers(const PeerMessage &message);
    void advanceReplica();
    void expireRequests();
    bool isDue(Instant &next, Milliseconds period) const;

    const InstanceSettings m_settings;
    std::map<InstanceId, PeerSettings> m_configuredPeers;
    Membership m_membership;
    ConfigurationReplica m_replica;
    Instant m_now;
    std::map<LinkId, std::string> m_subscribers; ///< Roles of this instance's daemons.
    std::optional<LinkId> m_schedulerLink;
    SchedulerReport m_schedulerReport;
    bool m_isDraining = false;
    std::set<EndpointId> m_watchedLeavingEndpoints; ///< As this instance's own watch knows them.
    EndpointsLeaving m_leavingEndpoints; ///< The newest that this or another instance's watch has brought.
    Watch m_configurationWatch;
    Watch m_endpointWatch;
    Instant m_nextComparison{};
    Instant m_nextExchange{};
    std::optional<Instant> m_startedAt;
    Instant m_nextPublication{};
    Instant m_nextRead{};
    bool m_hasUnpublishedMembers = false;
    std::map<SubmissionId, TicketHandler> m_pendingTickets;
    RequestNumber m_lastRequest = 0;
    std::map<RequestNumber, PendingStatus> m_pendingStatuses;
    std::map<RequestNumber, PendingExplanation> m_pendingExplanations;
    std::vector<ControlAction> m_actions;
};

} // namespace flamingo

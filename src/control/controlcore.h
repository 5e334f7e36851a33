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

/// Sends a gossip datagram to an IP address and port.
struct SendGossip {
    std::string address;
    GossipMessage message;
};

/// Sends a message on an open peer link.
struct SendOnControlLink {
    LinkId link = 0;
    PeerMessage message;
};

/// Sends a message to the control process or the scheduler at an IP address and port.
struct SendToControlPeer {
    std::string address;
    PeerMessage message;
};

/// Performs a store operation of the configuration's journal.
struct CallConfigStore {
    StoreOperation operation;
};

/// Waits for changes of the configuration's journal after a revision of the store.
struct WatchConfig {
    std::uint64_t afterRevision = 0;
};

/// Waits for changes of the registered endpoints after a revision of the store.
struct WatchEndpoints {
    std::uint64_t afterRevision = 0;
};

/// I/O that the control core asks its daemon to perform.
using ControlAction = std::variant<SendGossip, SendOnControlLink, SendToControlPeer, CallConfigStore, WatchConfig, WatchEndpoints>;

/// The decision logic of a control process: it tracks the members, accepts tickets and distributes both to the daemons of
/// its instance and to other control processes. It does no I/O and reads no clock.
class ControlCore
{
public:
    using StatusHandler = std::function<void(nlohmann::json report)>;
    using TicketHandler = std::function<void(Result<void> result)>;
    using ExplanationHandler = std::function<void(Result<nlohmann::json> result)>;

    ControlCore(const InstanceSettings &settings, std::uint64_t incarnation);

    /// Sets the current time. Must be called before any other input is passed in.
    void setTime(Instant now);

    void onGossip(const GossipMessage &message);
    void onPeerMessage(LinkId link, const PeerMessage &message);
    void onLinkDown(LinkId link);
    void onStoreReply(const StoreReply &reply);
    void onConfigurationChanges(const WatchResult &result);
    void onEndpointChanges(const EndpointChanges &changes);

    /// Must be called every few milliseconds.
    void onTimer();

    /// Submits a ticket for acceptance; the handler is called once, perhaps before this returns.
    void submitTicket(Ticket ticket, TicketHandler onDecided);

    /// Collects the status of all members that are not dead. Those that don't answer in time are listed as silent.
    void collectStatus(StatusHandler onStatus);

    /// Asks the owner of the program's shard for the decisions about the program. Fails with UnknownProgram when no owner
    /// is known and with OwnerUnreachable when it doesn't answer in time.
    void explainProgram(const ProgramId &program, ExplanationHandler onExplained);

    /// Starts the planned stop of an instance. Fails with NotFound for an unknown instance.
    Result<void> drainInstance(const InstanceId &instance);

    const Configuration &configuration() const;

    /// The number of members in state Live, this one included.
    std::size_t liveMemberCount() const;
    std::vector<ControlAction> takeActions();

private:
    /// The progress of a watch on one key prefix of the store.
    struct Watch {
        std::uint64_t revision = 0;
        bool isPending = false; ///< A watch call is waiting for changes.
        Instant retryAt{};
    };
    struct PendingStatus {
        StatusHandler handler;
        nlohmann::json replies = nlohmann::json::array();
        std::set<InstanceId> missing; ///< Members that have not replied yet.
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
    std::map<InstanceId, PeerSettings> m_configuredPeers; ///< Their addresses override those learned by gossip.
    Membership m_membership;
    ConfigurationReplica m_replica;
    Instant m_now;
    std::map<LinkId, std::string> m_subscribers; ///< Roles of this instance's daemons, by link.
    std::optional<LinkId> m_schedulerLink;
    SchedulerReport m_schedulerReport;
    bool m_isDraining = false;
    std::set<EndpointId> m_watchedLeavingEndpoints; ///< As reported by this instance's own watch.
    EndpointsLeaving m_leavingEndpoints; ///< The newest report of this or another instance's watch.
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

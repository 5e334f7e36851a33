#pragma once

#include "configuration/configurationkeeper.h"
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
    void onWatch(const WatchResult &result);
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
    std::size_t liveMembers() const;
    std::vector<ControlAction> takeActions();

private:
    /// One prefix of the store that watchers follow.
    struct Watch {
        std::uint64_t revision = 0;
        bool isWaiting = false;
        Instant next{};
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
    void onReport(LinkId link, const SchedulerReport &report);
    void onDigest(LinkId link, const ConfigurationDigest &digest);
    void onStatusReply(const StatusReply &reply);
    void finishStatus(RequestNumber request);
    void publishSelf();
    void publishMembers();
    void spreadNews();
    void compareWithPeer();
    void exchangeMembers();
    std::vector<MemberFact> knownMembers() const;
    void onExchange(LinkId link, const MembershipExchange &exchange);
    void startWatches();
    bool finishWatch(Watch &watch, bool isOk, std::uint64_t revision) const;
    bool isWatcher() const;
    bool adoptLeaving(const EndpointsLeaving &leaving);
    void tellDomain(const PeerMessage &message);
    void drainSelf();
    nlohmann::json ownStatus() const;
    MembershipUpdate membershipUpdate() const;
    void sendToControl(const InstanceId &instance, PeerMessage message);
    void sendToSubscribers(const PeerMessage &message);
    void pumpKeeper();
    void expire();
    bool isDue(Instant &next, Milliseconds period) const;

    const InstanceSettings m_settings;
    std::map<InstanceId, PeerSettings> m_overrides;
    Membership m_membership;
    ConfigurationKeeper m_keeper;
    Instant m_now;
    std::map<LinkId, std::string> m_subscribers; ///< Roles of this instance's daemons.
    std::optional<LinkId> m_schedulerLink;
    SchedulerReport m_report;
    bool m_isDraining = false;
    std::set<EndpointId> m_watchedLeaving; ///< As this instance's own watch knows them.
    EndpointsLeaving m_leaving; ///< The newest that this or another instance's watch has brought.
    Watch m_configurationWatch;
    Watch m_endpointWatch;
    Instant m_nextComparison{};
    Instant m_nextExchange{};
    std::optional<Instant> m_startedAt;
    Instant m_nextPublication{};
    Instant m_nextRead{};
    bool m_hasUnpublishedMembers = false;
    std::map<SubmissionId, TicketHandler> m_tickets;
    RequestNumber m_lastRequest = 0;
    std::map<RequestNumber, PendingStatus> m_statuses;
    std::map<RequestNumber, PendingExplanation> m_explanations;
    std::vector<ControlAction> m_actions;
};

} // namespace flamingo

#include "control/controlcore.h"

#include "core/digest.h"
#include "core/log.h"
#include "core/visitors.h"
#include "membership/programshard.h"
#include "membership/shardowner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds ComparisonPeriod{1000};
/// Member lists are exchanged more often during this time after the start, see exchangeMembers().
constexpr Milliseconds StartupDuration{20000};
constexpr Milliseconds StartupExchangePeriod{2000};
constexpr Milliseconds ExchangePeriod{60000};
constexpr Milliseconds PublicationPeriod{100};
constexpr Milliseconds ReadRetryPeriod{1000};
constexpr Milliseconds WatchRetryDelay{1000};
constexpr Milliseconds QueryTimeout{1500};
/// Number of random peers to which a change is sent as soon as it is known here.
constexpr std::size_t PeerFanout = 3;
constexpr std::size_t WatchersPerDomain = 2;

MemberInfo ownMemberInfo(const InstanceSettings &settings, std::uint64_t incarnation)
{
    MemberInfo info;
    info.instance = settings.id;
    info.domain = settings.domain;
    info.incarnation = incarnation;
    info.gossipAddress = settings.controlGossip.text();
    info.controlAddress = settings.controlPeer.text();
    info.schedulerAddress = settings.schedulerPeer.text();
    return info;
}

// A peer of the settings is known from the start, but not its state, so its incarnation is left at 0.
MemberInfo seedMemberInfo(const PeerSettings &peer)
{
    MemberInfo info;
    info.instance = peer.id;
    info.domain = peer.domain;
    info.gossipAddress = peer.gossip.text();
    info.controlAddress = peer.control.text();
    info.schedulerAddress = peer.scheduler.text();
    return info;
}

bool sameShards(const std::vector<OwnedShard> &a, const std::vector<OwnedShard> &b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](const OwnedShard &x, const OwnedShard &y) { return x.shard == y.shard && x.fence == y.fence; });
}
} // namespace

ControlCore::ControlCore(const InstanceSettings &settings, std::uint64_t incarnation)
    : m_settings(settings)
    , m_membership(ownMemberInfo(settings, incarnation), settings.membership, stableHash(settings.id.value(), incarnation))
    , m_replica(settings.id, std::to_string(incarnation), settings.journal)
{
    for (const PeerSettings &peer : settings.peers) {
        m_configuredPeers.emplace(peer.id, peer);
        m_membership.addSeed(seedMemberInfo(peer));
    }
}

void ControlCore::setTime(Instant now)
{
    m_now = now;
}

bool ControlCore::isDue(Instant &next, Milliseconds period) const
{
    if (m_now < next) {
        return false;
    }
    next = m_now + period;
    return true;
}

void ControlCore::onGossip(const GossipMessage &message)
{
    m_membership.onMessage(message, m_now);
}

void ControlCore::onPeerMessage(LinkId link, const PeerMessage &message)
{
    std::visit(Visitors{[&](const Subscribe &subscribe) { onSubscribe(link, subscribe.role); },
                        [&](const SchedulerReport &report) { onSchedulerReport(link, report); },
                        [&](const ConfigurationUpdate &update) { m_replica.mergeObjects(update.objects); },
                        [&](const ConfigurationDigest &digest) { onConfigurationDigest(link, digest); },
                        [&](const MembershipExchange &exchange) { onMembershipExchange(link, exchange); },
                        [&](const EndpointsLeaving &leaving) {
                            if (!updateLeavingEndpoints(leaving)) {
                                return;
                            }
                            for (const InstanceId &peer : m_membership.randomPeers(PeerFanout)) {
                                sendToControl(peer, leaving);
                            }
                        },
                        [&](const DrainInstance &) { drainSelf(); },
                        [&](const StatusQuery &query) {
                            m_actions.emplace_back(SendOnControlLink{link, StatusReply{query.request, ownStatus()}});
                        },
                        [&](const StatusReply &reply) { onStatusReply(reply); },
                        [&](const Explanation &explanation) {
                            const auto it = m_pendingExplanations.find(explanation.request);
                            if (it != m_pendingExplanations.end()) {
                                it->second.handler(explanation.report);
                                m_pendingExplanations.erase(it);
                            }
                        },
                        [&](const Refusal &refusal) {
                            const auto it = m_pendingExplanations.find(refusal.request);
                            if (it != m_pendingExplanations.end()) {
                                it->second.handler(tl::make_unexpected(errorFromRefusal(refusal)));
                                m_pendingExplanations.erase(it);
                            }
                        },
                        [](const auto &) {}},
               message);
    advanceReplica();
}

void ControlCore::onSubscribe(LinkId link, const std::string &role)
{
    m_subscribers[link] = role;
    ConfigurationUpdate update;
    for (const auto &[key, object] : m_replica.configuration().objects()) {
        update.objects.push_back(object);
    }
    m_actions.emplace_back(SendOnControlLink{link, std::move(update)});
    m_actions.emplace_back(SendOnControlLink{link, membershipUpdate()});
    if (role == "scheduler") {
        m_schedulerLink = link;
        m_actions.emplace_back(SendOnControlLink{link, m_leavingEndpoints});
    }
    if (m_isDraining) {
        m_actions.emplace_back(SendOnControlLink{link, DrainInstance{}});
    }
    updateOwnInfo();
}

void ControlCore::onSchedulerReport(LinkId link, const SchedulerReport &report)
{
    if (m_schedulerLink != link) {
        return;
    }
    const bool hasChanged = !sameShards(report.shards, m_schedulerReport.shards) || report.isDraining != m_schedulerReport.isDraining;
    m_schedulerReport = report;
    if (hasChanged) {
        updateOwnInfo();
    }
}

void ControlCore::onLinkDown(LinkId link)
{
    m_subscribers.erase(link);
    if (m_schedulerLink == link) {
        m_schedulerLink.reset();
        m_schedulerReport.isDraining = false;
        logChange("scheduler-disconnected", "instance={}", m_settings.id.value());
        updateOwnInfo();
    }
}

// The shards of a disconnected scheduler are kept in the info, because other instances ask the last owner of a shard
// before they take it over.
void ControlCore::updateOwnInfo()
{
    MemberInfo info = m_membership.self();
    info.hasScheduler = m_schedulerLink.has_value();
    info.isDraining = m_isDraining || m_schedulerReport.isDraining;
    info.shards = m_schedulerReport.shards;
    m_membership.updateSelf(info);
}

MembershipUpdate ControlCore::membershipUpdate() const
{
    MembershipUpdate update;
    for (const auto &[id, known] : m_membership.members()) {
        MemberInfo info = known;
        const auto it = m_configuredPeers.find(id);
        if (it != m_configuredPeers.end()) {
            info.controlAddress = it->second.control.text();
            info.schedulerAddress = it->second.scheduler.text();
            info.gossipAddress = it->second.gossip.text();
        }
        update.members.push_back(std::move(info));
    }
    return update;
}

void ControlCore::publishMembers()
{
    if (m_membership.takeChanged()) {
        m_hasUnpublishedMembers = true;
    }
    if (m_hasUnpublishedMembers && isDue(m_nextPublication, PublicationPeriod)) {
        m_hasUnpublishedMembers = false;
        sendToSubscribers(membershipUpdate());
    }
}

void ControlCore::sendToSubscribers(const PeerMessage &message)
{
    for (const auto &[link, role] : m_subscribers) {
        m_actions.emplace_back(SendOnControlLink{link, message});
    }
}

void ControlCore::sendToControl(const InstanceId &instance, PeerMessage message)
{
    const auto it = m_membership.members().find(instance);
    if (it == m_membership.members().end()) {
        return;
    }
    const auto configured = m_configuredPeers.find(instance);
    const std::string address = configured == m_configuredPeers.end() ? it->second.controlAddress : configured->second.control.text();
    m_actions.emplace_back(SendToControlPeer{address, std::move(message)});
}

void ControlCore::publishConfigurationChanges()
{
    const auto changed = m_replica.takeChangedObjects();
    if (changed.empty()) {
        return;
    }
    for (const ConfigObject &object : changed) {
        logChange("configuration-object-applied", "kind={} id={} ticket={}", objectKindName(object.key.kind), object.key.id, object.ticket.value());
    }
    const ConfigurationUpdate update{changed};
    sendToSubscribers(update);
    for (const InstanceId &peer : m_membership.randomPeers(PeerFanout)) {
        sendToControl(peer, update);
    }
}

// Changes sent to random peers may not reach every instance, so the whole configuration is also compared with one random
// peer a second.
void ControlCore::compareConfigurations()
{
    for (const InstanceId &peer : m_membership.randomPeers(1)) {
        sendToControl(peer, ConfigurationDigest{m_replica.configuration().bucketSums(), false});
        if (m_leavingEndpoints.revision > 0) {
            sendToControl(peer, m_leavingEndpoints);
        }
    }
}

// Gossip repeats an update a limited number of times, and an instance that has just started knows few members. Complete
// member lists are therefore exchanged with a random member from time to time, more often after the start.
void ControlCore::exchangeMembers()
{
    for (const InstanceId &peer : m_membership.randomPeers(1)) {
        sendToControl(peer, MembershipExchange{knownMembers(), false});
    }
}

std::vector<MemberInfo> ControlCore::knownMembers() const
{
    std::vector<MemberInfo> members;
    for (const auto &[id, info] : m_membership.members()) {
        // Nothing has been heard yet of a seed with incarnation 0.
        if (info.incarnation > 0) {
            members.push_back(info);
        }
    }
    return members;
}

void ControlCore::onMembershipExchange(LinkId link, const MembershipExchange &exchange)
{
    m_membership.mergeMembers(exchange.members, m_now);
    if (!exchange.isAnswer) {
        m_actions.emplace_back(SendOnControlLink{link, MembershipExchange{knownMembers(), true}});
    }
}

void ControlCore::onConfigurationDigest(LinkId link, const ConfigurationDigest &digest)
{
    const auto &own = m_replica.configuration().bucketSums();
    if (digest.bucketSums.size() != own.size() || digest.bucketSums == own) {
        return;
    }
    ConfigurationUpdate update;
    for (std::size_t n = 0; n < own.size(); ++n) {
        if (own[n] != digest.bucketSums[n]) {
            const auto objects = m_replica.configuration().objectsInBucket(n);
            update.objects.insert(update.objects.end(), objects.begin(), objects.end());
        }
    }
    m_actions.emplace_back(SendOnControlLink{link, std::move(update)});
    if (!digest.isAnswer) {
        m_actions.emplace_back(SendOnControlLink{link, ConfigurationDigest{own, true}});
    }
}

// A pending watch counts as a call to the store, so only a few instances of each failure domain watch and inform the
// others.
bool ControlCore::isWatcher() const
{
    std::size_t lowerRankedCount = 0;
    for (const auto &[id, info] : m_membership.members()) {
        const bool isPeer = info.domain == m_settings.domain && id != m_settings.id && info.state == MemberState::Live && info.incarnation > 0;
        lowerRankedCount += isPeer && stableHash(id.value()) < stableHash(m_settings.id.value()) ? 1 : 0;
    }
    return lowerRankedCount < WatchersPerDomain;
}

void ControlCore::startWatches()
{
    const auto mayStart = [this](const Watch &watch) { return !watch.isPending && m_now >= watch.retryAt; };
    if ((!mayStart(m_configurationWatch) && !mayStart(m_endpointWatch)) || !isWatcher()) {
        return;
    }
    if (mayStart(m_configurationWatch)) {
        m_configurationWatch.isPending = true;
        m_actions.emplace_back(WatchConfig{m_configurationWatch.revision});
    }
    if (mayStart(m_endpointWatch)) {
        m_endpointWatch.isPending = true;
        m_actions.emplace_back(WatchEndpoints{m_endpointWatch.revision});
    }
}

// Returns whether the watch succeeded. The next one continues after the revision, or is started after a delay when this
// one failed.
bool ControlCore::finishWatch(Watch &watch, bool isOk, std::uint64_t revision) const
{
    watch.isPending = false;
    if (isOk) {
        watch.revision = revision;
    } else {
        watch.retryAt = m_now + WatchRetryDelay;
    }
    return isOk;
}

void ControlCore::onConfigurationChanges(const WatchResult &result)
{
    if (finishWatch(m_configurationWatch, result.isOk, result.revision)) {
        m_replica.onKeysWritten(result.values);
        advanceReplica();
    }
}

void ControlCore::onEndpointChanges(const EndpointChanges &changes)
{
    if (!finishWatch(m_endpointWatch, changes.isOk, changes.revision)) {
        return;
    }
    if (changes.isSnapshot) {
        m_watchedLeavingEndpoints.clear();
    }
    for (const EndpointId &id : changes.removed) {
        m_watchedLeavingEndpoints.erase(id);
    }
    for (const EndpointEntry &entry : changes.updated) {
        if (entry.isLeaving) {
            m_watchedLeavingEndpoints.insert(entry.id);
        } else {
            m_watchedLeavingEndpoints.erase(entry.id);
        }
    }
    const EndpointsLeaving leaving{{m_watchedLeavingEndpoints.begin(), m_watchedLeavingEndpoints.end()}, changes.revision};
    if (updateLeavingEndpoints(leaving)) {
        sendToDomain(leaving);
    }
}

// Returns whether the leaving endpoints have changed. Older revisions are ignored, because another instance's watch may
// be ahead of this one's.
bool ControlCore::updateLeavingEndpoints(const EndpointsLeaving &leaving)
{
    if (leaving.revision <= m_leavingEndpoints.revision) {
        return false;
    }
    const bool hasChanged = leaving.endpoints != m_leavingEndpoints.endpoints;
    m_leavingEndpoints = leaving;
    if (hasChanged) {
        logChange("leaving-endpoints-changed", "count={} revision={}", leaving.endpoints.size(), leaving.revision);
        if (m_schedulerLink) {
            m_actions.emplace_back(SendOnControlLink{*m_schedulerLink, leaving});
        }
    }
    return hasChanged;
}

// Leaving endpoints must stop getting new calls within seconds, so a watcher informs all live instances of its failure
// domain directly.
void ControlCore::sendToDomain(const PeerMessage &message)
{
    for (const auto &[id, info] : m_membership.members()) {
        if (id != m_settings.id && info.domain == m_settings.domain && info.state == MemberState::Live) {
            sendToControl(id, message);
        }
    }
}

void ControlCore::drainSelf()
{
    if (m_isDraining) {
        return;
    }
    m_isDraining = true;
    logChange("draining", "instance={}", m_settings.id.value());
    updateOwnInfo();
    sendToSubscribers(DrainInstance{});
}

Result<void> ControlCore::drainInstance(const InstanceId &instance)
{
    if (instance == m_settings.id) {
        drainSelf();
        return {};
    }
    if (m_membership.members().count(instance) == 0) {
        return failure(ErrorKind::NotFound, fmt::format("there is no instance {}", instance.value()));
    }
    sendToControl(instance, DrainInstance{});
    return {};
}

void ControlCore::submitTicket(Ticket ticket, TicketHandler onDecided)
{
    const SubmissionId id = m_replica.submit(std::move(ticket), m_now);
    m_pendingTickets[id] = std::move(onDecided);
    advanceReplica();
}

void ControlCore::advanceReplica()
{
    m_replica.advance(m_now);
    for (StoreOperation &operation : m_replica.takeOperations()) {
        m_actions.emplace_back(CallConfigStore{std::move(operation)});
    }
    for (TicketDecision &decision : m_replica.takeDecisions()) {
        const auto it = m_pendingTickets.find(decision.id);
        if (it != m_pendingTickets.end()) {
            it->second(std::move(decision.result));
            m_pendingTickets.erase(it);
        }
    }
    publishConfigurationChanges();
}

void ControlCore::onStoreReply(const StoreReply &reply)
{
    m_replica.onReply(reply, m_now);
    advanceReplica();
}

nlohmann::json ControlCore::ownStatus() const
{
    nlohmann::json members = nlohmann::json::object();
    for (const auto &[id, info] : m_membership.members()) {
        members[id.value()] = memberStateName(info.state);
    }
    nlohmann::json shards = nlohmann::json::object();
    for (const OwnedShard &owned : m_schedulerReport.shards) {
        shards[std::to_string(owned.shard.value())] = owned.fence;
    }
    const auto fingerprint = m_replica.configuration().fingerprint();
    return {{"instance", m_settings.id},
            {"domain", m_settings.domain},
            {"draining", m_isDraining || m_schedulerReport.isDraining},
            {"scheduler", m_schedulerLink.has_value()},
            {"configuration", fmt::format("{:016x}", fingerprint)},
            {"scheduler_configuration", fmt::format("{:016x}", m_schedulerReport.fingerprint)},
            {"shards", shards},
            {"members", members}};
}

void ControlCore::collectStatus(StatusHandler onStatus)
{
    const RequestNumber request = ++m_lastRequest;
    PendingStatus &pending = m_pendingStatuses[request];
    pending.handler = std::move(onStatus);
    pending.deadline = m_now + QueryTimeout;
    pending.replies.push_back(ownStatus());
    for (const auto &[id, info] : m_membership.members()) {
        if (id != m_settings.id && info.state != MemberState::Dead) {
            pending.missing.insert(id);
            sendToControl(id, StatusQuery{request});
        }
    }
    if (pending.missing.empty()) {
        finishStatus(request);
    }
}

void ControlCore::onStatusReply(const StatusReply &reply)
{
    const auto it = m_pendingStatuses.find(reply.request);
    if (it == m_pendingStatuses.end()) {
        return;
    }
    it->second.missing.erase(InstanceId(reply.report.value("instance", "")));
    it->second.replies.push_back(reply.report);
    if (it->second.missing.empty()) {
        finishStatus(reply.request);
    }
}

void ControlCore::finishStatus(RequestNumber request)
{
    auto node = m_pendingStatuses.extract(request);
    PendingStatus &pending = node.mapped();
    pending.handler({{"instances", pending.replies}, {"silent", pending.missing}});
}

void ControlCore::explainProgram(const ProgramId &program, ExplanationHandler onExplained)
{
    std::map<InstanceId, MemberInfo> members;
    for (const MemberInfo &info : membershipUpdate().members) {
        members.emplace(info.instance, info);
    }
    const auto shard = shardOf(program);
    const auto owner = shard ? reachableOwner(*shard, members) : std::nullopt;
    if (!owner) {
        onExplained(failure(ErrorKind::UnknownProgram, "nobody is known to own the program's shard"));
        return;
    }
    const RequestNumber request = ++m_lastRequest;
    m_pendingExplanations[request] = {std::move(onExplained), m_now + QueryTimeout};
    m_actions.emplace_back(SendToControlPeer{members.at(*owner).schedulerAddress, ExplainProgram{request, program}});
}

void ControlCore::expireRequests()
{
    std::vector<RequestNumber> expired;
    for (const auto &[request, pending] : m_pendingStatuses) {
        if (m_now >= pending.deadline) {
            expired.push_back(request);
        }
    }
    for (const RequestNumber request : expired) {
        finishStatus(request);
    }
    for (auto it = m_pendingExplanations.begin(); it != m_pendingExplanations.end();) {
        if (m_now >= it->second.deadline) {
            it->second.handler(failure(ErrorKind::OwnerUnreachable, "the owner of the program does not answer"));
            it = m_pendingExplanations.erase(it);
        } else {
            ++it;
        }
    }
}

void ControlCore::onTimer()
{
    m_membership.advance(m_now);
    for (OutgoingGossip &send : m_membership.takeOutgoing()) {
        const auto it = m_configuredPeers.find(send.to);
        const std::string address = it == m_configuredPeers.end() ? send.address : it->second.gossip.text();
        m_actions.emplace_back(SendGossip{address, std::move(send.message)});
    }
    publishMembers();
    if (!m_replica.hasReadAll() && isDue(m_nextRead, ReadRetryPeriod)) {
        m_replica.readAll(m_now);
    }
    startWatches();
    m_startedAt = m_startedAt.value_or(m_now);
    if (isDue(m_nextExchange, m_now - *m_startedAt < StartupDuration ? StartupExchangePeriod : ExchangePeriod)) {
        exchangeMembers();
    }
    if (isDue(m_nextComparison, ComparisonPeriod)) {
        compareConfigurations();
    }
    expireRequests();
    advanceReplica();
}

std::size_t ControlCore::liveMemberCount() const
{
    const auto &members = m_membership.members();
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto &item) { return item.second.state == MemberState::Live; }));
}

const Configuration &ControlCore::configuration() const
{
    return m_replica.configuration();
}

std::vector<ControlAction> ControlCore::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace flamingo

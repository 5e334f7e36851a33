#include "control/controlcore.h"

#include "core/digest.h"
#include "core/log.h"
#include "core/visitors.h"
#include "membership/placement.h"
#include "membership/programshard.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds ComparisonPeriod{1000};
/// Member lists are exchanged at the first pace for the first while.
constexpr Milliseconds StartTime{20000};
constexpr Milliseconds StartExchangePeriod{2000};
constexpr Milliseconds ExchangePeriod{60000};
constexpr Milliseconds PublicationPeriod{100};
constexpr Milliseconds ReadRetryPeriod{1000};
constexpr Milliseconds WatchRetry{1000};
constexpr Milliseconds QueryTimeout{1500};
constexpr std::size_t SpreadFanout = 3;
constexpr std::size_t WatchersPerDomain = 2;

MemberFact ownFact(const InstanceSettings &settings, std::uint64_t incarnation)
{
    MemberFact fact;
    fact.instance = settings.id;
    fact.domain = settings.domain;
    fact.incarnation = incarnation;
    fact.gossipAddress = settings.controlGossip.text();
    fact.controlAddress = settings.controlPeer.text();
    fact.schedulerAddress = settings.schedulerPeer.text();
    return fact;
}

// A peer of the settings is known from the start, but nothing is known of how it does.
MemberFact listedFact(const PeerSettings &peer)
{
    MemberFact fact;
    fact.instance = peer.id;
    fact.domain = peer.domain;
    fact.gossipAddress = peer.gossip.text();
    fact.controlAddress = peer.control.text();
    fact.schedulerAddress = peer.scheduler.text();
    return fact;
}

bool sameShards(const std::vector<OwnedShard> &a, const std::vector<OwnedShard> &b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](const OwnedShard &x, const OwnedShard &y) { return x.shard == y.shard && x.fence == y.fence; });
}
} // namespace

ControlCore::ControlCore(const InstanceSettings &settings, std::uint64_t incarnation)
    : m_settings(settings)
    , m_membership(ownFact(settings, incarnation), settings.membership, stableHash(settings.id.value(), incarnation))
    , m_keeper(settings.id, std::to_string(incarnation), settings.journal)
{
    for (const PeerSettings &peer : settings.peers) {
        m_overrides.emplace(peer.id, peer);
        m_membership.addListed(listedFact(peer));
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
                        [&](const SchedulerReport &report) { onReport(link, report); },
                        [&](const ConfigurationUpdate &update) { m_keeper.learn(update.objects); },
                        [&](const ConfigurationDigest &digest) { onDigest(link, digest); },
                        [&](const MembershipExchange &exchange) { onExchange(link, exchange); },
                        [&](const EndpointsLeaving &leaving) {
                            if (!adoptLeaving(leaving)) {
                                return;
                            }
                            for (const InstanceId &peer : m_membership.randomLive(SpreadFanout)) {
                                sendToControl(peer, leaving);
                            }
                        },
                        [&](const DrainInstance &) { drainSelf(); },
                        [&](const StatusQuery &query) {
                            m_actions.emplace_back(SendOnControlLink{link, StatusReply{query.request, ownStatus()}});
                        },
                        [&](const StatusReply &reply) { onStatusReply(reply); },
                        [&](const Explanation &explanation) {
                            const auto it = m_explanations.find(explanation.request);
                            if (it != m_explanations.end()) {
                                it->second.handler(explanation.report);
                                m_explanations.erase(it);
                            }
                        },
                        [&](const Refused &refusal) {
                            const auto it = m_explanations.find(refusal.request);
                            if (it != m_explanations.end()) {
                                it->second.handler(tl::make_unexpected(errorOf(refusal)));
                                m_explanations.erase(it);
                            }
                        },
                        [](const auto &) {}},
               message);
    pumpKeeper();
}

void ControlCore::onSubscribe(LinkId link, const std::string &role)
{
    m_subscribers[link] = role;
    ConfigurationUpdate update;
    for (const auto &[key, object] : m_keeper.configuration().objects()) {
        update.objects.push_back(object);
    }
    m_actions.emplace_back(SendOnControlLink{link, std::move(update)});
    m_actions.emplace_back(SendOnControlLink{link, membershipUpdate()});
    if (role == "scheduler") {
        m_schedulerLink = link;
        m_actions.emplace_back(SendOnControlLink{link, m_leaving});
    }
    if (m_isDraining) {
        m_actions.emplace_back(SendOnControlLink{link, DrainInstance{}});
    }
    publishSelf();
}

void ControlCore::onReport(LinkId link, const SchedulerReport &report)
{
    if (m_schedulerLink != link) {
        return;
    }
    const bool hasChanged = !sameShards(report.shards, m_report.shards) || report.isDraining != m_report.isDraining;
    m_report = report;
    if (hasChanged) {
        publishSelf();
    }
}

void ControlCore::onLinkDown(LinkId link)
{
    m_subscribers.erase(link);
    if (m_schedulerLink == link) {
        m_schedulerLink.reset();
        m_report.isDraining = false;
        logChange("scheduler-gone", "instance={}", m_settings.id.value());
        publishSelf();
    }
}

// The shards of a scheduler that is gone stay in the fact: they tell the others whom to ask before they take over.
void ControlCore::publishSelf()
{
    MemberFact fact = m_membership.self();
    fact.hasScheduler = m_schedulerLink.has_value();
    fact.isLeaving = m_isDraining || m_report.isDraining;
    fact.shards = m_report.shards;
    m_membership.updateSelf(fact);
}

MembershipUpdate ControlCore::membershipUpdate() const
{
    MembershipUpdate update;
    for (const auto &[id, known] : m_membership.members()) {
        MemberFact fact = known;
        const auto it = m_overrides.find(id);
        if (it != m_overrides.end()) {
            fact.controlAddress = it->second.control.text();
            fact.schedulerAddress = it->second.scheduler.text();
            fact.gossipAddress = it->second.gossip.text();
        }
        update.members.push_back(std::move(fact));
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
    const auto own = m_overrides.find(instance);
    const std::string address = own == m_overrides.end() ? it->second.controlAddress : own->second.control.text();
    m_actions.emplace_back(SendToControlPeer{address, std::move(message)});
}

void ControlCore::spreadNews()
{
    const auto news = m_keeper.takeNews();
    if (news.empty()) {
        return;
    }
    for (const ConfigObject &object : news) {
        logChange("in-force", "kind={} id={} ticket={}", objectKindName(object.key.kind), object.key.id, object.ticket.value());
    }
    const ConfigurationUpdate update{news};
    sendToSubscribers(update);
    for (const InstanceId &peer : m_membership.randomLive(SpreadFanout)) {
        sendToControl(peer, update);
    }
}

// Rumours may miss somebody, so configurations are compared with one random peer a second as well.
void ControlCore::compareWithPeer()
{
    for (const InstanceId &peer : m_membership.randomLive(1)) {
        sendToControl(peer, ConfigurationDigest{m_keeper.configuration().bucketSums(), false});
        if (m_leaving.revision > 0) {
            sendToControl(peer, m_leaving);
        }
    }
}

// News are told a limited number of times, and an instance that has just started knows hardly anybody. So whole lists
// are exchanged with a random member now and then, often at first.
void ControlCore::exchangeMembers()
{
    for (const InstanceId &peer : m_membership.randomLive(1)) {
        sendToControl(peer, MembershipExchange{knownMembers(), false});
    }
}

std::vector<MemberFact> ControlCore::knownMembers() const
{
    std::vector<MemberFact> facts;
    for (const auto &[id, fact] : m_membership.members()) {
        // A listed member of which nothing has been heard yet is no knowledge.
        if (fact.incarnation > 0) {
            facts.push_back(fact);
        }
    }
    return facts;
}

void ControlCore::onExchange(LinkId link, const MembershipExchange &exchange)
{
    m_membership.onExchange(exchange.members, m_now);
    if (!exchange.isAnswer) {
        m_actions.emplace_back(SendOnControlLink{link, MembershipExchange{knownMembers(), true}});
    }
}

void ControlCore::onDigest(LinkId link, const ConfigurationDigest &digest)
{
    const auto &own = m_keeper.configuration().bucketSums();
    if (digest.bucketSums.size() != own.size() || digest.bucketSums == own) {
        return;
    }
    ConfigurationUpdate update;
    for (std::size_t n = 0; n < own.size(); ++n) {
        if (own[n] != digest.bucketSums[n]) {
            const auto objects = m_keeper.configuration().bucket(n);
            update.objects.insert(update.objects.end(), objects.begin(), objects.end());
        }
    }
    m_actions.emplace_back(SendOnControlLink{link, std::move(update)});
    if (!digest.isAnswer) {
        m_actions.emplace_back(SendOnControlLink{link, ConfigurationDigest{own, true}});
    }
}

// A waiting watch counts as a call, so only a few instances of each domain watch; the others learn from them.
bool ControlCore::isWatcher() const
{
    std::size_t before = 0;
    for (const auto &[id, fact] : m_membership.members()) {
        const bool isPeer = fact.domain == m_settings.domain && id != m_settings.id && fact.state == MemberState::Live && fact.incarnation > 0;
        before += isPeer && stableHash(id.value()) < stableHash(m_settings.id.value()) ? 1 : 0;
    }
    return before < WatchersPerDomain;
}

void ControlCore::startWatches()
{
    const auto isFree = [this](const Watch &watch) { return !watch.isWaiting && m_now >= watch.next; };
    if ((!isFree(m_configurationWatch) && !isFree(m_endpointWatch)) || !isWatcher()) {
        return;
    }
    if (isFree(m_configurationWatch)) {
        m_configurationWatch.isWaiting = true;
        m_actions.emplace_back(WatchConfig{m_configurationWatch.revision});
    }
    if (isFree(m_endpointWatch)) {
        m_endpointWatch.isWaiting = true;
        m_actions.emplace_back(WatchEndpoints{m_endpointWatch.revision});
    }
}

// Returns whether the watch has brought anything; the next one goes on behind it, or is made again after a while.
bool ControlCore::finishWatch(Watch &watch, bool isOk, std::uint64_t revision) const
{
    watch.isWaiting = false;
    if (isOk) {
        watch.revision = revision;
    } else {
        watch.next = m_now + WatchRetry;
    }
    return isOk;
}

void ControlCore::onWatch(const WatchResult &result)
{
    if (finishWatch(m_configurationWatch, result.isOk, result.revision)) {
        m_keeper.onWritten(result.values);
        pumpKeeper();
    }
}

void ControlCore::onEndpointChanges(const EndpointChanges &changes)
{
    if (!finishWatch(m_endpointWatch, changes.isOk, changes.revision)) {
        return;
    }
    if (changes.isSnapshot) {
        m_watchedLeaving.clear();
    }
    for (const EndpointId &id : changes.removed) {
        m_watchedLeaving.erase(id);
    }
    for (const EndpointEntry &entry : changes.updated) {
        if (entry.isLeaving) {
            m_watchedLeaving.insert(entry.id);
        } else {
            m_watchedLeaving.erase(entry.id);
        }
    }
    const EndpointsLeaving leaving{{m_watchedLeaving.begin(), m_watchedLeaving.end()}, changes.revision};
    if (adoptLeaving(leaving)) {
        tellDomain(leaving);
    }
}

// Returns whether it differs from what was known. Another instance's watch may be ahead of this one's.
bool ControlCore::adoptLeaving(const EndpointsLeaving &leaving)
{
    if (leaving.revision <= m_leaving.revision) {
        return false;
    }
    const bool isNews = leaving.endpoints != m_leaving.endpoints;
    m_leaving = leaving;
    if (isNews) {
        logChange("leaving-endpoints", "count={} revision={}", leaving.endpoints.size(), leaving.revision);
        if (m_schedulerLink) {
            m_actions.emplace_back(SendOnControlLink{*m_schedulerLink, leaving});
        }
    }
    return isNews;
}

// Leaving endpoints get nothing new after seconds, so a watcher tells all for whom it watches.
void ControlCore::tellDomain(const PeerMessage &message)
{
    for (const auto &[id, fact] : m_membership.members()) {
        if (id != m_settings.id && fact.domain == m_settings.domain && fact.state == MemberState::Live) {
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
    publishSelf();
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
    const SubmissionId id = m_keeper.submit(std::move(ticket), m_now);
    m_tickets[id] = std::move(onDecided);
    pumpKeeper();
}

void ControlCore::pumpKeeper()
{
    m_keeper.advance(m_now);
    for (StoreOperation &operation : m_keeper.takeOperations()) {
        m_actions.emplace_back(CallConfigStore{std::move(operation)});
    }
    for (TicketDecision &decision : m_keeper.takeDecisions()) {
        const auto it = m_tickets.find(decision.id);
        if (it != m_tickets.end()) {
            it->second(std::move(decision.result));
            m_tickets.erase(it);
        }
    }
    spreadNews();
}

void ControlCore::onStoreReply(const StoreReply &reply)
{
    m_keeper.onReply(reply, m_now);
    pumpKeeper();
}

nlohmann::json ControlCore::ownStatus() const
{
    nlohmann::json members = nlohmann::json::object();
    for (const auto &[id, fact] : m_membership.members()) {
        members[id.value()] = memberStateName(fact.state);
    }
    nlohmann::json shards = nlohmann::json::object();
    for (const OwnedShard &owned : m_report.shards) {
        shards[std::to_string(owned.shard.value())] = owned.fence;
    }
    const auto fingerprint = m_keeper.configuration().fingerprint();
    return {{"instance", m_settings.id},
            {"domain", m_settings.domain},
            {"draining", m_isDraining || m_report.isDraining},
            {"scheduler", m_schedulerLink.has_value()},
            {"configuration", fmt::format("{:016x}", fingerprint)},
            {"scheduler_configuration", fmt::format("{:016x}", m_report.fingerprint)},
            {"shards", shards},
            {"members", members}};
}

void ControlCore::collectStatus(StatusHandler onStatus)
{
    const RequestNumber request = ++m_lastRequest;
    PendingStatus &pending = m_statuses[request];
    pending.handler = std::move(onStatus);
    pending.deadline = m_now + QueryTimeout;
    pending.replies.push_back(ownStatus());
    for (const auto &[id, fact] : m_membership.members()) {
        if (id != m_settings.id && fact.state != MemberState::Dead) {
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
    const auto it = m_statuses.find(reply.request);
    if (it == m_statuses.end()) {
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
    auto node = m_statuses.extract(request);
    PendingStatus &pending = node.mapped();
    pending.handler({{"instances", pending.replies}, {"silent", pending.missing}});
}

void ControlCore::explainProgram(const ProgramId &program, ExplanationHandler onExplained)
{
    std::map<InstanceId, MemberFact> members;
    for (const MemberFact &fact : membershipUpdate().members) {
        members.emplace(fact.instance, fact);
    }
    const auto shard = shardOf(program);
    const auto owner = shard ? claimedOwner(*shard, members) : std::nullopt;
    if (!owner) {
        onExplained(failure(ErrorKind::UnknownProgram, "nobody is known to own the program's shard"));
        return;
    }
    const RequestNumber request = ++m_lastRequest;
    m_explanations[request] = {std::move(onExplained), m_now + QueryTimeout};
    m_actions.emplace_back(SendToControlPeer{members.at(*owner).schedulerAddress, ExplainProgram{request, program}});
}

void ControlCore::expire()
{
    std::vector<RequestNumber> late;
    for (const auto &[request, pending] : m_statuses) {
        if (m_now >= pending.deadline) {
            late.push_back(request);
        }
    }
    for (const RequestNumber request : late) {
        finishStatus(request);
    }
    for (auto it = m_explanations.begin(); it != m_explanations.end();) {
        if (m_now >= it->second.deadline) {
            it->second.handler(failure(ErrorKind::OwnerUnreachable, "the owner of the program does not answer"));
            it = m_explanations.erase(it);
        } else {
            ++it;
        }
    }
}

void ControlCore::onTimer()
{
    m_membership.advance(m_now);
    for (GossipSend &send : m_membership.takeSends()) {
        const auto it = m_overrides.find(send.to);
        const std::string address = it == m_overrides.end() ? send.address : it->second.gossip.text();
        m_actions.emplace_back(SendGossip{address, std::move(send.message)});
    }
    publishMembers();
    if (!m_keeper.hasRead() && isDue(m_nextRead, ReadRetryPeriod)) {
        m_keeper.readAll(m_now);
    }
    startWatches();
    m_startedAt = m_startedAt.value_or(m_now);
    if (isDue(m_nextExchange, m_now - *m_startedAt < StartTime ? StartExchangePeriod : ExchangePeriod)) {
        exchangeMembers();
    }
    if (isDue(m_nextComparison, ComparisonPeriod)) {
        compareWithPeer();
    }
    expire();
    pumpKeeper();
}

std::size_t ControlCore::liveMembers() const
{
    const auto &members = m_membership.members();
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto &item) { return item.second.state == MemberState::Live; }));
}

const Configuration &ControlCore::configuration() const
{
    return m_keeper.configuration();
}

std::vector<ControlAction> ControlCore::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace flamingo

#include "serving/quotaledger.h"

#include <algorithm>
#include <iterator>

namespace flamingo
{

namespace
{
/// Of an instance that isn't the home or doesn't know when it will grant.
constexpr Milliseconds NotReadyRetryAfter{1000};
/// One part in this many of what is left is granted ahead of need, so that one instance doesn't take the last requests of the others.
constexpr int AheadDivisor = 4;

/// Between the starts of instances that are started together, with the differences of their clocks.
constexpr Milliseconds StartTogetherTime{5000};

std::vector<QuotaTransfer> valuesOf(const std::map<InstanceId, QuotaTransfer> &transfers)
{
    std::vector<QuotaTransfer> values;
    values.reserve(transfers.size());
    for (const auto &[home, transfer] : transfers) {
        values.push_back(transfer);
    }
    return values;
}
} // namespace

QuotaLedger::QuotaLedger(const MemberDirectory &members, IncarnationId self, QuotaSettings settings, OwnLimit ownLimit, Instant startedAt)
    : m_members(members)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_ownLimit(std::move(ownLimit))
    , m_unawareSince(startedAt)
    , m_readyAt(startedAt)
    , m_olderListsEndAt(startedAt)
{
}

void QuotaLedger::setFirstStart()
{
    m_isFirstStart = true;
}

// What was handed over before an instance lost its place on the list may be outdated.
void QuotaLedger::setRegistering(Instant now)
{
    if (m_isRegistered) {
        m_unawareSince = now;
        m_isFirstStart = false;
    }
    m_isRegistered = false;
}

// Without a place on the list until lately, the earlier homes may go on by a list that doesn't have this instance.
void QuotaLedger::setRegistered(EarlierEntry entry, const std::optional<EarlierRun> &earlierRun, Instant now)
{
    m_isRegistered = true;
    m_earlierEntry = entry;
    m_readyAt = std::max(m_readyAt, now + m_settings.span());
    const bool wasListed = entry == EarlierEntry::Listed && earlierRun;
    const Milliseconds listedFor = wasListed ? std::max(Milliseconds(0), earlierRun->age) : Milliseconds(0);
    m_olderListsEndAt = now + m_settings.span() + MaxQuotaListAge - listedFor;
    m_earlierStartTimeMs = wasListed ? std::make_optional(earlierRun->startTimeMs) : std::nullopt;
    m_earlierHomes.clear();
    updateEarlierHomes(now);
}

// Where all have been started together, as at the first start, no home was there before this instance. One that was there has ended once its
// machine has started anew or has left the list; what it granted until then has left the span a span later.
void QuotaLedger::updateEarlierHomes(Instant now)
{
    if (!m_earlierStartTimeMs) {
        m_mayHaveEarlierHomes = true;
        return;
    }
    std::map<InstanceId, EarlierHome> earlier;
    for (const MemberRecord &member : m_members.listedInstances()) {
        const auto startedAt = startTimeMs(member.incarnation);
        const bool isEarlier = !startedAt || *startedAt < *m_earlierStartTimeMs - StartTogetherTime.count();
        const auto known = m_earlierHomes.find(member.id);
        const bool mayRunElsewhere = known != m_earlierHomes.end() && known->second.address.text() != member.peerAddress.text();
        if (member.id != m_members.self() && (isEarlier || mayRunElsewhere)) {
            earlier[member.id] = isEarlier ? EarlierHome{member.incarnation, member.peerAddress} : known->second;
        }
    }
    const bool hasOneEnded = std::any_of(m_earlierHomes.begin(), m_earlierHomes.end(), [&](const auto &it) {
        const auto present = earlier.find(it.first);
        return present == earlier.end() || present->second.incarnation != it.second.incarnation;
    });
    if (hasOneEnded) {
        m_readyAt = std::max(m_readyAt, now + m_settings.span());
    }
    m_earlierHomes = std::move(earlier);
    m_mayHaveEarlierHomes = !m_earlierHomes.empty();
}

void QuotaLedger::setIsolated(bool isIsolated)
{
    m_isIsolated = isIsolated;
}

bool QuotaLedger::isListFresh(Instant now) const
{
    return m_listConfirmedAt && now - *m_listConfirmedAt <= MaxQuotaListAge;
}

// While the list was outdated another instance may have become home and left again. It had left the list before the confirmation.
void QuotaLedger::onListConfirmed(Instant confirmedAt, Instant now)
{
    if (!isListFresh(now)) {
        m_readyAt = std::max(m_readyAt, now + m_settings.span());
        if (m_listConfirmedAt) {
            m_unawareSince = now;
            m_isFirstStart = false;
        }
    }
    m_listConfirmedAt = std::max(m_listConfirmedAt.value_or(confirmedAt), confirmedAt);
}

bool QuotaLedger::isHome(const QuotaPartition &partition) const
{
    const MemberRecord *listed = m_members.find(m_members.self());
    return listed && listed->incarnation == m_self && m_members.listedHome(partition.key()) == m_members.self();
}

Milliseconds QuotaLedger::timeUntilComplete(const QuotaPartition &id, const Partition *partition, Instant now) const
{
    const auto isHandedOver = [&](const auto &matches) { return partition && std::any_of(partition->handovers.begin(), partition->handovers.end(), matches); };
    Instant readyAt = now;
    const bool isNothingBefore = m_isFirstStart && m_earlierEntry == EarlierEntry::None;
    if (!isNothingBefore && !isHandedOver([&](const Handover &it) { return it.at >= m_unawareSince; })) {
        readyAt = std::max(readyAt, m_mayHaveEarlierHomes ? std::max(m_readyAt, m_olderListsEndAt) : m_readyAt);
    }
    for (const FormerMember &former : m_formerMembers) {
        // An older one may be from an earlier time at which the same incarnation was the home.
        const auto tellsItsGrants = [&](const Handover &it) {
            return it.at >= former.leftAt || (it.from == former.incarnation && former.leftAt - it.at <= MaxQuotaListAge);
        };
        if (former.readyAt > readyAt && m_members.outranksSelf(id.key(), former.id) && !isHandedOver(tellsItsGrants)) {
            readyAt = former.readyAt;
        }
    }
    return std::chrono::ceil<Milliseconds>(readyAt - now);
}

bool QuotaLedger::isComplete(const QuotaPartition &id, const Partition &partition, Instant now) const
{
    return m_isRegistered && isListFresh(now) && timeUntilComplete(id, &partition, now).count() == 0;
}

// One that takes itself off the list has granted nothing since; one that is presumed dead may go on by an older list.
void QuotaLedger::recordFormerMembers(Instant now)
{
    const auto isOver = [&](const FormerMember &it) { return it.readyAt <= now; };
    m_formerMembers.erase(std::remove_if(m_formerMembers.begin(), m_formerMembers.end(), isOver), m_formerMembers.end());
    std::map<InstanceId, ListedMember> listed;
    for (const MemberRecord &member : m_members.listedInstances()) {
        if (member.id != m_members.self()) {
            listed[member.id] = {member.incarnation, member.isPresumedDead};
        }
    }
    const Instant afterSpan = now + m_settings.span();
    for (const auto &[id, member] : m_listed) {
        if (!member.isPresumedDead && listed.count(id) == 0) {
            m_formerMembers.push_back({id, member.incarnation, now, afterSpan});
        }
    }
    for (const auto &[id, member] : listed) {
        const auto known = m_listed.find(id);
        // How long ago is unknown of one that is presumed dead on the first list.
        if (member.isPresumedDead && (known == m_listed.end() || !known->second.isPresumedDead)) {
            m_formerMembers.push_back({id, member.incarnation, now, afterSpan + MaxQuotaListAge});
        }
    }
    m_listed = std::move(listed);
    if (m_isRegistered) {
        updateEarlierHomes(now);
    }
}

std::vector<QuotaTransfer> QuotaLedger::onMembersChanged(Instant now)
{
    recordFormerMembers(now);
    std::map<InstanceId, QuotaTransfer> transfers;
    for (auto it = m_partitions.begin(); it != m_partitions.end();) {
        Partition &partition = it->second;
        const bool wasHome = partition.isHome;
        partition.isHome = isHome(it->first);
        if (!wasHome || partition.isHome) {
            ++it;
            continue;
        }
        const auto home = m_members.listedHome(it->first.key());
        if (home && *home != m_members.self() && isComplete(it->first, partition, now)) {
            addToTransfers(transfers, *home, it->first, partition, now);
        }
        it = m_partitions.erase(it);
    }
    return valuesOf(transfers);
}

std::vector<QuotaTransfer> QuotaLedger::beginDrain(Instant now)
{
    std::map<InstanceId, QuotaTransfer> transfers;
    if (!std::exchange(m_isDraining, true)) {
        for (const auto &[id, partition] : m_partitions) {
            const auto homes = m_members.rankedOtherInstances(id.key());
            if (partition.isHome && !homes.empty() && isComplete(id, partition, now)) {
                addToTransfers(transfers, homes.front(), id, partition, now);
            }
        }
    }
    m_partitions.clear();
    return valuesOf(transfers);
}

void QuotaLedger::addToTransfers(std::map<InstanceId, QuotaTransfer> &transfers,
                                 const InstanceId &home,
                                 const QuotaPartition &id,
                                 const Partition &partition,
                                 Instant now) const
{
    const MemberRecord *member = m_members.find(home);
    if (!member) {
        return;
    }
    QuotaTransfer &transfer = transfers[home];
    transfer.from = m_self;
    transfer.to = member->incarnation;
    GrantWindow window = partition.window;
    window.expire(m_settings.span(), now);
    transfer.partitions.push_back({id, partition.limit, window.agedGrants(now)});
}

bool QuotaLedger::accept(const QuotaTransfer &transfer, Instant now)
{
    if (transfer.to != m_self || m_isDraining) {
        return false;
    }
    for (const TransferredPartition &it : transfer.partitions) {
        Partition &partition = m_partitions[it.partition];
        partition.isHome = partition.isHome || isHome(it.partition);
        partition.usedAt = now;
        partition.handovers.push_back({transfer.from, now});
        updateLimit(partition, it.limit);
        for (const AgedGrant &grant : it.grants) {
            partition.window.add(grant, now);
        }
        partition.window.expire(m_settings.span(), now);
    }
    return true;
}

void QuotaLedger::updateLimit(Partition &partition, const QuotaLimit &limit) const
{
    if (limit.version >= partition.limit.version) {
        partition.limit = limit;
    }
}

QuotaLease QuotaLedger::grant(const QuotaLeaseRequest &request, Instant now)
{
    const auto known = m_partitions.find(request.partition);
    if (request.home == m_self && known != m_partitions.end()) {
        for (const ReturnedGrant &unused : request.unused) {
            known->second.window.remove(unused);
        }
    }
    const QuotaLease notReady{QuotaLease::Outcome::NotReady, 0, 0, NotReadyRetryAfter};
    if (request.home != m_self || m_isDraining || m_isIsolated || !m_isRegistered || !isListFresh(now) || !isHome(request.partition)) {
        return notReady;
    }
    const Milliseconds wait = timeUntilComplete(request.partition, known == m_partitions.end() ? nullptr : &known->second, now);
    if (wait.count() > 0) {
        return {QuotaLease::Outcome::NotReady, 0, 0, wait};
    }
    Partition &partition = m_partitions[request.partition];
    partition.isHome = true;
    partition.usedAt = now;
    updateLimit(partition, request.limit);
    if (const auto ownLimit = m_ownLimit(request.partition.workspace)) {
        updateLimit(partition, *ownLimit);
    }
    partition.window.expire(m_settings.span(), now);
    const int limit = partition.limit.requestsPerSecond > 0 ? m_settings.partitionLimit(partition.limit, request.partition.index) : request.wanted;
    const int available = std::max(0, limit - (partition.limit.requestsPerSecond > 0 ? partition.window.sum() : 0));
    const int needed = std::min(request.needed, available);
    const int ahead = std::min(std::max(0, request.wanted - request.needed), (available - needed) / AheadDivisor);
    QuotaLease lease;
    lease.granted = needed + ahead;
    lease.outcome = lease.granted > 0 ? QuotaLease::Outcome::Granted : QuotaLease::Outcome::Denied;
    if (lease.granted > 0) {
        lease.slot = partition.window.add(lease.granted, now);
    }
    if (needed < request.needed || lease.granted == 0) {
        lease.retryAfter = partition.window.timeUntilBelow(limit, m_settings.span(), now);
    }
    return lease;
}

// Transfers count for as long as an earlier home may act on an older list.
void QuotaLedger::removeIdle(Instant now)
{
    for (auto it = m_partitions.begin(); it != m_partitions.end();) {
        it = now - it->second.usedAt > m_settings.span() + MaxQuotaListAge ? m_partitions.erase(it) : std::next(it);
    }
}

std::size_t QuotaLedger::partitionCount() const
{
    return m_partitions.size();
}

} // namespace flamingo

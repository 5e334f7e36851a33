#include "serving/quotaleases.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds DemandSlot{100};
/// Below this many requests a second, leases asked ahead would mostly expire unused.
constexpr double MinDemandForAhead = 4;
/// A lease covers the demand of this time, well within its validity.
constexpr double AheadSeconds = 0.3;
/// The next one is asked for when what is left covers the demand of this time, longer than a call takes.
constexpr double RenewSeconds = 0.12;
/// What is left of a lease this long before its end isn't counted on, and is returned with the next request.
constexpr Milliseconds ReturnMargin{80};
/// Not longer, since another instance may return what it doesn't use, and the home may change.
constexpr Milliseconds MaxDeniedTime{250};
constexpr Milliseconds MinUnusableTime{20};
constexpr Milliseconds UnansweredTime{1000};
/// After this long without a request a workspace is forgotten.
constexpr Milliseconds IdleTime{10000};
} // namespace

void QuotaLeases::Demand::advance(Instant now)
{
    const std::int64_t slot = now.time_since_epoch() / DemandSlot;
    const std::int64_t steps = std::min<std::int64_t>(slot - m_newestSlot, Slots);
    for (std::int64_t n = 1; n <= steps; ++n) {
        int &count = m_counts[static_cast<std::size_t>((slot - steps + n) % Slots)];
        m_sum -= std::exchange(count, 0);
    }
    m_newestSlot = std::max(m_newestSlot, slot);
}

void QuotaLeases::Demand::add(Instant now)
{
    advance(now);
    ++m_counts[static_cast<std::size_t>(m_newestSlot % Slots)];
    ++m_sum;
}

double QuotaLeases::Demand::perSecond(Instant now)
{
    advance(now);
    return m_sum;
}

QuotaLeases::QuotaLeases(InstanceId self, Hooks hooks)
    : m_self(std::move(self))
    , m_hooks(std::move(hooks))
{
}

void QuotaLeases::acquire(const Workspace &workspace, ConfigurationVersion version, Instant now, VerdictHandler onVerdict)
{
    Entry &entry = m_entries[workspace.id];
    if (version >= entry.limit.version) {
        const bool isChanged = entry.limit.requestsPerSecond != workspace.requestsPerSecond || entry.limit.burst != workspace.burst;
        entry.limit = {version, workspace.requestsPerSecond, workspace.burst};
        if (isChanged) {
            entry.partitions = {};
        }
    }
    entry.usedAt = now;
    entry.demand.add(now);
    if (entry.waiters.empty() && spend(entry, now)) {
        onVerdict({});
    } else {
        entry.waiters.push_back({std::move(onVerdict), now});
    }
    proceed(workspace.id, entry, now);
}

void QuotaLeases::dropExpired(Entry &entry, Instant now)
{
    while (!entry.leases.empty() && (entry.leases.front().count == 0 || entry.leases.front().expiresAt <= now)) {
        entry.leases.pop_front();
    }
}

bool QuotaLeases::spend(Entry &entry, Instant now)
{
    dropExpired(entry, now);
    if (entry.leases.empty()) {
        return false;
    }
    --entry.leases.front().count;
    return true;
}

void QuotaLeases::serveWaiters(Entry &entry, Instant now)
{
    while (!entry.waiters.empty() && spend(entry, now)) {
        const VerdictHandler onVerdict = std::move(entry.waiters.front().onVerdict);
        entry.waiters.pop_front();
        onVerdict({});
    }
}

int QuotaLeases::missingAhead(Entry &entry, Instant now)
{
    const double demand = entry.demand.perSecond(now);
    if (demand < MinDemandForAhead) {
        return 0;
    }
    dropExpired(entry, now);
    int held = 0;
    for (const Lease &lease : entry.leases) {
        held += lease.expiresAt - now > ReturnMargin ? lease.count : 0;
    }
    return held >= demand * RenewSeconds ? 0 : static_cast<int>(std::ceil(demand * AheadSeconds)) - held;
}

// Each instance begins with another partition, which spreads the load over the homes.
std::optional<int> QuotaLeases::choosePartition(const WorkspaceId &workspace, const Entry &entry, Instant now) const
{
    const auto first = stableHash(workspace.value(), stableHash(m_self.value())) % QuotaPartitionCount;
    const unsigned asked = entry.waiters.empty() ? 0 : entry.waiters.front().askedPartitions;
    for (std::uint64_t n = 0; n < QuotaPartitionCount; ++n) {
        const auto partition = static_cast<int>((first + n) % QuotaPartitionCount);
        const PartitionState &state = entry.partitions[static_cast<std::size_t>(partition)];
        const Instant askableAt = entry.waiters.empty() ? std::max(state.usableAt, state.aheadAt) : state.usableAt;
        if (now >= askableAt && (asked & (1U << static_cast<unsigned>(partition))) == 0) {
            return partition;
        }
    }
    return std::nullopt;
}

// The oldest waiter that no further home can help is refused; the next ones may have come later and have homes left to ask.
void QuotaLeases::proceed(const WorkspaceId &workspace, Entry &entry, Instant now)
{
    while (!entry.isAsking) {
        const int needed = static_cast<int>(entry.waiters.size());
        const int ahead = missingAhead(entry, now);
        if (needed == 0 && ahead <= 0) {
            return;
        }
        const auto partition = choosePartition(workspace, entry, now);
        if (partition) {
            ask(workspace, entry, *partition, needed, needed + std::max(0, ahead), now);
        } else if (needed == 0) {
            return;
        } else {
            const Waiter waiter = std::move(entry.waiters.front());
            entry.waiters.pop_front();
            waiter.onVerdict(refusal(entry, waiter, now));
        }
    }
}

QuotaVerdict QuotaLeases::refusal(const Entry &entry, const Waiter &waiter, Instant now)
{
    std::optional<Instant> grantAt;
    std::optional<Instant> readyAt;
    for (std::size_t n = 0; n < entry.partitions.size(); ++n) {
        const PartitionState &partition = entry.partitions[n];
        if ((waiter.askedPartitions & (1U << n)) != 0 || now < partition.usableAt) {
            std::optional<Instant> &earliest = partition.hasDenied ? grantAt : readyAt;
            earliest = std::min(earliest.value_or(partition.retryAt), partition.retryAt);
        }
    }
    const Instant retryAt = grantAt ? *grantAt : readyAt.value_or(now + UnansweredTime);
    return {grantAt ? QuotaVerdict::Outcome::Exceeded : QuotaVerdict::Outcome::Unsure,
            std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(retryAt - now))};
}

// Returned requests are no longer spent, whether or not the home gets the message.
std::vector<ReturnedGrant> QuotaLeases::takeUnused(Entry &entry, const IncarnationId &home, int partition, Instant now)
{
    std::vector<ReturnedGrant> unused;
    for (Lease &lease : entry.leases) {
        const bool isEnding = lease.expiresAt > now && lease.expiresAt - now <= ReturnMargin;
        if (isEnding && lease.count > 0 && lease.home == home && lease.partition == partition) {
            unused.push_back({lease.slot, std::exchange(lease.count, 0)});
        }
    }
    dropExpired(entry, now);
    return unused;
}

void QuotaLeases::ask(const WorkspaceId &workspace, Entry &entry, int partition, int needed, int wanted, Instant now)
{
    QuotaLeaseRequest request;
    request.partition = {workspace, partition};
    request.limit = entry.limit;
    request.needed = needed;
    request.wanted = wanted;
    entry.isAsking = true;
    const auto home = m_hooks.homeOf(request.partition);
    if (!home) {
        onAnswer(workspace, request, now, std::nullopt, now);
        return;
    }
    request.home = *home;
    request.unused = takeUnused(entry, *home, partition, now);
    m_hooks.ask(request, now, [this, workspace, request, sentAt = now](const std::optional<QuotaLease> &lease, Instant at) {
        onAnswer(workspace, request, sentAt, lease, at);
        const auto it = m_entries.find(workspace);
        if (it != m_entries.end()) {
            proceed(workspace, it->second, at);
        }
    });
}

// A workspace isn't forgotten while it asks.
void QuotaLeases::onAnswer(const WorkspaceId &workspace, const QuotaLeaseRequest &request, Instant sentAt, const std::optional<QuotaLease> &lease, Instant now)
{
    Entry &entry = m_entries[workspace];
    entry.isAsking = false;
    const Instant expiresAt = sentAt + QuotaLeaseValidity;
    const bool isUsable = lease && lease->outcome != QuotaLease::Outcome::NotReady && now < expiresAt;
    PartitionState &partition = entry.partitions[static_cast<std::size_t>(request.partition.index)];
    // A home that grants nothing ahead may have a few requests left for those that wait, and then gives no time to retry after.
    const bool isOnlyAheadDenied = isUsable && request.needed == 0 && lease->granted == 0 && lease->retryAfter.count() == 0;
    if (isOnlyAheadDenied) {
        partition.aheadAt = now + MinUnusableTime;
    } else if (!isUsable || lease->granted < std::max(1, request.needed)) {
        const Milliseconds retryAfter = lease ? lease->retryAfter : UnansweredTime;
        partition.hasDenied = isUsable;
        partition.retryAt = now + retryAfter;
        partition.usableAt = now + std::clamp(retryAfter, MinUnusableTime, isUsable ? MaxDeniedTime : UnansweredTime);
        for (Waiter &waiter : entry.waiters) {
            waiter.askedPartitions |= 1U << static_cast<unsigned>(request.partition.index);
        }
    }
    if (isUsable && lease->granted > 0) {
        entry.leases.push_back({request.partition.index, request.home, lease->slot, lease->granted, expiresAt});
    }
    serveWaiters(entry, now);
    while (!entry.waiters.empty() && now - entry.waiters.front().since >= MaxWait) {
        const Waiter waiter = std::move(entry.waiters.front());
        entry.waiters.pop_front();
        waiter.onVerdict(refusal(entry, waiter, now));
    }
}

void QuotaLeases::removeIdle(Instant now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const Entry &entry = it->second;
        const bool isIdle = !entry.isAsking && entry.waiters.empty() && now - entry.usedAt > IdleTime;
        it = isIdle ? m_entries.erase(it) : std::next(it);
    }
}

std::size_t QuotaLeases::workspaceCount() const
{
    return m_entries.size();
}

} // namespace flamingo

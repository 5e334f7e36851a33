#pragma once

#include "serving/quotamessages.h"
#include "serving/workspace.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace flamingo
{

/// Whether a request is within its workspace's limit.
struct QuotaVerdict {
    enum class Outcome {
        Allowed,
        Exceeded, ///< The homes that have answered have nothing left.
        Unsure, ///< No home has answered that it knows.
    };

    Outcome outcome = Outcome::Allowed;
    Milliseconds retryAfter{0}; ///< Unless it is allowed.
};

/// The leases that this instance holds of workspaces' limits. A request spends a lease at once, or waits for one; requests that wait share
/// a call. A workspace with much demand asks ahead, so that its requests rarely wait; one with little demand asks for one request.
/// Answers the load of hot workspaces whose callers all reach a few instances.
class QuotaLeases
{
public:
    using VerdictHandler = std::function<void(const QuotaVerdict &)>;
    using AnswerHandler = std::function<void(const std::optional<QuotaLease> &lease, Instant now)>;

    struct Hooks {
        /// The present home of a partition; nothing if it can't be reached, which is as good as no answer.
        std::function<std::optional<IncarnationId>(const QuotaPartition &)> homeOf;
        /// Sends the request to the home that it names. The handler is called once, possibly before this returns; without a lease if the
        /// home doesn't answer in time.
        std::function<void(const QuotaLeaseRequest &, Instant now, AnswerHandler)> ask;
    };

    /// A request waits for at most as long as it takes to ask the homes of all partitions.
    static constexpr Milliseconds AnswerTimeout{300};
    static constexpr Milliseconds MaxWait = AnswerTimeout * QuotaPartitionCount;

    /// All times are of suspendAwareNow().
    QuotaLeases(InstanceId self, Hooks hooks);

    /// Decides about a request of the workspace, as this version of the configuration has it. The handler is called once, possibly
    /// before this returns.
    void acquire(const Workspace &workspace, ConfigurationVersion version, Instant now, VerdictHandler onVerdict);

    /// Forgets workspaces without demand.
    void removeIdle(Instant now);

    std::size_t workspaceCount() const;

private:
    struct Lease {
        int partition = 0;
        IncarnationId home;
        std::int64_t slot = 0;
        int count = 0;
        Instant expiresAt;
    };
    struct Waiter {
        VerdictHandler onVerdict;
        Instant since;
        unsigned askedPartitions = 0; ///< One bit for each partition that hasn't granted what was needed since then.
    };
    /// What a partition's home has answered lately.
    struct PartitionState {
        Instant usableAt{}; ///< It isn't asked before.
        Instant aheadAt{}; ///< It isn't asked before unless requests wait.
        Instant retryAt{}; ///< When it may grant the next request.
        bool hasDenied = false; ///< Whether its last answer was that nothing is left.
    };
    /// Requests of the last second.
    class Demand
    {
    public:
        void add(Instant now);
        double perSecond(Instant now);

    private:
        static constexpr int Slots = 10;
        void advance(Instant now);

        std::array<int, Slots> m_counts{};
        std::int64_t m_newestSlot = 0;
        int m_sum = 0;
    };
    struct Entry {
        QuotaLimit limit;
        std::deque<Lease> leases; ///< In the order in which they expire.
        std::deque<Waiter> waiters;
        std::array<PartitionState, QuotaPartitionCount> partitions;
        Demand demand;
        Instant usedAt;
        bool isAsking = false;
    };

    static bool spend(Entry &entry, Instant now);
    static void dropExpired(Entry &entry, Instant now);
    static int missingAhead(Entry &entry, Instant now);
    static QuotaVerdict refusal(const Entry &entry, const Waiter &waiter, Instant now);
    void serveWaiters(Entry &entry, Instant now);
    void proceed(const WorkspaceId &workspace, Entry &entry, Instant now);
    std::optional<int> choosePartition(const WorkspaceId &workspace, const Entry &entry, Instant now) const;
    void ask(const WorkspaceId &workspace, Entry &entry, int partition, int needed, int wanted, Instant now);
    void onAnswer(const WorkspaceId &workspace, const QuotaLeaseRequest &request, Instant sentAt, const std::optional<QuotaLease> &lease, Instant now);
    static std::vector<ReturnedGrant> takeUnused(Entry &entry, const IncarnationId &home, int partition, Instant now);

    InstanceId m_self;
    Hooks m_hooks;
    std::map<WorkspaceId, Entry> m_entries;
};

} // namespace flamingo

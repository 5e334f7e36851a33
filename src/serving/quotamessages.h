#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/incarnationid.h"
#include "serving/route.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// The limit of a workspace is split into this many partitions, each of which has a home of its own.
constexpr int QuotaPartitionCount = 4;

/// A lease is valid for this long from the sending of the request for it.
constexpr Milliseconds QuotaLeaseValidity{500};

/// One part of a workspace's limit.
struct QuotaPartition {
    WorkspaceId workspace;
    int index = 0;

    /// The key by which MemberDirectory ranks homes. Homes are ranked for programs, so it has the type of a program's id.
    ProgramId key() const;

    friend bool operator<(const QuotaPartition &a, const QuotaPartition &b)
    {
        return a.workspace < b.workspace || (a.workspace == b.workspace && a.index < b.index);
    }
};

/// A workspace's limit with the version of the configuration that sets it.
struct QuotaLimit {
    ConfigurationVersion version;
    double requestsPerSecond = 0; ///< 0 if there is no limit.
    double burst = 0;
};

/// Unused requests of a lease, which the holder won't spend any more.
struct ReturnedGrant {
    std::int64_t slot = 0; ///< Compare QuotaLease::slot.
    int count = 0;
};

/// Asks a partition's home for a lease. It is meant for one incarnation of the home.
struct QuotaLeaseRequest {
    IncarnationId home;
    QuotaPartition partition;
    QuotaLimit limit; ///< As the sender knows it.
    int needed = 0; ///< Requests that wait.
    int wanted = 0; ///< The same and those that are expected next.
    std::vector<ReturnedGrant> unused; ///< Of earlier leases of this incarnation of the home.

    std::string encode() const;
    static std::optional<QuotaLeaseRequest> decode(const std::string &bytes);
};

/// The answer to a request for a lease.
struct QuotaLease {
    enum class Outcome {
        Granted, ///< Some requests at least.
        Denied, ///< The partition has nothing left.
        NotReady, ///< The instance isn't the partition's home, or doesn't know yet what was granted before.
    };

    Outcome outcome = Outcome::NotReady;
    int granted = 0;
    std::int64_t slot = 0; ///< The home's time slot that holds the grant; unused requests are returned with it.
    Milliseconds retryAfter{0}; ///< Unless all that was needed is granted: when the partition grants the next request at the earliest.

    std::string encode() const;
    static std::optional<QuotaLease> decode(const std::string &bytes);
};

/// Grants at one time.
struct AgedGrant {
    Milliseconds age{0}; ///< At the sending of the message; negative for a time slot that has not ended.
    int count = 0;
};

/// What was granted of a partition lately.
struct TransferredPartition {
    QuotaPartition partition;
    QuotaLimit limit;
    std::vector<AgedGrant> grants;
};

/// Tells the next home of partitions what was granted of them. The sender grants nothing of them any more.
struct QuotaTransfer {
    IncarnationId from;
    IncarnationId to;
    std::vector<TransferredPartition> partitions;

    std::string encode() const;
    static std::optional<QuotaTransfer> decode(const std::string &bytes);
};

} // namespace flamingo

#pragma once

#include "configuration/configobject.h"

#include <cstdint>
#include <map>
#include <vector>

namespace flamingo
{

/// The accepted configuration as known to this process. An object only ever moves to a higher ticket number, whatever
/// the source of the update, so merges are idempotent and may happen in any order.
class Configuration
{
public:
    /// Stores the object if its ticket is newer than that of the known state. Returns whether it was stored.
    bool merge(const ConfigObject &object);

    /// Checks that the ticket can be accepted on top of this configuration. Fails with TicketSuperseded when one of its
    /// objects has this or a newer ticket, and with TicketUnknownObject when an object refers to one that doesn't exist.
    /// Succeeds for a ticket that is already applied, so that resubmitting a ticket is idempotent.
    Result<void> validate(const Ticket &ticket) const;

    /// Whether every object of the ticket is present with the ticket's number and spec.
    bool isApplied(const Ticket &ticket) const;

    /// The spec of an object; null when the object is unknown or has been removed.
    const PoolSpec *pool(const PoolId &id) const;
    const EndpointSpec *endpoint(const EndpointId &id) const;
    const AgentSpec *agent(const AgentId &id) const;

    /// Finds the caller whose key has this SHA-256 and sets the id to the caller's; returns null when there is none.
    const CallerSpec *callerByKey(const std::string &keySha256, CallerId &id) const;

    const std::map<EndpointId, EndpointSpec> &endpoints() const;
    const std::map<ObjectKey, ConfigObject> &objects() const;

    /// Number of buckets over which objects are divided by a hash of their key. Two processes compare their bucket sums
    /// and exchange only the objects of the buckets that differ.
    static constexpr std::size_t BucketCount = 64;

    /// One checksum per bucket, over the keys and ticket numbers of its objects, so it changes with every change in the
    /// bucket. Configurations with equal sums are taken to be equal.
    const std::vector<std::uint64_t> &bucketSums() const;

    std::vector<ConfigObject> objectsInBucket(std::size_t n) const;

    /// A checksum of the whole configuration; equal for equal configurations.
    std::uint64_t fingerprint() const;

private:
    void updateIndexes(const ConfigObject &object);
    bool exists(ObjectKind kind, const std::string &id, const Ticket &ticket) const;
    Result<void> checkReferences(const ConfigObject &object, const Ticket &ticket) const;

    std::map<ObjectKey, ConfigObject> m_objects;
    std::map<PoolId, PoolSpec> m_pools;
    std::map<EndpointId, EndpointSpec> m_endpoints;
    std::map<AgentId, AgentSpec> m_agents;
    std::map<CallerId, CallerSpec> m_callers;
    std::map<std::string, CallerId> m_callerByKey;
    std::vector<std::uint64_t> m_bucketSums = std::vector<std::uint64_t>(BucketCount, 0);
};

} // namespace flamingo

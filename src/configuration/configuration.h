#pragma once

#include "configuration/configobject.h"

#include <cstdint>
#include <map>
#include <vector>

namespace flamingo
{

/// Everything that is in force, as far as this process knows. An object only ever moves to a higher ticket number,
/// wherever the news comes from, so merging is safe in any order and any number of times.
class Configuration
{
public:
    /// Takes in an object if its ticket is newer than the one known. Returns whether it was.
    bool merge(const ConfigObject &object);

    /// Whether a ticket may be accepted on top of this configuration. A ticket that is in force already is.
    Result<void> validate(const Ticket &ticket) const;

    /// Whether each object of the ticket is in force exactly as the ticket says.
    bool isApplied(const Ticket &ticket) const;

    const PoolSpec *pool(const PoolId &id) const;
    const EndpointSpec *endpoint(const EndpointId &id) const;
    const AgentSpec *agent(const AgentId &id) const;

    /// The caller whose key has this SHA-256.
    const CallerSpec *callerByKey(const std::string &keySha256, CallerId &id) const;

    const std::map<EndpointId, EndpointSpec> &endpoints() const;
    const std::map<ObjectKey, ConfigObject> &objects() const;

    /// Number of buckets into which objects are divided for comparing configurations.
    static constexpr std::size_t BucketCount = 64;

    /// One number a bucket, which changes with each change in it. Equal sums mean equal configurations.
    const std::vector<std::uint64_t> &bucketSums() const;

    std::vector<ConfigObject> objectsInBucket(std::size_t n) const;

    /// Equal for equal configurations.
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

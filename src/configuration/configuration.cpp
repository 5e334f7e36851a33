#include "configuration/configuration.h"

#include "core/digest.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
std::size_t bucketIndex(const ObjectKey &key)
{
    return stableHash(key.id, static_cast<std::uint64_t>(key.kind)) % Configuration::BucketCount;
}

std::uint64_t objectHash(const ConfigObject &object)
{
    return stableHash(object.key.id, object.ticket.value() * 8 + static_cast<std::uint64_t>(object.key.kind));
}

template<typename Id, typename Spec>
void replaceSpec(std::map<Id, Spec> &specs, const ConfigObject &object, Result<Spec> (*parse)(const nlohmann::json &))
{
    const Id id(object.key.id);
    specs.erase(id);
    if (object.spec.is_null()) {
        return;
    }
    const auto spec = parse(object.spec);
    if (spec) {
        specs.emplace(id, *spec);
    }
}

template<typename Id, typename Spec>
const Spec *findSpec(const std::map<Id, Spec> &specs, const Id &id)
{
    const auto it = specs.find(id);
    return it == specs.end() ? nullptr : &it->second;
}
} // namespace

bool Configuration::merge(const ConfigObject &object)
{
    const auto it = m_objects.find(object.key);
    if (it != m_objects.end() && it->second.ticket >= object.ticket) {
        return false;
    }
    std::uint64_t &sum = m_bucketSums[bucketIndex(object.key)];
    if (it != m_objects.end()) {
        sum -= objectHash(it->second);
    }
    sum += objectHash(object);
    m_objects.insert_or_assign(object.key, object);
    updateIndexes(object);
    return true;
}

void Configuration::updateIndexes(const ConfigObject &object)
{
    switch (object.key.kind) {
    case ObjectKind::Pool:
        replaceSpec(m_pools, object, &parsePool);
        break;
    case ObjectKind::Endpoint:
        replaceSpec(m_endpoints, object, &parseEndpoint);
        break;
    case ObjectKind::Agent:
        replaceSpec(m_agents, object, &parseAgent);
        break;
    case ObjectKind::Caller: {
        const CallerId id(object.key.id);
        const auto old = m_callers.find(id);
        if (old != m_callers.end()) {
            m_callerByKey.erase(old->second.keySha256);
        }
        replaceSpec(m_callers, object, &parseCaller);
        const auto it = m_callers.find(id);
        if (it != m_callers.end()) {
            m_callerByKey.insert_or_assign(it->second.keySha256, id);
        }
        break;
    }
    }
}

Result<void> Configuration::validate(const Ticket &ticket) const
{
    if (isApplied(ticket)) {
        return {};
    }
    for (const ConfigObject &object : ticket.objects) {
        const auto it = m_objects.find(object.key);
        if (it != m_objects.end() && it->second.ticket >= ticket.number) {
            return failure(ErrorKind::TicketSuperseded,
                           fmt::format("{} {} is at ticket {}", objectKindName(object.key.kind), object.key.id, it->second.ticket.value()));
        }
    }
    for (const ConfigObject &object : ticket.objects) {
        auto result = checkReferences(object, ticket);
        if (!result) {
            return result;
        }
    }
    return {};
}

bool Configuration::isApplied(const Ticket &ticket) const
{
    return std::all_of(ticket.objects.begin(), ticket.objects.end(), [this](const ConfigObject &object) {
        const auto it = m_objects.find(object.key);
        return it != m_objects.end() && it->second.ticket == object.ticket && it->second.spec == object.spec;
    });
}

bool Configuration::exists(ObjectKind kind, const std::string &id, const Ticket &ticket) const
{
    const auto inTicket = std::find_if(ticket.objects.begin(), ticket.objects.end(), [&](const ConfigObject &object) {
        return object.key == ObjectKey{kind, id};
    });
    if (inTicket != ticket.objects.end()) {
        return !inTicket->spec.is_null();
    }
    const auto it = m_objects.find(ObjectKey{kind, id});
    return it != m_objects.end() && !it->second.spec.is_null();
}

Result<void> Configuration::checkReferences(const ConfigObject &object, const Ticket &ticket) const
{
    if (object.spec.is_null()) {
        return {};
    }
    const auto unknownReference = [&](ObjectKind kind, const std::string &id) {
        return failure(ErrorKind::TicketUnknownObject,
                       fmt::format("{} {} names {} {}, which doesn't exist", objectKindName(object.key.kind), object.key.id, objectKindName(kind), id));
    };
    if (object.key.kind == ObjectKind::Endpoint || object.key.kind == ObjectKind::Agent) {
        const auto pool = object.spec.at("pool").get<std::string>();
        if (!exists(ObjectKind::Pool, pool, ticket)) {
            return unknownReference(ObjectKind::Pool, pool);
        }
    }
    if (object.key.kind == ObjectKind::Agent) {
        const auto agent = parseAgent(object.spec);
        for (const std::string &service : agent->services) {
            if (!exists(ObjectKind::Pool, service, ticket)) {
                return unknownReference(ObjectKind::Pool, service);
            }
        }
    }
    if (object.key.kind == ObjectKind::Caller) {
        const auto caller = parseCaller(object.spec);
        for (const std::string &agent : caller->agents) {
            if (!exists(ObjectKind::Agent, agent, ticket)) {
                return unknownReference(ObjectKind::Agent, agent);
            }
        }
    }
    return {};
}

const PoolSpec *Configuration::pool(const PoolId &id) const
{
    return findSpec(m_pools, id);
}

const EndpointSpec *Configuration::endpoint(const EndpointId &id) const
{
    return findSpec(m_endpoints, id);
}

const AgentSpec *Configuration::agent(const AgentId &id) const
{
    return findSpec(m_agents, id);
}

const CallerSpec *Configuration::callerByKey(const std::string &keySha256, CallerId &id) const
{
    const auto it = m_callerByKey.find(keySha256);
    if (it == m_callerByKey.end()) {
        return nullptr;
    }
    id = it->second;
    return findSpec(m_callers, id);
}

const std::map<EndpointId, EndpointSpec> &Configuration::endpoints() const
{
    return m_endpoints;
}

const std::map<ObjectKey, ConfigObject> &Configuration::objects() const
{
    return m_objects;
}

const std::vector<std::uint64_t> &Configuration::bucketSums() const
{
    return m_bucketSums;
}

std::vector<ConfigObject> Configuration::objectsInBucket(std::size_t n) const
{
    std::vector<ConfigObject> objects;
    for (const auto &[key, object] : m_objects) {
        if (bucketIndex(key) == n) {
            objects.push_back(object);
        }
    }
    return objects;
}

std::uint64_t Configuration::fingerprint() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t bucketSum : m_bucketSums) {
        sum += bucketSum;
    }
    return sum;
}

} // namespace flamingo

#include "configuration/configuration.h"

#include "core/digest.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
std::size_t bucketOf(const ObjectKey &key)
{
    return stableHash(key.id, static_cast<std::uint64_t>(key.kind)) % Configuration::BucketCount;
}

std::uint64_t objectSum(const ConfigObject &object)
{
    return stableHash(object.key.id, object.ticket.value() * 8 + static_cast<std::uint64_t>(object.key.kind));
}

template<typename Id, typename Spec>
void replace(std::map<Id, Spec> &specs, const ConfigObject &object, Result<Spec> (*parse)(const nlohmann::json &))
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
const Spec *lookUp(const std::map<Id, Spec> &specs, const Id &id)
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
    std::uint64_t &sum = m_bucketSums[bucketOf(object.key)];
    if (it != m_objects.end()) {
        sum -= objectSum(it->second);
    }
    sum += objectSum(object);
    m_objects.insert_or_assign(object.key, object);
    install(object);
    return true;
}

void Configuration::install(const ConfigObject &object)
{
    switch (object.key.kind) {
    case ObjectKind::Pool:
        replace(m_pools, object, &parsePool);
        break;
    case ObjectKind::Endpoint:
        replace(m_endpoints, object, &parseEndpoint);
        break;
    case ObjectKind::Agent:
        replace(m_agents, object, &parseAgent);
        break;
    case ObjectKind::Caller: {
        const CallerId id(object.key.id);
        const auto old = m_callers.find(id);
        if (old != m_callers.end()) {
            m_callerByKey.erase(old->second.keySha256);
        }
        replace(m_callers, object, &parseCaller);
        const auto it = m_callers.find(id);
        if (it != m_callers.end()) {
            m_callerByKey.insert_or_assign(it->second.keySha256, id);
        }
        break;
    }
    }
}

Result<void> Configuration::check(const Ticket &ticket) const
{
    if (holds(ticket)) {
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
        auto checked = checkReferences(object, ticket);
        if (!checked) {
            return checked;
        }
    }
    return {};
}

bool Configuration::holds(const Ticket &ticket) const
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
    const auto missing = [&](ObjectKind kind, const std::string &id) {
        return failure(ErrorKind::TicketUnknownObject,
                       fmt::format("{} {} names {} {}, which doesn't exist", objectKindName(object.key.kind), object.key.id, objectKindName(kind), id));
    };
    if (object.key.kind == ObjectKind::Endpoint || object.key.kind == ObjectKind::Agent) {
        const auto pool = object.spec.at("pool").get<std::string>();
        if (!exists(ObjectKind::Pool, pool, ticket)) {
            return missing(ObjectKind::Pool, pool);
        }
    }
    if (object.key.kind == ObjectKind::Agent) {
        const auto agent = parseAgent(object.spec);
        for (const std::string &service : agent->services) {
            if (!exists(ObjectKind::Pool, service, ticket)) {
                return missing(ObjectKind::Pool, service);
            }
        }
    }
    if (object.key.kind == ObjectKind::Caller) {
        const auto caller = parseCaller(object.spec);
        for (const std::string &agent : caller->agents) {
            if (!exists(ObjectKind::Agent, agent, ticket)) {
                return missing(ObjectKind::Agent, agent);
            }
        }
    }
    return {};
}

const PoolSpec *Configuration::pool(const PoolId &id) const
{
    return lookUp(m_pools, id);
}

const EndpointSpec *Configuration::endpoint(const EndpointId &id) const
{
    return lookUp(m_endpoints, id);
}

const AgentSpec *Configuration::agent(const AgentId &id) const
{
    return lookUp(m_agents, id);
}

const CallerSpec *Configuration::callerByKey(const std::string &keySha256, CallerId &id) const
{
    const auto it = m_callerByKey.find(keySha256);
    if (it == m_callerByKey.end()) {
        return nullptr;
    }
    id = it->second;
    return lookUp(m_callers, id);
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

std::vector<ConfigObject> Configuration::bucket(std::size_t n) const
{
    std::vector<ConfigObject> objects;
    for (const auto &[key, object] : m_objects) {
        if (bucketOf(key) == n) {
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

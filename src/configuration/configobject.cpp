#include "configuration/configobject.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <tuple>

namespace flamingo
{

namespace
{
constexpr const char *KindNames[] = {"pool", "endpoint", "agent", "caller"};
constexpr std::size_t Sha256HexLength = 64;
constexpr std::size_t MaxIdLength = 100;

/// Reads the fields of one spec and keeps the first error. A field of the spec that was never read is an error too.
class SpecReader
{
public:
    explicit SpecReader(const nlohmann::json &spec)
        : m_spec(spec)
    {
        if (!spec.is_object()) {
            m_problem = "the spec is not an object";
        }
    }

    template<typename T>
    void read(const char *name, T &value, bool isRequired = false)
    {
        m_knownFields.insert(name);
        if (!m_problem.empty()) {
            return;
        }
        const auto it = m_spec.find(name);
        if (it == m_spec.end()) {
            if (isRequired) {
                m_problem = fmt::format("{} is missing", name);
            }
            return;
        }
        try {
            value = it->template get<T>();
        } catch (const nlohmann::json::exception &) {
            m_problem = fmt::format("{} has the wrong type", name);
        }
    }

    void readMilliseconds(const char *name, Milliseconds &value)
    {
        std::int64_t ms = value.count();
        read(name, ms);
        require(ms > 0, fmt::format("{} must be above 0", name));
        value = Milliseconds(ms);
    }

    void require(bool condition, const std::string &problem)
    {
        if (m_problem.empty() && !condition) {
            m_problem = problem;
        }
    }

    template<typename T>
    Result<T> finish(T value)
    {
        for (auto it = m_spec.begin(); m_problem.empty() && it != m_spec.end(); ++it) {
            require(m_knownFields.count(it.key()) != 0, fmt::format("{} is not a known field", it.key()));
        }
        if (!m_problem.empty()) {
            return failure(ErrorKind::TicketMalformed, m_problem);
        }
        return value;
    }

private:
    const nlohmann::json &m_spec;
    std::set<std::string> m_knownFields;
    std::string m_problem;
};

bool isAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == address.size()) {
        return false;
    }
    return std::all_of(address.begin() + static_cast<std::ptrdiff_t>(colon) + 1, address.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
}

Result<OperationSpec> parseOperation(const nlohmann::json &spec)
{
    OperationSpec operation;
    SpecReader reader(spec);
    reader.read("repeatable", operation.isRepeatable);
    reader.read("cost", operation.cost);
    reader.require(operation.cost >= Tokens(0), "cost must not be negative");
    return reader.finish(operation);
}

Result<void> checkSpec(const ConfigObject &object)
{
    const auto withoutValue = [](const auto &parsed) -> Result<void> {
        if (!parsed) {
            return tl::make_unexpected(parsed.error());
        }
        return {};
    };
    switch (object.key.kind) {
    case ObjectKind::Pool:
        return withoutValue(parsePool(object.spec));
    case ObjectKind::Endpoint:
        return withoutValue(parseEndpoint(object.spec));
    case ObjectKind::Agent:
        return withoutValue(parseAgent(object.spec));
    case ObjectKind::Caller:
        return withoutValue(parseCaller(object.spec));
    }
    return failure(ErrorKind::TicketMalformed, "unknown kind");
}

Result<ConfigObject> parseObject(const nlohmann::json &json, TicketNumber number)
{
    if (!json.is_object() || !json.contains("kind") || !json.contains("id") || !json.contains("spec") || json.size() != 3) {
        return failure(ErrorKind::TicketMalformed, "an object has exactly the fields kind, id and spec");
    }
    if (!json["kind"].is_string() || !json["id"].is_string()) {
        return failure(ErrorKind::TicketMalformed, "kind and id are strings");
    }
    const auto kind = objectKindFromName(json["kind"].get<std::string>());
    if (!kind) {
        return failure(ErrorKind::TicketMalformed, "kind is none of pool, endpoint, agent, caller");
    }
    ConfigObject object{{*kind, json["id"].get<std::string>()}, number, json["spec"]};
    if (object.key.id.empty() || object.key.id.size() > MaxIdLength) {
        return failure(ErrorKind::TicketMalformed, "an id has 1 to 100 characters");
    }
    if (!object.spec.is_null()) {
        const auto result = checkSpec(object);
        if (!result) {
            return failure(ErrorKind::TicketMalformed, fmt::format("{} {}: {}", objectKindName(*kind), object.key.id, result.error().detail));
        }
    }
    return object;
}
} // namespace

const char *objectKindName(ObjectKind kind)
{
    return KindNames[static_cast<int>(kind)];
}

std::optional<ObjectKind> objectKindFromName(const std::string &name)
{
    const auto it = std::find(std::begin(KindNames), std::end(KindNames), name);
    if (it == std::end(KindNames)) {
        return std::nullopt;
    }
    return static_cast<ObjectKind>(it - std::begin(KindNames));
}

bool operator<(const ObjectKey &a, const ObjectKey &b)
{
    return std::tie(a.kind, a.id) < std::tie(b.kind, b.id);
}

bool operator==(const ObjectKey &a, const ObjectKey &b)
{
    return a.kind == b.kind && a.id == b.id;
}

Result<PoolSpec> parsePool(const nlohmann::json &spec)
{
    PoolSpec pool;
    std::string serves = "model";
    std::map<std::string, nlohmann::json> operations;
    SpecReader reader(spec);
    reader.read("serves", serves, true);
    reader.require(serves == "model" || serves == "service", "serves is \"model\" or \"service\"");
    reader.read("operations", operations);
    pool.isModel = serves == "model";
    for (const auto &[name, operationSpec] : operations) {
        const auto operation = parseOperation(operationSpec);
        reader.require(operation.has_value(), fmt::format("operation {}: {}", name, operation ? "" : operation.error().detail));
        pool.operations.emplace(name, operation.value_or(OperationSpec{}));
    }
    return reader.finish(pool);
}

Result<EndpointSpec> parseEndpoint(const nlohmann::json &spec)
{
    EndpointSpec endpoint;
    SpecReader reader(spec);
    reader.read("pool", endpoint.pool, true);
    reader.read("address", endpoint.address, true);
    reader.read("domain", endpoint.domain, true);
    reader.read("slots", endpoint.slots);
    reader.read("checks_fencing", endpoint.checksFencing);
    reader.read("leaving", endpoint.isLeaving);
    reader.require(isAddress(endpoint.address), "address is not an IP number with a port");
    reader.require(endpoint.slots > 0, "slots must be above 0");
    return reader.finish(endpoint);
}

Result<AgentSpec> parseAgent(const nlohmann::json &spec)
{
    AgentSpec agent;
    std::string priority = priorityName(agent.priority);
    SpecReader reader(spec);
    reader.read("pool", agent.pool, true);
    reader.read("services", agent.services);
    reader.read("priority", priority);
    reader.read("budget_tokens", agent.budget);
    reader.read("max_turns", agent.maxTurns);
    reader.readMilliseconds("max_duration_ms", agent.maxDuration);
    reader.readMilliseconds("idle_timeout_ms", agent.idleTimeout);
    reader.read("system_prompt", agent.systemPrompt);
    reader.require(priorityFromName(priority).has_value(), "priority is none of urgent, normal, batch");
    reader.require(agent.budget > Tokens(0), "budget_tokens must be above 0");
    agent.priority = priorityFromName(priority).value_or(PriorityClass::Normal);
    return reader.finish(agent);
}

Result<CallerSpec> parseCaller(const nlohmann::json &spec)
{
    CallerSpec caller;
    SpecReader reader(spec);
    reader.read("key_sha256", caller.keySha256, true);
    reader.read("agents", caller.agents, true);
    reader.require(caller.keySha256.size() == Sha256HexLength, "key_sha256 has 64 hexadecimal characters");
    return reader.finish(caller);
}

Result<Ticket> parseTicket(const nlohmann::json &json)
{
    if (!json.is_object() || json.size() != 2 || !json.contains("ticket") || !json.contains("objects")) {
        return failure(ErrorKind::TicketMalformed, "a ticket has exactly the fields ticket and objects");
    }
    if (!json["ticket"].is_number_unsigned() || json["ticket"].get<std::uint64_t>() == 0) {
        return failure(ErrorKind::TicketMalformed, "ticket is a whole number above 0");
    }
    if (!json["objects"].is_array() || json["objects"].empty()) {
        return failure(ErrorKind::TicketMalformed, "objects is a list of at least one object");
    }
    Ticket ticket;
    ticket.number = TicketNumber(json["ticket"].get<std::uint64_t>());
    std::set<ObjectKey> keys;
    for (const auto &item : json["objects"]) {
        auto object = parseObject(item, ticket.number);
        if (!object) {
            return tl::make_unexpected(object.error());
        }
        if (!keys.insert(object->key).second) {
            return failure(ErrorKind::TicketMalformed, fmt::format("{} stands twice", object->key.id));
        }
        ticket.objects.push_back(std::move(*object));
    }
    return ticket;
}

void to_json(nlohmann::json &json, const ConfigObject &object)
{
    json = {{"kind", objectKindName(object.key.kind)}, {"id", object.key.id}, {"ticket", object.ticket}, {"spec", object.spec}};
}

void from_json(const nlohmann::json &json, ConfigObject &object)
{
    const auto kind = objectKindFromName(json.at("kind").get<std::string>());
    object.key = {kind.value_or(ObjectKind::Pool), json.at("id").get<std::string>()};
    object.ticket = json.at("ticket").get<TicketNumber>();
    object.spec = json.at("spec");
}

void to_json(nlohmann::json &json, const Ticket &ticket)
{
    json = {{"ticket", ticket.number}, {"objects", ticket.objects}};
}

} // namespace flamingo

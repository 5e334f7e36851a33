#pragma once

#include "core/codec.h"
#include "core/error.h"
#include "core/ids.h"
#include "programs/records.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingo
{

/// What a change ticket can be about.
enum class ObjectKind { Pool, Endpoint, Agent, Caller };

const char *objectKindName(ObjectKind kind);
std::optional<ObjectKind> objectKindFromName(const std::string &name);

/// Names an object of the configuration.
struct ObjectKey {
    ObjectKind kind = ObjectKind::Pool;
    std::string id;
};

bool operator<(const ObjectKey &a, const ObjectKey &b);
bool operator==(const ObjectKey &a, const ObjectKey &b);

/// The whole state of one object, and the ticket that set it.
struct ConfigObject {
    ObjectKey key;
    TicketNumber ticket;
    nlohmann::json spec; ///< Null for an object that a ticket removed.
};

/// A numbered change ticket.
struct Ticket {
    TicketNumber number;
    std::vector<ConfigObject> objects;
};

/// One operation of a plain service.
struct OperationSpec {
    bool isRepeatable = false; ///< Unless the ticket says so, an operation may not be repeated.
    Tokens cost; ///< Charged for each call.
};

struct PoolSpec {
    bool isModel = true; ///< Else a plain service.
    std::map<std::string, OperationSpec> operations; ///< Of a plain service.
};

struct EndpointSpec {
    PoolId pool;
    std::string address; ///< IP number and port.
    DomainId domain;
    int slots = 8; ///< The most calls at once.
    bool checksFencing = false; ///< Whether it refuses orders with an old fencing number.
    bool isLeaving = false;
};

struct AgentSpec {
    PoolId pool; ///< The model that the agent's calls go to.
    std::set<std::string> services; ///< Pools of plain services that it may call.
    PriorityClass priority = PriorityClass::Normal;
    Tokens budget{100000}; ///< The most a program may spend.
    std::uint32_t maxTurns = 200;
    Milliseconds maxDuration{3600000};
    Milliseconds idleTimeout{600000}; ///< A program without a call for so long is ended.
    std::string systemPrompt;
};

struct CallerSpec {
    std::string keySha256; ///< Lower-case hexadecimal; the key itself is not kept.
    std::set<std::string> agents;
};

Result<PoolSpec> parsePool(const nlohmann::json &spec);
Result<EndpointSpec> parseEndpoint(const nlohmann::json &spec);
Result<AgentSpec> parseAgent(const nlohmann::json &spec);
Result<CallerSpec> parseCaller(const nlohmann::json &spec);

/// The ticket in a document, with every spec checked.
Result<Ticket> parseTicket(const nlohmann::json &json);

void to_json(nlohmann::json &json, const ConfigObject &object);
void from_json(const nlohmann::json &json, ConfigObject &object);
void to_json(nlohmann::json &json, const Ticket &ticket);

} // namespace flamingo

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

/// The kinds of objects that a change ticket can set.
enum class ObjectKind { Pool, Endpoint, Agent, Caller };

const char *objectKindName(ObjectKind kind);
std::optional<ObjectKind> objectKindFromName(const std::string &name);

/// Identifies an object of the configuration.
struct ObjectKey {
    ObjectKind kind = ObjectKind::Pool;
    std::string id;
};

bool operator<(const ObjectKey &a, const ObjectKey &b);
bool operator==(const ObjectKey &a, const ObjectKey &b);

/// The complete state of one object and the number of the ticket that set it.
struct ConfigObject {
    ObjectKey key;
    TicketNumber ticket;
    nlohmann::json spec; ///< Null when the ticket removed the object.
};

/// A numbered change ticket, which is accepted or rejected as a whole.
struct Ticket {
    TicketNumber number;
    std::vector<ConfigObject> objects;
};

/// One operation of a plain service.
struct OperationSpec {
    bool isRepeatable = false; ///< Whether a call may be retried after it may have run. Operations are not repeatable by default.
    Tokens cost; ///< Charged for each call.
};

/// A set of endpoints that serve the same model or plain service.
struct PoolSpec {
    bool isModel = true; ///< False for a plain service.
    std::map<std::string, OperationSpec> operations; ///< By name; only for a plain service.
};

struct EndpointSpec {
    PoolId pool;
    std::string address; ///< IP address and port.
    DomainId domain;
    int slots = 8; ///< Maximum number of concurrent calls.
    bool checksFencing = false; ///< Whether the endpoint rejects requests with an outdated fencing number.
    bool isLeaving = false; ///< A leaving endpoint gets no new calls.
};

/// The definition of an agent program.
struct AgentSpec {
    PoolId pool; ///< The model pool for the agent's calls.
    std::set<std::string> services; ///< Pools of plain services that the agent may call.
    PriorityClass priority = PriorityClass::Normal;
    Tokens budget{100000}; ///< Maximum that a program may spend.
    std::uint32_t maxTurns = 200;
    Milliseconds maxDuration{3600000};
    Milliseconds idleTimeout{600000}; ///< A program without a call for this long is ended.
    std::string systemPrompt;
};

/// A client of the system and the agents that it may run.
struct CallerSpec {
    std::string keySha256; ///< Lower-case hexadecimal; the key itself is not stored.
    std::set<std::string> agents;
};

/// Parse and validate the spec of an object; fail with TicketMalformed.
Result<PoolSpec> parsePool(const nlohmann::json &spec);
Result<EndpointSpec> parseEndpoint(const nlohmann::json &spec);
Result<AgentSpec> parseAgent(const nlohmann::json &spec);
Result<CallerSpec> parseCaller(const nlohmann::json &spec);

/// Parses a ticket and validates every spec in it; fails with TicketMalformed.
Result<Ticket> parseTicket(const nlohmann::json &json);

/// The form of an object in the journal and in messages between peers; from_json throws nlohmann::json::exception when
/// it is malformed.
void to_json(nlohmann::json &json, const ConfigObject &object);
void from_json(const nlohmann::json &json, ConfigObject &object);
void to_json(nlohmann::json &json, const Ticket &ticket);

} // namespace flamingo

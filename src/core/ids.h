#pragma once

#include "core/strongid.h"

#include <cstdint>
#include <string>

namespace flamingo
{

/// An instance of the system: one machine that runs the three daemons.
using InstanceId = StrongId<struct InstanceTag, std::string>;

/// A failure domain, which a network partition may separate from the others.
using DomainId = StrongId<struct DomainTag, std::string>;

/// A back end: a model engine or a plain service.
using EndpointId = StrongId<struct EndpointTag, std::string>;

/// A version of the software of endpoints. Versions have no order; what two of them write doesn't fit together.
using SoftwareVersion = StrongId<struct SoftwareVersionTag, std::string>;

/// A set of endpoints that serve the same model or service.
using PoolId = StrongId<struct PoolTag, std::string>;

/// A client of the API, identified by its key.
using CallerId = StrongId<struct CallerTag, std::string>;

/// A workspace: a customer's part of the deployment, with keys and limits of its own.
using WorkspaceId = StrongId<struct WorkspaceTag, std::string>;

/// An agent program's definition in the configuration.
using AgentId = StrongId<struct AgentTag, std::string>;

/// A program that was started. The text before the first dash is the number of its shard.
using ProgramId = StrongId<struct ProgramTag, std::string>;

/// One of a fixed number of shards among which programs are distributed.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;

/// The fencing token of a shard, which increases with each change of its owner.
using FencingNumber = StrongId<struct FencingTag, std::uint64_t>;

/// The position of a call in its program, starting at 1.
using CallNumber = StrongId<struct CallTag, std::uint32_t>;

/// The number of a change ticket, chosen by operators.
using TicketNumber = StrongId<struct TicketTag, std::uint64_t>;

/// An attempt: one sending of a call to one endpoint.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;

/// An amount of model tokens.
using Tokens = StrongId<struct TokensTag, std::int64_t>;

inline Tokens operator+(Tokens a, Tokens b)
{
    return Tokens(a.value() + b.value());
}

inline Tokens operator-(Tokens a, Tokens b)
{
    return Tokens(a.value() - b.value());
}

} // namespace flamingo

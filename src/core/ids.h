#pragma once

#include "core/strongid.h"

#include <cstdint>
#include <string>

namespace flamingo
{

/// An instance of the system: one machine that runs the three daemons.
using InstanceId = StrongId<struct InstanceTag, std::string>;

/// A failure domain, which may be cut off from the others.
using DomainId = StrongId<struct DomainTag, std::string>;

/// A back end: a model engine or a plain service.
using EndpointId = StrongId<struct EndpointTag, std::string>;

/// A set of endpoints that serve the same thing: a model or a service.
using PoolId = StrongId<struct PoolTag, std::string>;

/// Somebody who calls the system, told apart by the key.
using CallerId = StrongId<struct CallerTag, std::string>;

/// An agent program's definition in the configuration.
using AgentId = StrongId<struct AgentTag, std::string>;

/// A running program. The text before the first dash is its shard.
using ProgramId = StrongId<struct ProgramTag, std::string>;

/// One of the fixed number of shards over which programs are spread.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;

/// Grows with each change of a shard's owner.
using FencingNumber = StrongId<struct FencingTag, std::uint64_t>;

/// The position of a call in its program; the first call has number 1.
using CallNumber = StrongId<struct CallTag, std::uint32_t>;

/// The number of a change ticket, given by operators.
using TicketNumber = StrongId<struct TicketTag, std::uint64_t>;

/// One sending of a call to one endpoint.
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

#pragma once

#include "endpoints/endpointrequest.h"
#include "journal/storeoperation.h"
#include "peerlink/messages.h"
#include "peerlink/peertransport.h"

#include <string>
#include <variant>

namespace flamingo
{

/// Performs a store operation for the journal of a shard.
struct PerformStoreOperation {
    ShardId shard;
    StoreOperation operation;
};

/// Sends a message on the link that a request came from.
struct SendOnLink {
    LinkId link = 0;
    PeerMessage message;
};

/// Sends a message to the process at an address.
struct SendToPeer {
    std::string address;
    PeerMessage message;
};

/// Sends one attempt of a call to an endpoint.
struct StartAttempt {
    EndpointRequest request;
};

struct CancelAttempt {
    AttemptId attempt;
};

/// Tells an engine to free the memory that it holds for a program.
struct ReleaseEngineMemory {
    std::string address;
    ProgramId program;
    FencingNumber fence;
};

/// Asks an engine for which programs it holds memory.
struct ListEngineMemory {
    EndpointId endpoint;
    std::string address;
};

/// An I/O operation that the scheduler core requests; the daemon hands it to its I/O threads.
using Action = std::variant<PerformStoreOperation, SendOnLink, SendToPeer, StartAttempt, CancelAttempt, ReleaseEngineMemory, ListEngineMemory>;

} // namespace flamingo

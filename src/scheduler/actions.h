#pragma once

#include "endpoints/endpointrequest.h"
#include "journal/storeoperation.h"
#include "peerlink/messages.h"
#include "peerlink/peerlink.h"

#include <string>
#include <variant>

namespace flamingo
{

/// Call the platform's store for a shard.
struct PerformStoreOperation {
    ShardId shard;
    StoreOperation operation;
};

/// Answer on the link that a request came by.
struct SendOnLink {
    LinkId link = 0;
    PeerMessage message;
};

/// Send to another process.
struct SendToPeer {
    std::string address;
    PeerMessage message;
};

/// Send a call to an endpoint.
struct StartAttempt {
    EndpointRequest request;
};

struct CancelAttempt {
    AttemptId attempt;
};

/// Tell an engine to drop what it holds for a program.
struct ReleaseEngineMemory {
    std::string address;
    ProgramId program;
    FencingNumber fence;
};

/// Ask an engine what it holds.
struct ListEngineMemory {
    EndpointId endpoint;
    std::string address;
};

/// What the scheduler's decisions ask the threads with the wires to do.
using Action = std::variant<PerformStoreOperation, SendOnLink, SendToPeer, StartAttempt, CancelAttempt, ReleaseEngineMemory, ListEngineMemory>;

} // namespace flamingo

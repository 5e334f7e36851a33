#pragma once

#include "core/ids.h"
#include "core/settingsreader.h"

namespace flamingo
{

/// An endpoint's own registration.
struct EndpointEntry {
    EndpointId id;
    PoolId pool;
    DomainId domain;
    SocketAddress address;
    int slots = 1;
    bool isLeaving = false;
    std::int64_t startedAtMs = 0; ///< Unix time of the endpoint's start; 0 when unknown. After a restart it counts as another endpoint.
    SoftwareVersion version; ///< Empty when unknown.
};

} // namespace flamingo

#pragma once

#include "serving/route.h"

#include <cstdint>

namespace flamingo
{

/// The newest versions that an instance has read from the registry. Instances attach them to the calls that they make
/// anyway, so that one that gets no updates from the store learns that there are some.
struct RegistryVersions {
    ConfigurationVersion configuration;
    std::uint64_t endpoints = 0; ///< Revision of the newest change to the list of endpoints.
};

} // namespace flamingo

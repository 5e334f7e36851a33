#pragma once

#include "serving/route.h"

#include <cstdint>

namespace flamingo
{

/// How far an instance has followed the registry. Instances tell each other with the calls that they make anyway, so that
/// one that hears nothing from the store learns that there is something new.
struct RegistryVersions {
    ConfigurationVersion configuration;
    std::uint64_t endpoints = 0; ///< Revision of the newest change to the list of endpoints.
};

} // namespace flamingo

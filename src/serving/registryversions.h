#pragma once

#include "serving/route.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo
{

/// The newest versions that an instance has read from the registry. Instances attach them to the calls that they make
/// anyway, so that one that gets no updates from the store learns that there are some.
struct RegistryVersions {
    ConfigurationVersion configuration;
    std::uint64_t endpoints = 0; ///< Revision of the newest change to the list of endpoints.

    std::string encode() const;
    static std::optional<RegistryVersions> decode(const std::string &bytes);
};

/// Conversion from and to JSON, found by argument-dependent lookup. from_json throws an nlohmann::json::exception if a field
/// is missing or of another type.
void to_json(nlohmann::json &json, const RegistryVersions &versions);
void from_json(const nlohmann::json &json, RegistryVersions &versions);

} // namespace flamingo

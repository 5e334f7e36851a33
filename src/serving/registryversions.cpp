#include "serving/registryversions.h"

#include "core/codec.h"
#include "core/decoding.h"

namespace flamingo
{

std::string RegistryVersions::encode() const
{
    return toCbor(*this);
}

std::optional<RegistryVersions> RegistryVersions::decode(const std::string &bytes)
{
    return decodeCbor<RegistryVersions>("registry-versions", bytes, [](const nlohmann::json &json) { return json.get<RegistryVersions>(); });
}

void to_json(nlohmann::json &json, const RegistryVersions &versions)
{
    json = {{"configuration", versions.configuration}, {"endpoints", versions.endpoints}};
}

void from_json(const nlohmann::json &json, RegistryVersions &versions)
{
    versions.configuration = json.at("configuration").get<ConfigurationVersion>();
    versions.endpoints = json.at("endpoints").get<std::uint64_t>();
}

} // namespace flamingo

#include "serving/registryversions.h"

#include "core/codec.h"
#include "core/log.h"

namespace flamingo
{

std::string RegistryVersions::encode() const
{
    return toCbor(*this);
}

std::optional<RegistryVersions> RegistryVersions::decode(const std::string &bytes)
{
    try {
        return nlohmann::json::from_cbor(bytes).get<RegistryVersions>();
    } catch (const nlohmann::json::exception &error) {
        logChange("peer-message-malformed", "message=registry-versions reason=\"{}\"", error.what());
        return std::nullopt;
    }
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

#include "core/codec.h"

namespace flamingo
{

std::string toCbor(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

std::optional<nlohmann::json> fromCbor(std::string_view bytes)
{
    nlohmann::json json = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (json.is_discarded()) {
        return std::nullopt;
    }
    return json;
}

nlohmann::json toBinary(std::string_view bytes)
{
    return nlohmann::json::binary({bytes.begin(), bytes.end()});
}

std::string fromBinary(const nlohmann::json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

std::optional<nlohmann::json> parseJson(std::string_view text)
{
    nlohmann::json json = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (json.is_discarded()) {
        return std::nullopt;
    }
    return json;
}

std::string dumpJson(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace flamingo

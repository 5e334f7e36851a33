#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace flamingo
{

/// CBOR bytes of a document.
std::string toCbor(const nlohmann::json &json);

/// The document in CBOR bytes, or nothing if they aren't CBOR.
std::optional<nlohmann::json> fromCbor(std::string_view bytes);

/// Bytes as a value inside a document, and back; the latter throws nlohmann's exception when the value isn't bytes.
nlohmann::json toBinary(std::string_view bytes);
std::string fromBinary(const nlohmann::json &json);

/// The document in a JSON text, or nothing if it isn't JSON.
std::optional<nlohmann::json> parseJson(std::string_view text);

/// Bytes of text from outside made safe for JSON: what isn't UTF-8 is replaced.
std::string dumpJson(const nlohmann::json &json);

} // namespace flamingo

namespace nlohmann
{
template<typename T>
struct adl_serializer<std::optional<T>> {
    static void to_json(json &out, const std::optional<T> &value)
    {
        if (value) {
            out = *value;
        } else {
            out = nullptr;
        }
    }

    static void from_json(const json &in, std::optional<T> &value)
    {
        if (in.is_null()) {
            value.reset();
        } else {
            value = in.get<T>();
        }
    }
};
} // namespace nlohmann

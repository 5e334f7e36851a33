#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace flamingo
{

/// Encodes a JSON value as CBOR.
std::string toCbor(const nlohmann::json &json);

/// Decodes a JSON value from CBOR. Returns nothing if the bytes aren't valid CBOR.
std::optional<nlohmann::json> fromCbor(std::string_view bytes);

/// Wraps bytes in a JSON value of binary type.
nlohmann::json toBinary(std::string_view bytes);

/// Returns the bytes of a JSON value. Throws an nlohmann::json::exception if the value isn't of binary type.
std::string fromBinary(const nlohmann::json &json);

/// Parses a JSON text. Returns nothing if it isn't valid JSON.
std::optional<nlohmann::json> parseJson(std::string_view text);

/// Serializes a JSON value without white space. Strings may hold unchecked input from outside, so bytes that aren't valid UTF-8
/// are replaced by U+FFFD.
std::string dumpJson(const nlohmann::json &json);

/// What is wrong with a JSON value, for log lines. The text of a parse error quotes the input, which may contain keys of workspaces, so
/// only its position is told.
std::string describe(const nlohmann::json::exception &error);

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

#pragma once

#include "core/codec.h"
#include "core/log.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace flamingo
{

namespace detail
{
template<typename T, typename Decode>
std::optional<T> decodeValue(const char *kind, const std::optional<nlohmann::json> &json, Decode decode)
{
    if (!json) {
        logChange("unreadable", "kind={} reason=malformed", kind);
        return std::nullopt;
    }
    try {
        return decode(*json);
    } catch (const nlohmann::json::exception &error) {
        logChange("unreadable", "kind={} reason=\"{}\"", kind, error.what());
        return std::nullopt;
    }
}
} // namespace detail

/// Decodes a JSON text from another process. The function gets the parsed value and may throw an nlohmann::json::exception for a
/// field that is missing or of another type. What can't be decoded is logged with its kind, and gives nothing.
template<typename T, typename Decode>
std::optional<T> decodeJson(const char *kind, std::string_view text, Decode decode)
{
    return detail::decodeValue<T>(kind, parseJson(text), decode);
}

/// The same for CBOR.
template<typename T, typename Decode>
std::optional<T> decodeCbor(const char *kind, std::string_view bytes, Decode decode)
{
    return detail::decodeValue<T>(kind, fromCbor(bytes), decode);
}

} // namespace flamingo

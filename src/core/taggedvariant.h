#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <utility>
#include <variant>

namespace flamingo
{

/// Encodes a variant as a JSON array: [index of the alternative, its fields]. The index is sent and stored, so alternatives may
/// only be added at the end.
template<typename Variant>
nlohmann::json encodeTagged(const Variant &variant)
{
    nlohmann::json fields;
    std::visit([&](const auto &alternative) { fields = alternative; }, variant);
    return nlohmann::json::array({variant.index(), std::move(fields)});
}

namespace detail
{
template<typename Variant, std::size_t... Indices>
std::optional<Variant> decodeAlternative(std::size_t index, const nlohmann::json &fields, std::index_sequence<Indices...>)
{
    std::optional<Variant> variant;
    ((index == Indices ? void(variant.emplace(fields.get<std::variant_alternative_t<Indices, Variant>>())) : void()), ...);
    return variant;
}
} // namespace detail

/// Decodes a variant. Returns nothing if the JSON value is malformed or has an alternative that this version doesn't know.
template<typename Variant>
std::optional<Variant> decodeTagged(const nlohmann::json &json)
{
    if (!json.is_array() || json.size() != 2 || !json[0].is_number_unsigned()) {
        return std::nullopt;
    }
    try {
        constexpr auto Count = std::variant_size_v<Variant>;
        return detail::decodeAlternative<Variant>(json[0].get<std::size_t>(), json[1], std::make_index_sequence<Count>());
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace flamingo

#include "core/codec.h"

namespace flamingo
{

namespace
{
/// Deeper than any message. The library reads nested containers by recursion, so without a limit they use up the stack.
constexpr int MaxDepth = 32;

/// Builds a value and stops at containers that are nested too deeply.
class ShallowParser : public nlohmann::detail::json_sax_dom_parser<nlohmann::json>
{
    using Base = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;

public:
    using Base::Base;

    // The names are the library's.
    bool start_object(std::size_t n) // NOLINT(readability-identifier-naming)
    {
        return ++m_depth <= MaxDepth && Base::start_object(n);
    }

    bool end_object() // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return Base::end_object();
    }

    bool start_array(std::size_t n) // NOLINT(readability-identifier-naming)
    {
        return ++m_depth <= MaxDepth && Base::start_array(n);
    }

    bool end_array() // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return Base::end_array();
    }

private:
    int m_depth = 0;
};
} // namespace

std::string toCbor(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

std::optional<nlohmann::json> fromCbor(std::string_view bytes)
{
    nlohmann::json json;
    ShallowParser parser(json, false);
    // Even when it is told not to throw, the parser does so for containers that announce too many elements.
    try {
        const bool isValid = nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &parser, nlohmann::json::input_format_t::cbor);
        return isValid ? std::optional<nlohmann::json>(std::move(json)) : std::nullopt;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
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

std::string describe(const nlohmann::json::exception &error)
{
    const auto *parseError = dynamic_cast<const nlohmann::json::parse_error *>(&error);
    return parseError ? "not valid JSON at byte " + std::to_string(parseError->byte) : error.what();
}

} // namespace flamingo

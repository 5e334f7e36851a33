#include "core/percentcoding.h"

#include <fmt/format.h>

#include <cctype>
#include <charconv>

namespace flamingo
{

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view PlainMarks = "-_.~/";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool isPlain = byte < 0x80 && (std::isalnum(byte) != 0 || PlainMarks.find(c) != std::string_view::npos);
        out += isPlain ? std::string(1, c) : fmt::format("%{:02X}", byte);
    }
    return out;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    constexpr std::size_t CodeSize = 2;
    std::string out;
    while (!text.empty()) {
        if (text.front() != '%') {
            out += text.front();
            text.remove_prefix(1);
            continue;
        }
        const std::string_view code = text.substr(1, CodeSize);
        unsigned byte = 0;
        const auto [end, ec] = std::from_chars(code.data(), code.data() + code.size(), byte, 16);
        if (code.size() != CodeSize || ec != std::errc() || end != code.data() + code.size()) {
            return std::nullopt;
        }
        out += static_cast<char>(byte);
        text.remove_prefix(1 + CodeSize);
    }
    return out;
}

} // namespace flamingo

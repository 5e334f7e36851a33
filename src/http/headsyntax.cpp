#include "http/headsyntax.h"

#include <algorithm>
#include <cctype>

namespace flamingo
{

namespace
{
constexpr std::string_view StatusLinePattern = "HTTP/1.v sdd";
} // namespace

HeadSyntax::HeadSyntax(Kind kind)
    : m_kind(kind)
{
}

void HeadSyntax::reset()
{
    m_statusLine.clear();
    m_previous = 0;
    m_hasFoldedLine = false;
}

// A line that begins with a blank goes on with the line before (RFC 9112, section 5.2 forbids to send it), or is a field whose name
// begins with one.
void HeadSyntax::feed(std::string_view bytes)
{
    if (m_statusLine.empty()) {
        // http_parser skips empty lines before a message.
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    }
    const std::size_t missing = StatusLinePattern.size() + 1 - m_statusLine.size();
    m_statusLine += bytes.substr(0, missing);
    for (const char c : bytes) {
        m_hasFoldedLine = m_hasFoldedLine || (m_previous == '\n' && (c == ' ' || c == '\t'));
        m_previous = c;
    }
}

const char *HeadSyntax::fault() const
{
    if (m_kind == Kind::Response && !isStatusLineSound()) {
        return "an invalid status line";
    }
    return m_hasFoldedLine ? "a line of the head begins with a blank" : nullptr;
}

// Versions 1.0 and 1.1, and three digits from 100 to 599 (RFC 9110, section 15).
bool HeadSyntax::isStatusLineSound() const
{
    const auto matches = [](char c, char pattern) {
        switch (pattern) {
        case 'v':
            return c == '0' || c == '1';
        case 's':
            return c >= '1' && c <= '5';
        case 'd':
            return c >= '0' && c <= '9';
        default:
            return c == pattern;
        }
    };
    if (m_statusLine.size() <= StatusLinePattern.size()
        || !std::equal(StatusLinePattern.begin(), StatusLinePattern.end(), m_statusLine.begin(), [&](char pattern, char c) { return matches(c, pattern); })) {
        return false;
    }
    const char next = m_statusLine.back();
    return next == ' ' || next == '\r' || next == '\n';
}

bool isToken(std::string_view text)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    const auto isTokenChar = [&](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 128 && std::isalnum(byte) != 0) || Others.find(c) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

} // namespace flamingo

#include "http/messagehead.h"

#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <array>
#include <strings.h>

namespace flamingo
{

namespace
{
constexpr std::array<std::string_view, 10> HopByHopFields =
    {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"};

std::vector<std::string> parseFieldNames(const std::string &connection)
{
    std::vector<std::string> names;
    std::size_t begin = 0;
    while (begin < connection.size()) {
        const auto end = std::min(connection.find(',', begin), connection.size());
        const auto first = connection.find_first_not_of(" \t", begin);
        if (first < end) {
            const auto last = connection.find_last_not_of(" \t", end - 1);
            names.push_back(connection.substr(first, last - first + 1));
        }
        begin = end + 1;
    }
    return names;
}
} // namespace

bool isSameHeaderName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void HeaderFields::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

const std::string *HeaderFields::find(std::string_view name) const
{
    const auto it = std::find_if(m_fields.begin(), m_fields.end(), [&](const HeaderField &field) { return isSameHeaderName(field.name, name); });
    return it == m_fields.end() ? nullptr : &it->value;
}

std::string HeaderFields::value(std::string_view name) const
{
    const std::string *found = find(name);
    return found ? *found : std::string();
}

void HeaderFields::remove(std::string_view name)
{
    const auto it = std::remove_if(m_fields.begin(), m_fields.end(), [&](const HeaderField &field) { return isSameHeaderName(field.name, name); });
    m_fields.erase(it, m_fields.end());
}

const std::vector<HeaderField> &HeaderFields::all() const
{
    return m_fields;
}

void removeHopByHopFields(HeaderFields &fields)
{
    for (const std::string &name : parseFieldNames(fields.value("Connection"))) {
        fields.remove(name);
    }
    for (const std::string_view name : HopByHopFields) {
        fields.remove(name);
    }
    fields.remove("Content-Length");
}

std::string serializeRequest(const MessageHead &head, std::size_t bodyBytes)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    for (const HeaderField &field : head.fields.all()) {
        text += fmt::format("{}: {}\r\n", field.name, field.value);
    }
    const bool mayHaveNoBody = head.method == "GET" || head.method == "HEAD" || head.method == "DELETE" || head.method == "OPTIONS";
    if (bodyBytes > 0 || !mayHaveNoBody) {
        text += fmt::format("Content-Length: {}\r\n", bodyBytes);
    }
    text += "\r\n";
    return text;
}

const char *reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace flamingo

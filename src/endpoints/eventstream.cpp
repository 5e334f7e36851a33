#include "endpoints/eventstream.h"

namespace flamingo
{

namespace
{
constexpr std::string_view DataPrefix = "data: ";
}

std::vector<std::string> EventStream::feed(std::string_view bytes)
{
    std::vector<std::string> payloads;
    m_rest.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = m_rest.find('\n'); end != std::string::npos; end = m_rest.find('\n', begin)) {
        std::string_view line(m_rest.data() + begin, end - begin);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.substr(0, DataPrefix.size()) == DataPrefix) {
            payloads.emplace_back(line.substr(DataPrefix.size()));
        }
        begin = end + 1;
    }
    m_rest.erase(0, begin);
    return payloads;
}

} // namespace flamingo

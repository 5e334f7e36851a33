#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingo
{

/// Cuts a stream of server-sent events into the payloads of its data lines.
class EventStream
{
public:
    /// Takes the next bytes of the stream and returns the payloads that are now whole.
    std::vector<std::string> feed(std::string_view bytes);

private:
    std::string m_rest;
};

} // namespace flamingo

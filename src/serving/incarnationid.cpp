#include "serving/incarnationid.h"

#include "core/time.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <unistd.h>

namespace flamingo
{

IncarnationId newIncarnationId(const InstanceId &instance)
{
    const auto ms = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return IncarnationId(fmt::format("{}:{:x}:{:x}", instance.value(), ms, getpid()));
}

InstanceId instanceOf(const IncarnationId &incarnation)
{
    const std::string &text = incarnation.value();
    const auto processAt = text.rfind(':');
    const auto timeAt = processAt == std::string::npos || processAt == 0 ? std::string::npos : text.rfind(':', processAt - 1);
    return InstanceId(timeAt == std::string::npos ? std::string() : text.substr(0, timeAt));
}

std::optional<std::int64_t> startTimeMs(const IncarnationId &incarnation)
{
    const InstanceId instance = instanceOf(incarnation);
    const std::string &text = incarnation.value();
    std::int64_t ms = 0;
    const char *begin = text.data() + std::min(text.size(), instance.value().size() + 1);
    const auto result = std::from_chars(begin, text.data() + text.size(), ms, 16);
    const bool isTime = !instance.value().empty() && result.ec == std::errc() && *result.ptr == ':';
    return isTime ? std::make_optional(ms) : std::nullopt;
}

} // namespace flamingo

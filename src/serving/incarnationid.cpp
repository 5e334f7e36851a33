#include "serving/incarnationid.h"

#include "core/time.h"

#include <fmt/format.h>

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

} // namespace flamingo

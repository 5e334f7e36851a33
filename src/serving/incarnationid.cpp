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

} // namespace flamingo

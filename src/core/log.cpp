#include "core/log.h"

#include <fmt/chrono.h>

#include <chrono>
#include <cstdio>

namespace flamingo
{

namespace
{
std::string &logName()
{
    static std::string name = "flamingo";
    return name;
}
} // namespace

void setLogName(const std::string &name)
{
    logName() = name;
}

namespace detail
{
void writeLogLine(const std::string &event, const std::string &fields)
{
    const auto now = std::chrono::system_clock::now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    const auto seconds = fmt::gmtime(std::chrono::system_clock::to_time_t(now));
    fmt::print(stderr, "{:%Y-%m-%dT%H:%M:%S}.{:03}Z process={} event={} {}\n", seconds, ms, logName(), event, fields);
}
} // namespace detail

} // namespace flamingo

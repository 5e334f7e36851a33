#pragma once

#include <fmt/format.h>

#include <string>
#include <utility>

namespace flamingo
{

/// Names the process in the log lines that follow.
void setLogName(const std::string &name);

/// From now on lines go to standard output instead of standard error, and a reader that is too slow costs lines, which
/// are counted, instead of time.
void logToStandardOutput();

namespace detail
{
void writeLogLine(const std::string &event, const std::string &fields);
}

/// Writes one line about a change of state or a decision: time, process, event and key=value fields.
template<typename... Args>
void logChange(const std::string &event, fmt::format_string<Args...> format, Args &&...args)
{
    detail::writeLogLine(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace flamingo

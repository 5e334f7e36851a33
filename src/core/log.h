#pragma once

#include <fmt/format.h>

#include <string>
#include <utility>

namespace flamingo
{

/// Sets the process name of the log lines that follow.
void setLogName(const std::string &name);

/// Writes the log lines that follow to standard output instead of standard error, without blocking. If the reader is too
/// slow, lines are dropped and their number is logged.
void logToStandardOutput();

namespace detail
{
void writeLogLine(const std::string &event, const std::string &fields);
}

/// Logs a change of state or a decision as one line of time, process, event and key=value fields.
template<typename... Args>
void logChange(const std::string &event, fmt::format_string<Args...> format, Args &&...args)
{
    detail::writeLogLine(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace flamingo

#include "core/log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <mutex>
#include <string_view>
#include <unistd.h>

namespace flamingo
{

namespace
{
/// Limit of the output that the reader has not taken yet. Further lines are dropped and counted.
constexpr std::size_t MaxBufferedBytes = std::size_t(256) * 1024;

std::string &logName()
{
    static std::string name = "flamingo";
    return name;
}

/// Writes to standard output without blocking.
class NonBlockingOutput
{
public:
    void open()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        m_isOpen = true;
    }

    bool isOpen() const
    {
        return m_isOpen;
    }

    void write(const std::string &line)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        flush();
        if (m_buffer.size() + line.size() > MaxBufferedBytes) {
            ++m_droppedLines;
            return;
        }
        if (m_droppedLines > 0) {
            m_buffer += fmt::format("event=log-lines-dropped lines={}\n", m_droppedLines);
            m_droppedLines = 0;
        }
        m_buffer += line;
        flush();
    }

private:
    void flush()
    {
        while (!m_buffer.empty()) {
            const ssize_t n = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n <= 0) {
                return;
            }
            m_buffer.erase(0, static_cast<std::size_t>(n));
        }
    }

    std::mutex m_mutex;
    std::string m_buffer;
    std::size_t m_droppedLines = 0;
    bool m_isOpen = false;
};

NonBlockingOutput &standardOutput()
{
    static NonBlockingOutput log;
    return log;
}
} // namespace

void setLogName(const std::string &name)
{
    logName() = name;
}

void logToStandardOutput()
{
    standardOutput().open();
}

namespace
{
/// Values may come from outside, so what isn't printable is escaped and a line stays one line.
std::string escaped(const std::string &text)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char LastPrintable = 0x7e;
    const auto isPrintable = [](unsigned char c) { return c >= FirstPrintable && c <= LastPrintable; };
    if (std::all_of(text.begin(), text.end(), isPrintable)) {
        return text;
    }
    std::string out;
    for (const char c : text) {
        out += isPrintable(static_cast<unsigned char>(c)) ? std::string(1, c) : fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    }
    return out;
}
} // namespace

namespace detail
{
void writeLogLine(const std::string &event, const std::string &fields)
{
    const auto now = std::chrono::system_clock::now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    const auto seconds = fmt::gmtime(std::chrono::system_clock::to_time_t(now));
    const std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z process={} event={} {}\n", seconds, ms, logName(), event, escaped(fields));
    if (standardOutput().isOpen()) {
        standardOutput().write(line);
    } else {
        fmt::print(stderr, "{}", line);
    }
}
} // namespace detail

} // namespace flamingo

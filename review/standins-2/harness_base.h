// What the stand-ins share: channels, servers, a record. POSIX sockets and threads only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string format(const char *pattern, ...)
{
    char text[8192];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(text, sizeof text, pattern, arguments);
    va_end(arguments);
    return text;
}

/// The file record.txt: one line for each message sent, answered or run, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(Clock::now())
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const double seconds = std::chrono::duration<double>(Clock::now() - m_start).count();
        std::fprintf(m_file, "%8.3f %s\n", seconds, text.c_str());
        std::fflush(m_file);
    }

private:
    FILE *m_file;
    std::mutex m_mutex;
    Clock::time_point m_start;
};

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isWhole = false;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    int status() const
    {
        return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0;
    }

    std::string target() const
    {
        const auto begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
};

/// One end of a channel, with reads that are bounded in time.
class Channel
{
public:
    explicit Channel(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~Channel()
    {
        close();
    }

    Channel(const Channel &) = delete;

    static std::unique_ptr<Channel> connect(const std::string &ip, int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Channel>(fd);
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (m_fd >= 0 && sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return m_fd >= 0;
    }

    /// Reads one message (request or response). isWhole tells whether it ended as its framing announced.
    Message read(int limitMs)
    {
        const auto end = Clock::now() + std::chrono::milliseconds(limitMs);
        Message message;
        std::size_t headEnd = 0;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(end)) {
                return message;
            }
        }
        parseHead(message, m_buffer.substr(0, headEnd + 2));
        m_buffer.erase(0, headEnd + 4);
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            message.isWhole = readChunks(message.body, end);
            return message;
        }
        const std::string length = message.field("Content-Length");
        const std::size_t needed = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
        while (m_buffer.size() < needed) {
            if (!fill(end)) {
                message.body = std::exchange(m_buffer, {});
                return message;
            }
        }
        message.body = m_buffer.substr(0, needed);
        m_buffer.erase(0, needed);
        message.isWhole = true;
        return message;
    }

    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }

    void reset()
    {
        const linger hard{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }

private:
    bool fill(Clock::time_point end)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
        pollfd entry{m_fd, POLLIN, 0};
        if (m_fd < 0 || left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char buf[16384];
        const ssize_t n = ::recv(m_fd, buf, sizeof buf, 0);
        if (n <= 0) {
            return false;
        }
        m_buffer.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    static void parseHead(Message &message, const std::string &head)
    {
        std::size_t begin = 0;
        while (begin < head.size()) {
            const auto lineEnd = head.find("\r\n", begin);
            const std::string line = head.substr(begin, lineEnd - begin);
            begin = lineEnd + 2;
            if (message.startLine.empty()) {
                message.startLine = line;
                continue;
            }
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }

    bool readChunks(std::string &body, Clock::time_point end)
    {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(end)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < lineEnd + 2 + size + 2) {
                if (!fill(end)) {
                    body += m_buffer.substr(std::min(m_buffer.size(), lineEnd + 2));
                    return false;
                }
            }
            body += m_buffer.substr(lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int m_fd;
    std::string m_buffer;
};

/// A listening socket on a free port of 127.0.0.1, with one thread for each channel.
class Server
{
public:
    using Handler = std::function<void(Channel &channel, const Message &request)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
        , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        socklen_t size = sizeof address;
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_fd, 256) != 0) {
            std::exit(2);
        }
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int port() const
    {
        return m_port;
    }

private:
    void accept()
    {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            std::thread([this, fd] {
                Channel channel(fd);
                for (;;) {
                    const Message request = channel.read(3600000);
                    if (!request.isWhole) {
                        return;
                    }
                    m_handler(channel, request);
                }
            }).detach();
        }
    }

    Handler m_handler;
    int m_fd;
    int m_port = 0;
};

/// A runner's answer with its proof and the request's id.
inline std::string answer(const Message &request, int status, const std::string &lines, const std::string &body)
{
    return format("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n%sContent-Length: %zu\r\n\r\n",
                  status,
                  request.field("X-Attempt-Id").c_str(),
                  lines.c_str(),
                  body.size())
           + body;
}

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += n + k <= bytes.size() ? digits[bits >> (18 - 6 * k) & 63] : '=';
        }
    }
    return text;
}

} // namespace review

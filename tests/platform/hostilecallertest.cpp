#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace flamingo;

// Callers that nobody controls take up memory and descriptors: large bodies that stop short of their end, bodies over the limit,
// pipelined requests and responses that are never read, idle connections. The process stays within the memory and the
// descriptors of its machine, and ordinary callers are answered afterwards.

namespace
{
using Connection = ScriptedEndpoint::Connection;

/// The smallest machine of a deployment.
constexpr std::size_t MemoryMegabytes = 88;
constexpr std::size_t MaxDescriptors = 160;
/// More than three times the memory with the largest legal bodies.
constexpr int CrowdSize = 70;
/// Fewer connections than descriptors, so that only memory is bounded.
static_assert(CrowdSize < MaxDescriptors / 2);
constexpr int IdleCrowdSize = 400;
constexpr std::size_t MaxBodyBytes = 4194304;
constexpr std::size_t LargeChunkBytes = 65536;
constexpr std::size_t SmallChunkBytes = 16;
constexpr std::size_t AnswerBytes = std::size_t(4) * 1024 * 1024;
/// The crowd has done what it can once none of its connections has made progress for this long.
constexpr Milliseconds QuietTime{1500};
constexpr Milliseconds CrowdLimit{60000};

/// What one connection of a crowd sends: the start, a block that is repeated, and the end.
struct Sending {
    std::string start;
    std::string block;
    std::size_t repetitions = 0;
    std::string end;
    bool reads = true; ///< Whether it reads what the instance sends.
};

/// Connections that send at the same time, on a thread of their own. They stay open until the crowd is destroyed.
class Crowd
{
public:
    Crowd(const std::string &ip, int size, const std::function<Sending(int)> &sending)
    {
        for (int n = 0; n < size; ++n) {
            m_members.push_back(std::make_shared<Member>(*this, sending(n)));
        }
        for (const auto &member : m_members) {
            member->connect({asio::ip::make_address(ip), TestInstance::CallersPort});
        }
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Crowd()
    {
        m_context.stop();
        m_thread.join();
    }

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Grows with each step of each connection.
    long long progress() const
    {
        return m_progress;
    }

private:
    struct Member : std::enable_shared_from_this<Member> {
        Member(Crowd &owner, Sending what)
            : crowd(owner)
            , socket(owner.m_context)
            , sending(std::move(what))
        {
        }

        void connect(const asio::ip::tcp::endpoint &address)
        {
            socket.async_connect(address, [self = shared_from_this()](const asio::error_code &ec) {
                if (!ec) {
                    ++self->crowd.m_progress;
                    self->write(self->sending.start);
                    self->read();
                }
            });
        }

        void write(const std::string &bytes)
        {
            asio::async_write(socket, asio::buffer(bytes), [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
                ++self->crowd.m_progress;
                if (!ec) {
                    self->writeNext();
                }
            });
        }

        void writeNext()
        {
            if (written < sending.repetitions) {
                ++written;
                write(sending.block);
            } else if (!hasEnded) {
                hasEnded = true;
                write(sending.end);
            }
        }

        void read()
        {
            if (!sending.reads) {
                return;
            }
            socket.async_read_some(asio::buffer(buf), [self = shared_from_this()](const asio::error_code &ec, std::size_t) {
                ++self->crowd.m_progress;
                if (!ec) {
                    self->read();
                }
            });
        }

        Crowd &crowd;
        asio::ip::tcp::socket socket;
        const Sending sending;
        std::array<char, 16384> buf{};
        std::size_t written = 0;
        bool hasEnded = false;
    };

    asio::io_context m_context;
    std::atomic<long long> m_progress{0};
    std::vector<std::shared_ptr<Member>> m_members;
    std::thread m_thread;
};

std::string requestHead(const std::string &path, int number, const std::string &framing)
{
    return fmt::format("POST {}h HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: h{}\r\nX-Deadline-Ms: 3000\r\n{}\r\n\r\n", path, number, framing);
}

/// A body of the largest legal size; without its last byte if it is cut short.
Sending wholeBody(const std::string &path, int number, bool isCutShort)
{
    Sending it;
    it.start = requestHead(path, number, fmt::format("Content-Length: {}", MaxBodyBytes));
    it.block = std::string(LargeChunkBytes, 'b');
    it.repetitions = MaxBodyBytes / LargeChunkBytes - 1;
    it.end = std::string(LargeChunkBytes - (isCutShort ? 1 : 0), 'b');
    return it;
}

/// A chunked body of the largest legal size; without its last chunk if it is cut short.
Sending chunkedBody(int number, std::size_t chunkBytes, bool isCutShort)
{
    Sending it;
    it.start = requestHead("/book/", number, "Transfer-Encoding: chunked");
    const std::string chunk = ScriptedEndpoint::chunk(std::string(chunkBytes, 'c'));
    for (std::size_t n = 0; n < LargeChunkBytes / chunkBytes; ++n) {
        it.block += chunk;
    }
    it.repetitions = MaxBodyBytes / LargeChunkBytes;
    it.end = isCutShort ? "" : "0\r\n\r\n";
    return it;
}

/// An instance on a small machine with one endpoint. It answers requests for "/ask/large" with a large body and others later,
/// so that their bodies are held for a while.
struct HostileFixture {
    HostileFixture()
        : endpoint([](Connection &connection, const ReceivedRequest &request) {
            constexpr Milliseconds WorkTime{300};
            if (request.head.target == "/ask/large") {
                connection.write(ScriptedEndpoint::response(request, std::string(AnswerBytes, 'a')));
            } else if (request.head.target.rfind("/chat/", 0) == 0) {
                connection.writeLater(WorkTime,
                                      ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                                          + ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "said")) + "0\r\n\r\n");
            } else {
                connection.writeLater(WorkTime, ScriptedEndpoint::response(request, "ok"));
            }
        })
    {
        std::string configuration = testConfiguration(1);
        const std::string smallLimit = R"("max-body-bytes":100000)";
        configuration.replace(configuration.find(smallLimit), smallLimit.size(), fmt::format(R"("max-body-bytes":{})", MaxBodyBytes));
        store.put("op/config", configuration);
        registerEndpoint(store, "i-1", endpoint);
        instance = std::make_unique<TestInstance>(store, 1);
        instance->editSettings("memory-mb = 110", fmt::format("memory-mb = {}\nmax-fds = {}", MemoryMegabytes, MaxDescriptors));
        instance->killAndRestart();
        REQUIRE(instance->awaitReady());
    }

    std::string processFolder() const
    {
        return fmt::format("/proc/{}", instance->process().pid());
    }

    std::size_t peakMemoryKb() const
    {
        std::ifstream status(processFolder() + "/status");
        std::string word;
        while (status >> word) {
            if (word == "VmHWM:") {
                std::size_t kb = 0;
                status >> kb;
                return kb;
            }
        }
        return 0;
    }

    std::size_t openDescriptors() const
    {
        std::error_code ec;
        std::size_t count = 0;
        for (auto it = std::filesystem::directory_iterator(processFolder() + "/fd", ec); !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
            ++count;
        }
        return count;
    }

    /// Lets the crowd do what it can, checks what must hold, and prints what was measured.
    void check(const std::string &name, int size, const std::function<Sending(int)> &sending)
    {
        Crowd crowd(TestInstance::address(1), size, sending);
        std::size_t mostDescriptors = 0;
        Instant lastProgressAt = std::chrono::steady_clock::now();
        const Instant limit = lastProgressAt + CrowdLimit;
        long long progress = 0;
        for (Instant now = lastProgressAt; now < limit && now - lastProgressAt < QuietTime && instance->process().isRunning();
             now = std::chrono::steady_clock::now()) {
            mostDescriptors = std::max(mostDescriptors, openDescriptors());
            if (crowd.progress() != progress) {
                progress = crowd.progress();
                lastProgressAt = now;
            }
            std::this_thread::sleep_for(Milliseconds(5));
        }
        int attempt = 0;
        const bool isAnswered = eventually([&] { return instance->send(callerRequest("/book/ordinary", fmt::format("o{}", ++attempt))).status == 200; });
        const std::size_t peakKb = peakMemoryKb();
        const bool isRunning = instance->process().isRunning();
        WARN(fmt::format("{}: peak_kb={} limit_kb={} descriptors={} limit={} running={} answered={} tries={}",
                         name,
                         peakKb,
                         MemoryMegabytes * 1024,
                         mostDescriptors,
                         MaxDescriptors,
                         isRunning,
                         isAnswered,
                         attempt));
        CHECK(isRunning);
        CHECK(peakKb > 0);
        CHECK(peakKb < MemoryMegabytes * 1024);
        CHECK(mostDescriptors < MaxDescriptors);
        CHECK(isAnswered);
    }

    ScriptedEndpoint endpoint;
    KvStandIn store;
    std::unique_ptr<TestInstance> instance;
};
} // namespace

TEST_CASE_METHOD(HostileFixture, "Many whole bodies of the largest size stay within the process's memory", "[hostile][whole]")
{
    check("whole", CrowdSize, [](int n) { return wholeBody("/book/", n, false); });
}

TEST_CASE_METHOD(HostileFixture, "Many large bodies of stateful turns stay within the process's memory", "[hostile][turns]")
{
    const TestArchive archive1(store, 1);
    const TestArchive archive2(store, 2);
    REQUIRE(eventually([&] { return instance->log().find("storage-2") != std::string::npos; }));
    check("turns", CrowdSize, [](int n) { return wholeBody("/chat/", n, false); });
}

TEST_CASE_METHOD(HostileFixture, "Many large bodies that stop short of their end stay within the process's memory", "[hostile][pieces]")
{
    check("pieces", CrowdSize, [](int n) { return wholeBody("/book/", n, n % 8 != 0); });
}

TEST_CASE_METHOD(HostileFixture, "Many bodies in large chunks that stop short of their end stay within the process's memory", "[hostile][chunks]")
{
    check("large chunks", CrowdSize, [](int n) { return chunkedBody(n, LargeChunkBytes, n % 8 != 0); });
}

TEST_CASE_METHOD(HostileFixture, "Many bodies in very small chunks that stop short of their end stay within the process's memory", "[hostile][chunks]")
{
    check("small chunks", CrowdSize, [](int n) { return chunkedBody(n, SmallChunkBytes, n % 8 != 0); });
}

TEST_CASE_METHOD(HostileFixture, "Many announced bodies over the limit stay within the process's memory", "[hostile][over-limit]")
{
    check("announced over limit", CrowdSize, [](int n) {
        Sending it = wholeBody("/book/", n, false);
        it.start = requestHead("/book/", n, "Content-Length: 67108864");
        it.repetitions = 1023;
        return it;
    });
}

TEST_CASE_METHOD(HostileFixture, "Many chunked bodies over the limit stay within the process's memory", "[hostile][over-limit]")
{
    check("sent over limit", CrowdSize, [](int n) {
        Sending it = chunkedBody(n, LargeChunkBytes, true);
        it.repetitions = 1024;
        return it;
    });
}

TEST_CASE_METHOD(HostileFixture, "Many callers that pipeline requests and read no responses stay within the process's memory", "[hostile][unread]")
{
    check("pipelined", CrowdSize, [](int n) {
        Sending it;
        it.block = fmt::format("GET /ask/large HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: h{}\r\nX-Deadline-Ms: 3000\r\n\r\n", n);
        it.repetitions = 20000;
        it.reads = false;
        return it;
    });
}

TEST_CASE_METHOD(HostileFixture, "Many callers that read no responses stay within the process's memory", "[hostile][unread]")
{
    check("unread", CrowdSize, [](int n) {
        Sending it;
        it.start = callerRequest("/ask/large", fmt::format("h{}", n));
        it.reads = false;
        return it;
    });
}

TEST_CASE_METHOD(HostileFixture, "Many idle connections stay within the process's descriptors", "[hostile][idle]")
{
    check("idle", IdleCrowdSize, [](int) { return Sending(); });
}

TEST_CASE_METHOD(HostileFixture, "Many connections that stop inside a head stay within the process's descriptors", "[hostile][idle]")
{
    check("heads", IdleCrowdSize, [](int n) {
        Sending it;
        it.start = "POST /book/h HTTP/1.1\r\nHost: h.example\r\nX-Pad: " + std::string(static_cast<std::size_t>(15000 + n % 2), 'p');
        return it;
    });
}

TEST_CASE_METHOD(HostileFixture, "Bodies of the largest size are served one at a time, whole and in chunks", "[hostile][calm]")
{
    const std::string body(MaxBodyBytes, 'c');
    for (int n = 0; n < 6; ++n) {
        CHECK(instance->send(callerRequest("/book/large", fmt::format("w{}", n), {}, body)).status == 200);
        std::string chunked = requestHead("/book/", n, "Transfer-Encoding: chunked");
        for (std::size_t at = 0; at < MaxBodyBytes; at += LargeChunkBytes) {
            chunked += ScriptedEndpoint::chunk(body.substr(at, LargeChunkBytes));
        }
        CHECK(instance->send(chunked + "0\r\n\r\n").status == 200);
        const CallerResponse large = instance->send(callerRequest("/ask/large", fmt::format("l{}", n)));
        CHECK(large.isComplete);
        CHECK(large.body.size() == AnswerBytes);
    }
    CHECK(peakMemoryKb() < MemoryMegabytes * 1024);
    for (const ReceivedRequest &request : endpoint.requests()) {
        CHECK((request.head.target == "/ask/large" || request.body == body));
    }
}

// Pipelining is legal; a caller that reads its responses gets all of them, in order.
TEST_CASE_METHOD(HostileFixture, "A caller that pipelines large requests and reads slowly gets each response", "[hostile][calm]")
{
    constexpr int RequestCount = 4;
    constexpr Milliseconds ReadPause{1};
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(TestInstance::address(1)), TestInstance::CallersPort});
    std::string bytes;
    for (int n = 0; n < RequestCount; ++n) {
        bytes += callerRequest("/ask/large", fmt::format("p{}", n));
    }
    asio::write(socket, asio::buffer(bytes));
    MessageParser parser(MessageParser::Kind::Responses);
    std::vector<std::string> ids;
    std::size_t bodyBytes = 0;
    std::array<char, 8192> buf{};
    asio::error_code ec;
    while (!ec && ids.size() < RequestCount) {
        std::string_view rest(buf.data(), socket.read_some(asio::buffer(buf), ec));
        while (!rest.empty()) {
            const auto event = parser.feed(rest);
            REQUIRE(event != MessageParser::Event::Error);
            bodyBytes += event == MessageParser::Event::Body ? parser.body().size() : 0;
            if (event == MessageParser::Event::Complete) {
                CHECK(parser.head().status == 200);
                ids.push_back(parser.head().fields.value("X-Attempt-Id"));
            }
        }
        std::this_thread::sleep_for(ReadPause);
    }
    CHECK(ids == std::vector<std::string>{"p0", "p1", "p2", "p3"});
    CHECK(bodyBytes == RequestCount * AnswerBytes);
}

#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <set>
#include <thread>
#include <vector>

using namespace flamingo;

// A request that a caller has sent whole ends with a whole answer, also in reloads and planned stops. The one exception is a request
// that crosses the close of an idle kept connection: it may get no answer if it isn't passed on to an endpoint.

namespace
{
constexpr int GraceSeconds = 8;
/// Connections are closed this long after a planned stop has begun.
constexpr Milliseconds CloseTime{2600};
constexpr std::size_t LargeResponseBytes = std::size_t(1536) * 1024;
constexpr int EventCount = 8;
constexpr Milliseconds EventInterval{60};
constexpr Milliseconds SlowReadPause{3};

void respondWithStream(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request, std::size_t eventBytes)
{
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    for (int n = 1; n <= EventCount; ++n) {
        const std::string end = n == EventCount ? "0\r\n\r\n" : "";
        connection.writeLater(EventInterval * n, ScriptedEndpoint::chunk(ScriptedEndpoint::event(n, std::string(eventBytes, 'x'))) + end);
    }
}

/// The body of a request says how it is answered; turns, whose bodies begin with their history, are answered with streams.
void respondAsAsked(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    constexpr std::size_t LargeEventBytes = 100 * 1024;
    constexpr std::size_t SmallEventBytes = 100;
    if (request.body == "large") {
        connection.write(ScriptedEndpoint::response(request, std::string(LargeResponseBytes, 'x')));
    } else if (request.body == "large-stream") {
        respondWithStream(connection, request, LargeEventBytes);
    } else if (request.body == "stream" || request.head.target.rfind("/chat/", 0) == 0) {
        respondWithStream(connection, request, SmallEventBytes);
    } else {
        connection.write(ScriptedEndpoint::response(request, "ok"));
    }
}

/// What a caller has seen of the requests whose bytes it has sent whole.
struct SeenAnswers {
    int answered = 0;
    int refused = 0; ///< With status 503.
    std::vector<std::string> failed; ///< With another status.
    std::vector<std::string> cutOff; ///< The head arrived, but not the whole body.
    std::vector<std::string> unansweredOnNew; ///< Not a byte arrived, and no request came before it on the connection.
    std::vector<std::string> unansweredOnKept;

    void add(const SeenAnswers &other)
    {
        const auto append = [](std::vector<std::string> &to, const std::vector<std::string> &from) { to.insert(to.end(), from.begin(), from.end()); };
        answered += other.answered;
        refused += other.refused;
        append(failed, other.failed);
        append(cutOff, other.cutOff);
        append(unansweredOnNew, other.unansweredOnNew);
        append(unansweredOnKept, other.unansweredOnKept);
    }
};

/// A caller that uses its connection until that is closed, and then opens another one.
class Caller
{
public:
    enum class Result {
        Answered,
        Refused, ///< With a 503.
        NoAnswer, ///< Or none that is whole.
        NotSent,
    };

    explicit Caller(Milliseconds readPause = Milliseconds(0))
        : m_readPause(readPause)
    {
    }

    Result call(const TestInstance &instance, const std::string &id, const std::string &request)
    {
        const bool isNew = !m_connection;
        if (isNew) {
            m_connection.reset(new CallerConnection(instance.connect(m_readPause)));
        }
        if (!m_connection->send(request)) {
            m_connection.reset();
            return Result::NotSent;
        }
        const CallerResponse response = m_connection->read();
        if (!response.isComplete || response.fields.value("Connection") == "close") {
            m_connection.reset();
        }
        return note(id, response, isNew);
    }

    const SeenAnswers &seen() const
    {
        return m_seen;
    }

    bool isConnected() const
    {
        return m_connection != nullptr;
    }

private:
    Result note(const std::string &id, const CallerResponse &response, bool isNew)
    {
        if (response.status == 0) {
            (isNew ? m_seen.unansweredOnNew : m_seen.unansweredOnKept).push_back(id);
            return Result::NoAnswer;
        }
        if (!response.isComplete) {
            m_seen.cutOff.push_back(id);
            return Result::NoAnswer;
        }
        if (response.status == 503) {
            ++m_seen.refused;
            return Result::Refused;
        }
        if (response.status != 200) {
            m_seen.failed.push_back(fmt::format("{} ({})", id, response.status));
            return Result::NoAnswer;
        }
        ++m_seen.answered;
        return Result::Answered;
    }

    Milliseconds m_readPause;
    std::unique_ptr<CallerConnection> m_connection;
    SeenAnswers m_seen;
};

/// How a caller's requests are answered, and how it reads the answers.
struct Kind {
    std::string path;
    std::string body;
    Milliseconds readPause;
};

const std::vector<Kind> &kinds()
{
    static const std::vector<Kind> all{{"/book/a", "x", Milliseconds(0)},
                                       {"/stream/a", "stream", Milliseconds(0)},
                                       {"/book/a", "large", SlowReadPause},
                                       {"/stream/a", "large-stream", SlowReadPause}};
    return all;
}

std::string requestOf(const Kind &kind, const std::string &id)
{
    return callerRequest(kind.path, id, {}, kind.body);
}

std::set<std::string> passedOn(const ScriptedEndpoint &endpoint)
{
    std::set<std::string> ids;
    for (const ReceivedRequest &request : endpoint.requests()) {
        ids.insert(request.head.fields.value("X-Attempt-Id"));
    }
    return ids;
}

void checkAnswers(const SeenAnswers &seen, const std::set<std::string> &passedOnIds)
{
    INFO(seen.answered << " answered, " << seen.refused << " refused, " << seen.unansweredOnKept.size() << " crossed a close");
    CHECK(seen.failed == std::vector<std::string>{});
    CHECK(seen.cutOff == std::vector<std::string>{});
    CHECK(seen.unansweredOnNew == std::vector<std::string>{});
    for (const std::string &id : seen.unansweredOnKept) {
        INFO(id);
        CHECK(passedOnIds.count(id) == 0);
    }
}

/// Callers that run on threads of their own.
class CallerThreads
{
public:
    /// The function returns what its caller has seen.
    void start(std::function<SeenAnswers()> call)
    {
        m_seen.push_back(std::make_unique<SeenAnswers>());
        m_threads.emplace_back([seen = m_seen.back().get(), call = std::move(call)] { *seen = call(); });
    }

    SeenAnswers join()
    {
        SeenAnswers sum;
        for (std::size_t n = 0; n < m_threads.size(); ++n) {
            m_threads[n].join();
            sum.add(*m_seen[n]);
        }
        return sum;
    }

private:
    std::vector<std::unique_ptr<SeenAnswers>> m_seen;
    std::vector<std::thread> m_threads;
};

/// An instance with one endpoint.
struct OneInstance {
    OneInstance()
        : endpoint(respondAsAsked)
    {
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-1", endpoint);
        instance = std::make_unique<TestInstance>(store, 1);
        REQUIRE(instance->awaitReady());
    }

    int logged(const std::string &event) const
    {
        const std::string log = instance->log();
        int count = 0;
        for (auto at = log.find(event); at != std::string::npos; at = log.find(event, at + 1)) {
            ++count;
        }
        return count;
    }

    KvStandIn store;
    ScriptedEndpoint endpoint;
    std::unique_ptr<TestInstance> instance;
};

/// A configuration whose limits and routes differ from those of the version before.
std::string changedConfiguration(int version)
{
    const bool isEven = version % 2 == 0;
    const std::string route = R"(,{"name":"r-new","host":"h.example","prefix":"/new/","type":"idempotent","timeout-ms":3000,"service":"app"})";
    std::string text = testConfiguration(version, isEven ? route : "");
    const auto replace = [&](const std::string &from, const std::string &to) { text.replace(text.find(from), from.size(), to); };
    if (isEven) {
        replace(R"("idle-timeout-ms":15000)", R"("idle-timeout-ms":5000)");
        replace(R"("header-timeout-ms":3000)", R"("header-timeout-ms":1500)");
        replace(R"("max-conns":100)", R"("max-conns":50)");
    }
    return text;
}
} // namespace

// Guards against kept connections, or requests on them, that end when settings or the configuration change.
TEST_CASE_METHOD(OneInstance, "Reloads and new configurations in series end no request and close no connection", "[platform][stop]")
{
    constexpr int CallerCount = 12;
    constexpr int Rounds = 24;
    constexpr Milliseconds RoundTime{150};
    std::atomic<bool> mayGoOn{true};
    std::atomic<int> closed{0};
    CallerThreads callers;
    for (int n = 0; n < CallerCount; ++n) {
        callers.start([&, n] {
            const Kind &kind = kinds()[static_cast<std::size_t>(n) % kinds().size()];
            Caller caller(kind.readPause);
            for (int turn = 0; mayGoOn; ++turn) {
                const std::string id = fmt::format("r{}-{}", n, turn);
                caller.call(*instance, id, requestOf(kind, id));
                closed += caller.isConnected() ? 0 : 1;
            }
            return caller.seen();
        });
    }
    for (int n = 0; n < Rounds; ++n) {
        std::this_thread::sleep_for(RoundTime);
        const bool isEven = n % 2 == 0;
        instance->editSettings(isEven ? "grace-s = 8" : "grace-s = 9", isEven ? "grace-s = 9" : "grace-s = 8");
        instance->process().sendSignal(SIGHUP);
        store.put("op/config", changedConfiguration(n + 2));
    }
    std::this_thread::sleep_for(RoundTime);
    mayGoOn = false;
    const SeenAnswers seen = callers.join();
    checkAnswers(seen, passedOn(endpoint));
    CHECK(seen.answered > CallerCount);
    CHECK(seen.refused == 0);
    CHECK(seen.unansweredOnKept.empty());
    CHECK(closed == 0);
    CHECK(logged("event=reloaded") > Rounds / 2);
    CHECK(logged("event=configuration-applied") > Rounds / 2);
}

// Guards against answers that a slow reader gets in part, and against requests that are taken from a kept connection and dropped.
TEST_CASE_METHOD(OneInstance, "A planned stop leaves no request of slow readers and of kept connections without an answer", "[platform][stop][closing-port]")
{
    constexpr int CallerCount = 16;
    constexpr int CrossingCount = 40;
    constexpr Milliseconds FirstCrossing{2500};
    constexpr Milliseconds CrossingInterval{5};
    CallerThreads callers;
    std::atomic<int> readyCrossings{0};
    std::atomic<bool> isStopping{false};
    // Back to back, until the instance takes no connection any more.
    for (int n = 0; n < CallerCount; ++n) {
        callers.start([&, n] {
            const Kind &kind = kinds()[static_cast<std::size_t>(n) % kinds().size()];
            Caller caller(kind.readPause);
            for (int turn = 0;; ++turn) {
                const std::string id = fmt::format("b{}-{}", n, turn);
                const bool wasConnected = caller.isConnected();
                if (caller.call(*instance, id, requestOf(kind, id)) == Caller::Result::NotSent && !wasConnected) {
                    return caller.seen();
                }
            }
        });
    }
    // Kept idle until about the time at which the instance closes such connections.
    for (int n = 0; n < CrossingCount; ++n) {
        callers.start([&, n] {
            Caller caller;
            const std::string first = fmt::format("c{}-1", n);
            caller.call(*instance, first, requestOf(kinds()[0], first));
            ++readyCrossings;
            while (!isStopping) {
                std::this_thread::sleep_for(Milliseconds(1));
            }
            std::this_thread::sleep_for(FirstCrossing + CrossingInterval * n);
            const std::string second = fmt::format("c{}-2", n);
            caller.call(*instance, second, requestOf(kinds()[0], second));
            return caller.seen();
        });
    }
    REQUIRE(eventually([&] { return readyCrossings == CrossingCount; }));
    instance->process().sendSignal(SIGTERM);
    isStopping = true;
    CHECK(instance->process().terminate(GraceSeconds) == 0);
    const SeenAnswers seen = callers.join();
    checkAnswers(seen, passedOn(endpoint));
    CHECK(seen.answered > CallerCount + CrossingCount);
}

// Guards against requests on connections that the machine has accepted just before the instance closes its port.
TEST_CASE_METHOD(OneInstance,
                 "Requests on new connections are answered up to the moment at which an instance takes no more of them",
                 "[platform][stop][closing-port]")
{
    constexpr int CallerCount = 32;
    constexpr Milliseconds LeadTime{400};
    instance->process().sendSignal(SIGTERM);
    std::this_thread::sleep_for(CloseTime - LeadTime);
    CallerThreads callers;
    for (int n = 0; n < CallerCount; ++n) {
        callers.start([&, n] {
            Caller caller;
            for (int turn = 0;; ++turn) {
                const std::string id = fmt::format("n{}-{}", n, turn);
                if (caller.call(*instance, id, requestOf(kinds()[0], id)) == Caller::Result::NotSent) {
                    return caller.seen();
                }
            }
        });
    }
    const SeenAnswers seen = callers.join();
    CHECK(instance->process().terminate(GraceSeconds) == 0);
    checkAnswers(seen, passedOn(endpoint));
    CHECK(seen.answered > CallerCount);
}

namespace
{
constexpr int Budget = 100000;
constexpr int MaxTokensOfTurn = 290;

/// The turns of a program, sent to the first instance that takes them.
SeenAnswers sendTurns(const std::vector<std::unique_ptr<TestInstance>> &instances, const std::string &program, const std::atomic<bool> &mayGoOn)
{
    constexpr Milliseconds RetryPause{50};
    Caller caller;
    std::size_t at = 0;
    std::string previous;
    for (int n = 0; mayGoOn && at < instances.size(); ++n) {
        const std::string id = fmt::format("{}-{}", program, n);
        const std::string history = previous.empty() ? std::string() : "X-Previous-Turn: " + previous + "\r\n";
        const std::string lines =
            fmt::format("X-Program-Id: {}\r\nX-Session-Id: s\r\nX-Token-Budget: {}\r\nX-Token-Usage: 10,{}\r\n{}", program, Budget, MaxTokensOfTurn, history);
        const bool wasConnected = caller.isConnected();
        const Caller::Result result = caller.call(*instances[at], id, callerRequest("/chat/a", id, lines));
        if (result == Caller::Result::Answered) {
            previous = id;
        } else if (result == Caller::Result::Refused) {
            std::this_thread::sleep_for(RetryPause);
        } else if (result == Caller::Result::NotSent && !wasConnected) {
            ++at;
        }
    }
    return caller.seen();
}
} // namespace

// Guards against turns that end without an answer when their program's home stops, and then the home that has followed it.
TEST_CASE("Two homes that stop one after the other, with an outage of the store in between, leave no turn without an answer", "[platform][stop]")
{
    constexpr int ProgramCount = 16;
    KvStandIn store;
    ScriptedEndpoint endpoint(respondAsAsked);
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", endpoint);
    TestArchive first(store, 1);
    TestArchive second(store, 2);
    std::vector<std::unique_ptr<TestInstance>> instances;
    for (int n = 1; n <= 3; ++n) {
        instances.push_back(std::make_unique<TestInstance>(store, n));
    }
    for (const auto &it : instances) {
        REQUIRE(it->awaitReady());
    }
    std::this_thread::sleep_for(Milliseconds(1500));
    std::atomic<bool> mayGoOn{true};
    CallerThreads callers;
    for (int n = 0; n < ProgramCount; ++n) {
        callers.start([&, n] { return sendTurns(instances, fmt::format("p{}", n), mayGoOn); });
    }
    std::this_thread::sleep_for(Milliseconds(1000));
    CHECK(instances[0]->process().terminate(GraceSeconds) == 0);
    store.setFault(KvStandIn::Fault::Unavailable);
    std::this_thread::sleep_for(Milliseconds(500));
    instances[1]->process().sendSignal(SIGTERM);
    std::this_thread::sleep_for(Milliseconds(1500));
    store.setFault(KvStandIn::Fault::None);
    CHECK(instances[1]->process().terminate(GraceSeconds) == 0);
    std::this_thread::sleep_for(Milliseconds(1000));
    mayGoOn = false;
    const SeenAnswers seen = callers.join();
    checkAnswers(seen, passedOn(endpoint));
    CHECK(seen.answered > ProgramCount);
}

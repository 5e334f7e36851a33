// Two ways in which an instance comes to send a stream request under an id that it has sent one under over a minute before, with no other such
// request in between: a runner hangs and the request is sent to another one (edge-2), or a caller uses its id again (edge-1). Other callers have
// requests under way on kept channels.
#include "harness.h"

#include <map>

using namespace review;

namespace
{
constexpr int Edges = 3;
constexpr int KeptChannels = 8; ///< At each of the two instances.
constexpr int AllowedLosses = 3; ///< LOST: "more than three times".
constexpr Milliseconds WorkTime{1500};
constexpr int LongObjectiveMs = 21000; ///< A request without a byte of an answer is sent elsewhere after three times this.
constexpr Milliseconds BookingsAt{62000};
constexpr Milliseconds RepeatedAt{62700};
constexpr Milliseconds AnswerLimit{4000};

std::string configuration()
{
    const std::string plan = fmt::format(
        R"({{"name":"r-plan","host":"h.example","prefix":"/plan/","type":"streaming","timeout-ms":100000,"slo-ms":{},"priority":0,"service":"llm","max-attempts":2,"resumable":true,"target-gap-ms":2500}})",
        LongObjectiveMs);
    return fmt::format(
        R"({{"version":1,"routes":[{},{},{}],"services":[{{"name":"llm","health-path":"/healthz","max-conns":170,"backend":{{"slots":16,"chunk-tokens":29}}}},{{"name":"app","health-path":"/healthz","max-conns":100}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}})",
        route("quote", "streaming", 3000, 2, "llm", R"(,"resumable":true,"target-gap-ms":250)"),
        plan,
        route("book", "non_idempotent", 3000, 1, "app", ""));
}

std::string streamRequest(const std::string &path, const std::string &id, int deadlineMs)
{
    return requestHead("POST", path, id, deadlineMs, "X-Model: m\r\nX-Token-Usage: 100,58\r\n", 5) + "input";
}

std::string booking(const std::string &id)
{
    return requestHead("POST", "/book/truck", id, 3000, "", 1) + "x";
}

/// Callers that keep their channels to one instance. Each has had an answer and has another request under way.
class KeptCallers
{
public:
    KeptCallers(int edge, Record &record)
        : m_edge(edge)
        , m_record(record)
    {
        for (int n = 0; n < KeptChannels; ++n) {
            m_channels.push_back(std::make_unique<Connection>(edgeAddress(edge), CallersPort));
        }
        send(1);
        for (int n = 0; n < KeptChannels; ++n) {
            const Response response = m_channels[n]->read(AnswerLimit);
            m_record.line(fmt::format("{}: answered {}", name(n, 1), response.status));
            require(response.status == 200, "a first request on a channel isn't served");
        }
    }

    void send(int round)
    {
        for (int n = 0; n < KeptChannels; ++n) {
            require(m_channels[n]->send(booking(name(n, round))), "a caller can't send");
            m_record.line(fmt::format("{}: sent", name(n, round)));
        }
    }

    /// Returns on how many channels the second request is left without an answer.
    int countLost()
    {
        int lost = 0;
        for (int n = 0; n < KeptChannels; ++n) {
            const Response response = m_channels[n]->read(AnswerLimit);
            m_record.line(
                fmt::format("{}: {}", name(n, 2), response.status == 0 ? "the channel ended without an answer" : fmt::format("answered {}", response.status)));
            lost += response.status == 0 ? 1 : 0;
        }
        return lost;
    }

private:
    std::string name(int n, int round) const
    {
        return fmt::format("edge-{}-channel-{}-request-{}", m_edge, n, round);
    }

    const int m_edge;
    Record &m_record;
    std::vector<std::unique_ptr<Connection>> m_channels;
};

int script(Record &record)
{
    const Folder folder;
    KvStandIn store;
    std::mutex mutex;
    std::map<std::string, int> runs;
    const auto runStream = [&](const Runner::Request &request) {
        const std::lock_guard<std::mutex> lock(mutex);
        const bool hangs = request.attempt() == "long" && ++runs[request.attempt()] == 1 && hasTrouble();
        record.line(fmt::format("a model runner gets {}{}", request.attempt(), hangs ? " and hangs" : ""));
        return hangs ? std::string() : Runner::stream(request, {"one", "two"});
    };
    const Runner engine1(runnerAddress(1), Milliseconds(20), runStream);
    const Runner engine2(runnerAddress(2), Milliseconds(20), runStream);
    const auto book = [&](const Runner::Request &request) {
        record.line(fmt::format("the service's runner works on {}", request.attempt()));
        return Runner::answer(request, "booked");
    };
    const Runner app1(runnerAddress(3), WorkTime, book);
    const Runner app2(runnerAddress(4), WorkTime, book);
    const Runner app3(runnerAddress(5), WorkTime, book);
    store.put("op/config", configuration());
    registerRunner(store, "r1", engine1.address(), "llm", 1);
    registerRunner(store, "r2", engine2.address(), "llm", 2);
    registerRunner(store, "r3", app1.address(), "app", 1);
    registerRunner(store, "r4", app2.address(), "app", 2);
    registerRunner(store, "r5", app3.address(), "app", 3);
    const Deployment deployment{store.address(), Edges, 110, 120, {}};
    std::vector<std::unique_ptr<Program>> edges;
    for (int n = 1; n <= Edges; ++n) {
        edges.push_back(std::make_unique<Program>(instanceCommand(), folder.path() / fmt::format("edge-{}", n), edgeSettings(deployment, n)));
    }
    for (int n = 1; n <= Edges; ++n) {
        require(eventually([&] { return isReady(n); }, Milliseconds(8000)), "an instance isn't ready");
    }
    const Instant start = Clock::now();
    const std::string first = "probe";
    const std::string second = hasTrouble() ? first : "probe-2";
    const Response probe = exchange(edgeAddress(1), streamRequest("/quote/a", first, 3000), AnswerLimit);
    record.line(fmt::format("sent stream {} to edge-1, answered {}", first, probe.status));
    require(probe.status == 200 && probe.isComplete, "the first stream isn't served");
    Connection waiting(edgeAddress(2), CallersPort);
    require(waiting.send(streamRequest("/plan/a", "long", 90000)), "a caller can't send");
    record.line("sent stream long to edge-2");

    std::this_thread::sleep_until(start + BookingsAt - 2 * WorkTime);
    KeptCallers callers1(1, record);
    KeptCallers callers2(2, record);
    std::this_thread::sleep_until(start + BookingsAt);
    callers1.send(2);
    callers2.send(2);
    std::this_thread::sleep_until(start + RepeatedAt);
    Connection repeating(edgeAddress(1), CallersPort);
    require(repeating.send(streamRequest("/quote/a", second, 3000)), "a caller can't send");
    record.line(fmt::format("sent stream {} to edge-1", second));
    const int lost1 = callers1.countLost();
    const int lost2 = callers2.countLost();
    const Response repeated = repeating.read(AnswerLimit);
    const Response waited = waiting.read(AnswerLimit);
    std::string summary;
    const auto add = [&](int edge, const std::string &stream, const Response &response, int lost) {
        const bool hasEnded = eventually([&] { return !edges[edge - 1]->isRunning(); }, Milliseconds(500));
        summary += fmt::format("edge-{}: stream {} answered {}, process {}, channels closed without an answer: {} of {}\n",
                               edge,
                               stream,
                               response.status,
                               hasEnded ? "ended by itself" : "runs",
                               lost,
                               KeptChannels);
    };
    add(1, second, repeated, lost1);
    add(2, "long", waited, lost2);
    record.line(summary);
    std::cout << summary;
    return lost1 > AllowedLosses || lost2 > AllowedLosses ? RuleBroken : RuleHeld;
}
} // namespace

int main()
{
    return runScript(script);
}

// A long program under a rolling restart. Its turns follow one another well within their retention, but the program has
// lasted for longer than twice the retention.

#include "common/harness.h"

#include "platform/scriptedendpoint.h"

#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace review;
using flamingo::ReceivedRequest;
using flamingo::ScriptedEndpoint;

namespace
{
constexpr int TimeoutMs = 3000;
constexpr int RetentionSeconds = 30;
constexpr Milliseconds TurnPeriod{2500};
constexpr int TurnsBeforeRestart = 27;
constexpr Milliseconds ProgramObjective{110000};
constexpr int GraceSeconds = 8;
constexpr Milliseconds RestartDelay{300};
constexpr Milliseconds RollGap{1300};
/// A machine is in touch again this long after its start (contact-ms, with a margin).
constexpr Milliseconds ContactTime{3300};
constexpr int Tries = 6; ///< A turn is sent three times, each with one retry.
constexpr int FirstTurns = 10;

void respond(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    for (int n = 1; n <= 3; ++n) {
        connection.writeLater(Milliseconds(50) * n, ScriptedEndpoint::chunk(ScriptedEndpoint::event(n, "out of " + request.head.fields.value("X-Attempt-Id"))));
    }
    connection.writeLater(Milliseconds(160), "0\r\n\r\n");
}

struct Client {
    Record &record;
    Instant startedAt = std::chrono::steady_clock::now();

    Channel::Answer turn(const Machine &instance, const std::string &program, const std::string &id, const std::string &previous) const
    {
        const auto age = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - startedAt);
        std::string lines =
            fmt::format("X-Program-Id: {0}\r\nX-Session-Id: {0}-s\r\nX-Program-Deadline-Ms: {1}\r\nX-Token-Budget: 40000\r\nX-Token-Usage: 100,200\r\n",
                        program,
                        (ProgramObjective - age).count());
        if (!previous.empty()) {
            lines += fmt::format("X-Previous-Turn: {}\r\n", previous);
        }
        Channel channel(instance.ip, Deployment::CallersPort);
        channel.send(request("POST", "/chat/a", id, TimeoutMs, lines, fmt::format("[input of {}]", id)));
        const Channel::Answer answer = channel.read(Milliseconds(TimeoutMs + 500));
        record.write(fmt::format("client: {} sent to {}, previous turn {}: {}", id, instance.name, previous.empty() ? "none" : previous, answer.summary()));
        return answer;
    }
};

Verdict play(Record &record)
{
    ScriptedEndpoint runner([](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) { respond(connection, request); });
    Deployment deployment(record);
    deployment.store.put(
        "op/config",
        manifest(1,
                 {route("chat", "streaming", TimeoutMs, 1, "llm", fmt::format(R"(,"resumable":false,"stateful":true,"retention-s":{}.0)", RetentionSeconds))},
                 {R"({"name":"llm","health-path":"/healthz","max-conns":170,"backend":{"slots":16,"chunk-tokens":29}})"}));
    registerRunner(deployment.store, "i-1", "llm", runner.address().text(), "zone-a", 16);
    const std::vector<Machine *> instances = {&deployment.add("edge-zone-a-1", "zone-a", false), &deployment.add("edge-zone-b-1", "zone-b", false)};
    deployment.add("storage-zone-a-1", "zone-a", true);
    deployment.add("storage-zone-b-1", "zone-b", true);
    for (const Machine *it : instances) {
        if (!deployment.awaitReady(*it)) {
            return Verdict::NotRun;
        }
    }
    // Traffic starts when the machines have seen each other.
    std::this_thread::sleep_for(Milliseconds(6000));

    const Client client{record};
    std::string last;
    Instant lastEndedAt;
    for (int n = 1; n <= TurnsBeforeRestart; ++n) {
        sleepUntil(client.startedAt + TurnPeriod * (n - 1));
        const std::string id = fmt::format("t{}", n);
        const Channel::Answer answer = client.turn(*instances[static_cast<std::size_t>(n) % instances.size()], "long", id, last);
        if (answer.status != 200 || !answer.isComplete) {
            return Verdict::NotRun;
        }
        last = id;
        lastEndedAt = std::chrono::steady_clock::now();
    }
    for (Machine *it : instances) {
        if (hasTrouble()) {
            record.write(fmt::format("platform: SIGTERM {}", it->name));
            const int exitCode = it->process->terminate(GraceSeconds);
            record.write(fmt::format("platform: {} has exited with {}", it->name, exitCode));
            std::this_thread::sleep_for(RestartDelay);
            deployment.start(*it);
            if (!deployment.awaitReady(*it)) {
                return Verdict::NotRun;
            }
            record.write(fmt::format("platform: {} is ready", it->name));
            std::this_thread::sleep_for(RollGap);
        }
    }
    std::this_thread::sleep_for(ContactTime);

    int servedFirstTurns = 0;
    for (int n = 0; n < FirstTurns; ++n) {
        const Channel::Answer answer =
            client.turn(*instances[static_cast<std::size_t>(n) % instances.size()], fmt::format("other{}", n), fmt::format("f{}", n), {});
        servedFirstTurns += answer.status == 200 && answer.isComplete ? 1 : 0;
    }
    int served = 0;
    int notFound = 0;
    int tries = 0;
    for (; tries < Tries && served == 0; ++tries) {
        const auto sinceLast = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - lastEndedAt);
        record.write(fmt::format("client: {} ended {} ms ago, its retention is {} s", last, sinceLast.count(), RetentionSeconds));
        if (sinceLast > std::chrono::seconds(RetentionSeconds)) {
            return Verdict::NotRun;
        }
        const Channel::Answer answer =
            client.turn(*instances[static_cast<std::size_t>(tries) % instances.size()], "long", fmt::format("next-{}", tries + 1), last);
        served += answer.status == 200 && answer.isComplete ? 1 : 0;
        notFound += answer.status == 404 || answer.status == 410 ? 1 : 0;
        std::this_thread::sleep_for(Milliseconds(550));
    }
    int reachedRunner = 0;
    for (const ReceivedRequest &it : runner.requests()) {
        reachedRunner += it.head.fields.value("X-Attempt-Id").rfind("next-", 0) == 0 ? 1 : 0;
    }
    record.write(fmt::format("first turns served: {} of {}; tries of the next turn: {}, at a runner: {}", servedFirstTurns, FirstTurns, tries, reachedRunner));
    if (servedFirstTurns * 10 < FirstTurns * 9 || (!hasTrouble() && served == 0)) {
        return Verdict::NotRun;
    }
    return notFound > 0 || (reachedRunner == 0 && tries >= 5) ? Verdict::Broken : Verdict::Held;
}
} // namespace

int main(int, char **argv)
{
    return runCase(argv[1], play);
}

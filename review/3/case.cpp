// A planned stop while clients use their kept channels. A stream that begins on one of them more than three seconds after
// SIGTERM is accepted and passed on to its runner, and then cut off.

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
constexpr int TimeoutMs = 5000;
constexpr int Events = 12;
constexpr Milliseconds EventPause{380}; ///< Below the 400 ms that the route declares in target-gap-ms.
constexpr int GraceSeconds = 8;
/// The client's other stream, during which the process is told to stop.
constexpr Milliseconds StopAfter{300};
/// After SIGTERM.
constexpr Milliseconds LateRequestAfter{3700};

void respond(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request, Record &record)
{
    record.write(fmt::format("runner: runs {}", request.head.fields.value("X-Attempt-Id")));
    if (request.head.target.rfind("/ask/", 0) == 0) {
        connection.write(ScriptedEndpoint::response(request, "ok"));
        return;
    }
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    for (int n = 1; n <= Events; ++n) {
        connection.writeLater(EventPause * n, ScriptedEndpoint::chunk(ScriptedEndpoint::event(n, fmt::format("part {}", n))));
    }
    connection.writeLater(EventPause * Events + Milliseconds(1), "0\r\n\r\n");
}

Verdict play(Record &record)
{
    ScriptedEndpoint runner([&](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) { respond(connection, request, record); });
    Deployment deployment(record);
    deployment.store.put("op/config",
                         manifest(1,
                                  {route("draft", "streaming", TimeoutMs, 1, "llm"), route("ask", "idempotent", 2000, 2, "llm")},
                                  {R"({"name":"llm","health-path":"/healthz","max-conns":100,"backend":{"slots":16,"chunk-tokens":29}})"}));
    registerRunner(deployment.store, "i-1", "llm", runner.address().text(), "zone-a", 16);
    Machine &instance = deployment.add("edge-zone-a-1", "zone-a", false);
    if (!deployment.awaitReady(instance)) {
        return Verdict::NotRun;
    }

    // Two clients with a kept channel each.
    Channel busy(instance.ip, Deployment::CallersPort);
    Channel kept(instance.ip, Deployment::CallersPort);
    kept.send(request("GET", "/ask/1", "k1", 2000, {}, {}));
    const Channel::Answer early = kept.read(Milliseconds(2000));
    record.write(fmt::format("client 2: the answer to k1 is {}", early.summary()));
    if (early.status != 200 || !early.keepsConnection) {
        return Verdict::NotRun;
    }
    busy.send(request("POST", "/draft/1", "b1", TimeoutMs, {}, "x"));
    record.write("client 1: sent the stream b1");
    std::this_thread::sleep_for(StopAfter);
    const Instant stoppedAt = std::chrono::steady_clock::now();
    if (hasTrouble()) {
        instance.process->sendSignal(SIGTERM);
        record.write("platform: SIGTERM edge-zone-a-1");
    }
    std::thread platform([&] {
        sleepUntil(stoppedAt + std::chrono::seconds(GraceSeconds));
        if (hasTrouble() && instance.process->isRunning()) {
            deployment.kill(instance);
        }
    });
    std::thread firstClient([&] { record.write(fmt::format("client 1: the answer to b1 is {}", busy.read(Milliseconds(TimeoutMs + 1000)).summary())); });

    sleepUntil(stoppedAt + LateRequestAfter);
    const bool isSent = kept.send(request("POST", "/draft/2", "k2", TimeoutMs, {}, "x"));
    record.write(
        fmt::format("client 2: {} the stream k2 on its kept channel, {} ms after SIGTERM", isSent ? "sent" : "could not send", LateRequestAfter.count()));
    const Channel::Answer late = kept.read(Milliseconds(TimeoutMs + 1000));
    record.write(fmt::format("client 2: the answer to k2 is {}", late.summary()));
    firstClient.join();
    platform.join();

    bool hasRun = false;
    for (const ReceivedRequest &it : runner.requests()) {
        hasRun = hasRun || it.head.fields.value("X-Attempt-Id") == "k2";
    }
    if (!hasTrouble() && !late.isComplete) {
        return Verdict::NotRun;
    }
    // The runner was sound and sent its whole answer within the time budget.
    return hasRun && !late.isComplete ? Verdict::Broken : Verdict::Held;
}
} // namespace

int main(int, char **argv)
{
    return runCase(argv[1], play);
}

// A turn whose input is longer than a value of the platform's store, but within the manifest's max-body-bytes. One archive
// loses its disk; long after it is back, a final fault takes the other archive's disk.

#include "common/harness.h"

#include "platform/scriptedendpoint.h"

#include <fmt/format.h>

#include <thread>

using namespace review;
using flamingo::ReceivedRequest;
using flamingo::ScriptedEndpoint;

namespace
{
constexpr int TimeoutMs = 3000;
constexpr std::size_t LongInputBytes = 1200000;
constexpr Milliseconds PowerOffTime{1000};
/// catch-up-s, after contact-ms from the end of the impairment, with a margin.
constexpr Milliseconds CatchUpTime{8000};

void respond(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request, Record &record)
{
    record.write(fmt::format("runner: runs {} with a body of {} bytes", request.head.fields.value("X-Attempt-Id"), request.body.size()));
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                     + ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, "out")) + "0\r\n\r\n");
}

Channel::Answer sendTurn(Record &record, const Machine &instance, const std::string &id, const std::string &previous, std::size_t inputBytes)
{
    const std::string lines = previous.empty() ? std::string() : fmt::format("X-Previous-Turn: {}\r\n", previous);
    Channel channel(instance.ip, Deployment::CallersPort);
    channel.send(request("POST", "/chat/a", id, TimeoutMs, lines + fmt::format("X-Program-Id: p-{}\r\n", id), std::string(inputBytes, 'i')));
    const Channel::Answer answer = channel.read(Milliseconds(TimeoutMs + 500));
    record.write(fmt::format(
        "client: {} with {} bytes sent to {}, previous turn {}: {}", id, inputBytes, instance.name, previous.empty() ? "none" : previous, answer.summary()));
    return answer;
}

Verdict play(Record &record)
{
    ScriptedEndpoint runner([&](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) { respond(connection, request, record); });
    Deployment deployment(record);
    deployment.store.put("op/config",
                         manifest(1,
                                  {route("chat", "streaming", TimeoutMs, 1, "llm", R"(,"resumable":false,"stateful":true,"retention-s":60.0)")},
                                  {R"({"name":"llm","health-path":"/healthz","max-conns":170,"backend":{"slots":16,"chunk-tokens":29}})"}));
    registerRunner(deployment.store, "i-1", "llm", runner.address().text(), "zone-a", 16);
    const std::vector<Machine *> instances = {&deployment.add("edge-zone-a-1", "zone-a", false), &deployment.add("edge-zone-b-1", "zone-b", false)};
    const std::vector<Machine *> archives = {&deployment.add("storage-zone-a-1", "zone-a", true), &deployment.add("storage-zone-b-1", "zone-b", true)};
    for (const Machine *it : instances) {
        if (!deployment.awaitReady(*it)) {
            return Verdict::NotRun;
        }
    }
    std::this_thread::sleep_for(Milliseconds(6000));

    const Channel::Answer big = sendTurn(record, *instances[0], "big", {}, LongInputBytes);
    const Channel::Answer small = sendTurn(record, *instances[0], "small", {}, 100);
    if (big.status != 200 || !big.isComplete || small.status != 200 || !small.isComplete) {
        return Verdict::NotRun;
    }
    std::this_thread::sleep_for(CatchUpTime);
    if (hasTrouble()) {
        deployment.kill(*archives[0]);
        deployment.wipe(*archives[0]);
        std::this_thread::sleep_for(PowerOffTime);
        deployment.start(*archives[0]);
        std::this_thread::sleep_for(CatchUpTime);
        record.write("final fault: one archive loses its disk, all other machines lose power");
        for (Machine *it : {archives[0], archives[1], instances[0], instances[1]}) {
            deployment.kill(*it);
        }
        deployment.wipe(*archives[1]);
        std::this_thread::sleep_for(PowerOffTime);
        for (Machine *it : {archives[0], archives[1], instances[0], instances[1]}) {
            deployment.start(*it);
        }
        for (const Machine *it : instances) {
            if (!deployment.awaitReady(*it)) {
                return Verdict::NotRun;
            }
        }
        std::this_thread::sleep_for(Milliseconds(4000));
    }
    const Channel::Answer afterSmall = sendTurn(record, *instances[1], "after-small", "small", 100);
    int notFound = 0;
    int served = 0;
    for (int n = 0; n < 3; ++n) {
        const Channel::Answer after = sendTurn(record, *instances[static_cast<std::size_t>(n) % 2], fmt::format("after-big-{}", n + 1), "big", 100);
        notFound += after.status == 404 || after.status == 410 ? 1 : 0;
        served += after.status == 200 && after.isComplete ? 1 : 0;
        std::this_thread::sleep_for(Milliseconds(500));
    }
    if (afterSmall.status != 200 || (!hasTrouble() && served != 3)) {
        return Verdict::NotRun;
    }
    return notFound > 0 ? Verdict::Broken : Verdict::Held;
}
} // namespace

int main(int, char **argv)
{
    return runCase(argv[1], play);
}

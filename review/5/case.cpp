// A machine is added to the system. Programs that begin afterwards, and whose budget is kept there, are served until half of their
// budget is used; then a turn that fits into the budget several times over is refused again and again. With VARIANT=kill, one
// process is killed and started again instead, while programs are under way.

#include "common/harness.h"

#include "platform/scriptedendpoint.h"

#include <fmt/format.h>

#include <cstdlib>

#include <thread>

using namespace review;
using flamingo::ReceivedRequest;
using flamingo::ScriptedEndpoint;

namespace
{
constexpr int TimeoutMs = 3000;
constexpr int ChunkTokens = 29;
constexpr int EventsOfTurn = 9;
constexpr int MaxTokensOfTurn = 10 * ChunkTokens;
constexpr int Turns = 10;
constexpr int Budget = Turns * MaxTokensOfTurn;
constexpr int Programs = 40;
/// As many as on the sheet. The last one is added later, or the first one is killed, which is less than the share of 0.16 that may
/// be killed.
constexpr int Instances = 7;
constexpr int TurnsBeforeKill = 2;
/// Traffic starts this long after the machines do.
constexpr Milliseconds TrafficStart{10000};
constexpr Milliseconds ProgramObjective{90000};
constexpr Milliseconds RestartDelay{1000};
/// A machine is in touch again this long after its start (contact-ms, with a margin).
constexpr Milliseconds ContactTime{3500};
constexpr int Tries = 6; ///< A turn is sent three times, each with one retry.
/// The case ends after so many, to stay within its time.
constexpr int MaxStuckPrograms = 5;
constexpr Milliseconds PauseBetweenTries{600}; ///< Longer than the Retry-After of a refusal.

void respond(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    std::string events;
    for (int n = 1; n <= EventsOfTurn; ++n) {
        events += ScriptedEndpoint::event(n, fmt::format("part {}", n));
    }
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                     + ScriptedEndpoint::chunk(events) + "0\r\n\r\n");
}

struct Program {
    std::string id;
    std::string lastTurn;
    int turns = 0;
    int usedTokens = 0;
};

struct Client {
    Record &record;
    const std::vector<Machine *> &instances;
    Instant startedAt = std::chrono::steady_clock::now();
    std::size_t nextInstance = 0;

    /// Sends the next turn of the program. Tries alternate between the instances.
    Channel::Answer sendTurn(Program &program, int attempt, const std::vector<Machine *> &to)
    {
        const Machine &instance = *to[nextInstance++ % to.size()];
        const auto age = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - startedAt);
        const std::string id = fmt::format("{}-t{}-{}", program.id, program.turns + 1, attempt);
        std::string lines =
            fmt::format("X-Program-Id: {0}\r\nX-Session-Id: {0}-s\r\nX-Program-Deadline-Ms: {1}\r\nX-Token-Budget: {2}\r\nX-Token-Usage: 100,{3}\r\n",
                        program.id,
                        (ProgramObjective - age).count(),
                        Budget,
                        MaxTokensOfTurn);
        if (!program.lastTurn.empty()) {
            lines += fmt::format("X-Previous-Turn: {}\r\n", program.lastTurn);
        }
        Channel channel(instance.ip, Deployment::CallersPort);
        channel.send(request("POST", "/chat/a", id, TimeoutMs, lines, fmt::format("[input of {}]", id)));
        const Channel::Answer answer = channel.read(Milliseconds(TimeoutMs + 500));
        record.write(
            fmt::format("client: {} sent to {}: {}; the program has used {} of {} tokens", id, instance.name, answer.summary(), program.usedTokens, Budget));
        if (answer.status == 200 && answer.isComplete) {
            program.lastTurn = id;
            ++program.turns;
            program.usedTokens += EventsOfTurn * ChunkTokens;
        }
        return answer;
    }
};

bool isServed(const Channel::Answer &answer)
{
    return answer.status == 200 && answer.isComplete;
}

Verdict play(Record &record)
{
    ScriptedEndpoint runner([](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) { respond(connection, request); });
    Deployment deployment(record);
    deployment.store.put(
        "op/config",
        manifest(1,
                 {route("chat", "streaming", TimeoutMs, 1, "llm", R"(,"resumable":false,"stateful":true,"retention-s":60.0)")},
                 {fmt::format(R"({{"name":"llm","health-path":"/healthz","max-conns":170,"backend":{{"slots":16,"chunk-tokens":{}}}}})", ChunkTokens)}));
    registerRunner(deployment.store, "i-1", "llm", runner.address().text(), "zone-a", 16);
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    std::vector<Machine *> instances;
    const auto addInstance = [&](bool isFirstStart) {
        const std::size_t n = instances.size();
        const std::string &zone = zones[n % zones.size()];
        instances.push_back(&deployment.add(fmt::format("edge-{}-{}", zone, n / zones.size() + 1), zone, false, isFirstStart));
    };
    const bool isKill = std::getenv("VARIANT") && std::string(std::getenv("VARIANT")) == "kill";
    while (instances.size() < static_cast<std::size_t>(isKill ? Instances : Instances - 1)) {
        addInstance(true);
    }
    deployment.add("storage-zone-a-1", "zone-a", true);
    deployment.add("storage-zone-b-1", "zone-b", true);
    for (const Machine *it : instances) {
        if (!deployment.awaitReady(*it)) {
            return Verdict::NotRun;
        }
    }
    std::this_thread::sleep_for(TrafficStart);

    Client client{record, instances};
    std::vector<Program> programs;
    for (int n = 1; n <= Programs; ++n) {
        programs.push_back({fmt::format("p{}", n), {}, 0, 0});
    }
    if (isKill) {
        for (int n = 0; n < TurnsBeforeKill; ++n) {
            for (Program &it : programs) {
                if (!isServed(client.sendTurn(it, 1, instances))) {
                    return Verdict::NotRun;
                }
            }
        }
    }
    if (hasTrouble()) {
        if (isKill) {
            deployment.kill(*instances[0]);
            std::this_thread::sleep_for(RestartDelay);
            deployment.start(*instances[0]);
        } else {
            record.write("platform: a machine is added");
            addInstance(false);
        }
        if (!deployment.awaitReady(isKill ? *instances.front() : *instances.back())) {
            return Verdict::NotRun;
        }
    }
    std::this_thread::sleep_for(ContactTime);
    record.write("all machines are in touch; no impairment follows");

    int firstTurns = 0;
    for (int n = 1; n <= 10; ++n) {
        Program other{fmt::format("first{}", n), {}, 0, 0};
        firstTurns += isServed(client.sendTurn(other, 1, instances)) ? 1 : 0;
    }
    int stuckPrograms = 0;
    for (Program &program : programs) {
        if (stuckPrograms == MaxStuckPrograms) {
            break;
        }
        while (program.turns < Turns) {
            int tries = 0;
            int refused = 0;
            while (tries < Tries) {
                const Channel::Answer answer = client.sendTurn(program, ++tries, instances);
                if (isServed(answer)) {
                    break;
                }
                refused += answer.status == 503 ? 1 : 0;
                std::this_thread::sleep_for(PauseBetweenTries);
            }
            if (tries == Tries && refused == Tries) {
                ++stuckPrograms;
                record.write(fmt::format("client: {} gives up before its turn {}: {} tries refused, {} of {} tokens left, a turn needs {} at most",
                                         program.id,
                                         program.turns + 1,
                                         Tries,
                                         Budget - program.usedTokens,
                                         Budget,
                                         MaxTokensOfTurn));
                break;
            }
            if (tries == Tries) {
                break;
            }
        }
    }
    // No refused turn has reached the runner.
    int reachedRunner = 0;
    for (const ReceivedRequest &it : runner.requests()) {
        const std::string id = it.head.fields.value("X-Attempt-Id");
        reachedRunner += id[0] == 'p' ? 1 : 0;
    }
    int answered = 0;
    for (const Program &it : programs) {
        answered += it.turns;
    }
    record.write(fmt::format("first turns served: {} of 10; programs found stuck: {} of {}; turns answered: {}, at the runner: {}",
                             firstTurns,
                             stuckPrograms,
                             Programs,
                             answered,
                             reachedRunner));
    if (firstTurns < 9 || (!hasTrouble() && stuckPrograms > 0)) {
        return Verdict::NotRun;
    }
    return stuckPrograms > 0 && reachedRunner == answered ? Verdict::Broken : Verdict::Held;
}
} // namespace

int main(int, char **argv)
{
    return runCase(argv[1], play);
}

// A runner is killed in the middle of a stream's event. Its answer has no length and ends with its channel.

#include "common/harness.h"

#include "platform/scriptedendpoint.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace review;
using flamingo::ReceivedRequest;
using flamingo::ScriptedEndpoint;

namespace
{
constexpr int TimeoutMs = 5000;
/// One of them crashes, which is less than the share of 0.15 that may crash at once.
constexpr int Runners = 7;
constexpr Milliseconds EventPause{150};
/// The runner pauses in the middle of the fourth event, where it is killed.
constexpr Milliseconds PauseInsideEvent{1200};
constexpr Milliseconds KillAfter{1000};

const std::string FirstHalf = "id: 4\ndata: the deposit is 4";
const std::string SecondHalf = "500 dollars\n\n";

std::string wholeStream()
{
    std::string text;
    for (int n = 1; n <= 3; ++n) {
        text += ScriptedEndpoint::event(n, fmt::format("part {}", n));
    }
    return text + FirstHalf + SecondHalf + ScriptedEndpoint::event(5, "part 5");
}

/// The runner's process: it tells its port in a file, and appends each request that it runs to another.
int runRunner(const std::string &portFile, const std::string &ranFile)
{
    ScriptedEndpoint endpoint([&](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) {
        std::ofstream(ranFile, std::ios::app) << request.head.fields.value("X-Attempt-Id") << " body=[" << request.body << "]" << std::endl;
        connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nConnection: close\r\n"));
        for (int n = 1; n <= 3; ++n) {
            connection.writeLater(EventPause * n, ScriptedEndpoint::event(n, fmt::format("part {}", n)));
        }
        connection.writeLater(EventPause * 4, FirstHalf);
        connection.writeLater(EventPause * 4 + PauseInsideEvent, SecondHalf + ScriptedEndpoint::event(5, "part 5"));
        connection.closeLater(EventPause * 4 + PauseInsideEvent + Milliseconds(20));
    });
    std::ofstream(portFile) << endpoint.address().port << std::endl;
    std::this_thread::sleep_for(std::chrono::seconds(100));
    return 0;
}

/// A runner in a process of its own.
struct Runner {
    Runner(const std::string &program, const std::string &folder, const std::string &runnerName)
        : name(runnerName)
        , portFile(folder + "/" + name + ".port")
        , ranFile(folder + "/" + name + ".ran")
        , process({program, "runner", portFile, ranFile}, folder + "/" + name + ".log")
    {
        while (port == 0) {
            std::this_thread::sleep_for(Milliseconds(20));
            std::ifstream(portFile) >> port;
        }
    }

    std::string ran() const
    {
        std::stringstream text;
        text << std::ifstream(ranFile).rdbuf();
        return text.str();
    }

    std::string name;
    std::string portFile;
    std::string ranFile;
    flamingo::ChildProcess process;
    int port = 0;
};

std::string program;

Verdict play(Record &record)
{
    const std::string folder = (std::filesystem::temp_directory_path() / fmt::format("flamingo-review-runner-{}", getpid())).string();
    std::filesystem::create_directories(folder);
    Deployment deployment(record);
    std::vector<std::unique_ptr<Runner>> runners;
    deployment.store.put("op/config",
                         manifest(1,
                                  {route("chat", "streaming", TimeoutMs, 1, "llm", R"(,"resumable":false,"stateful":true,"retention-s":60.0)")},
                                  {R"({"name":"llm","health-path":"/healthz","max-conns":100,"backend":{"slots":16,"chunk-tokens":29}})"}));
    for (int n = 1; n <= Runners; ++n) {
        runners.push_back(std::make_unique<Runner>(program, folder, fmt::format("runner-{}", n)));
        registerRunner(deployment.store, fmt::format("i-{}", n), "llm", fmt::format("127.0.0.1:{}", runners.back()->port), "zone-a", 16);
    }
    Machine &instance = deployment.add("edge-zone-a-1", "zone-a", false);
    if (!deployment.awaitReady(instance)) {
        return Verdict::NotRun;
    }
    const auto runnerOf = [&](const std::string &attemptId) {
        const auto it =
            std::find_if(runners.begin(), runners.end(), [&](const auto &runner) { return runner->ran().find(attemptId + " ") != std::string::npos; });
        return it == runners.end() ? nullptr : it->get();
    };

    const Instant sentAt = std::chrono::steady_clock::now();
    Channel channel(instance.ip, Deployment::CallersPort);
    channel.send(request("POST", "/chat/a", "a1", TimeoutMs, {}, "[how much is the deposit?]"));
    record.write("client: sent the turn a1");
    std::thread crash;
    if (hasTrouble()) {
        crash = std::thread([&] {
            sleepUntil(sentAt + KillAfter);
            if (Runner *runner = runnerOf("a1")) {
                runner->process.kill();
                record.write(runner->name + ": SIGKILL in the middle of event 4");
                deployment.store.remove("servers/i-" + runner->name.substr(runner->name.find('-') + 1));
            }
        });
    }
    const Channel::Answer first = channel.read(Milliseconds(TimeoutMs + 1000));
    if (crash.joinable()) {
        crash.join();
    }
    const Runner *firstRunner = runnerOf("a1");
    if (!firstRunner) {
        return Verdict::NotRun;
    }
    record.write(fmt::format("{}: ran {}", firstRunner->name, firstRunner->ran()));
    record.write(fmt::format("client: the answer to a1 is {} body=[{}]", first.summary(), first.body));
    const bool isWhole = first.body == wholeStream();
    if (!hasTrouble() && !(first.status == 200 && first.isComplete && isWhole)) {
        return Verdict::NotRun;
    }

    // What the next turn's runner is given shows what the system has kept of the turn.
    std::this_thread::sleep_for(Milliseconds(1500));
    Channel next(instance.ip, Deployment::CallersPort);
    next.send(request("POST", "/chat/a", "a2", TimeoutMs, "X-Previous-Turn: a1\r\n", "[then pay it]"));
    record.write(fmt::format("client: the answer to a2, which continues a1, is {}", next.read(Milliseconds(TimeoutMs + 1000)).summary()));
    const Runner *secondRunner = runnerOf("a2");
    record.write(secondRunner ? fmt::format("{}: ran {}", secondRunner->name, secondRunner->ran()) : "no runner has run a2");
    runners.clear();
    std::filesystem::remove_all(folder);
    const bool looksComplete = first.status == 200 && first.isComplete;
    return looksComplete && !isWhole ? Verdict::Broken : Verdict::Held;
}
} // namespace

int main(int argc, char **argv)
{
    if (argc == 4 && std::string(argv[1]) == "runner") {
        return runRunner(argv[2], argv[3]);
    }
    program = std::filesystem::absolute(argv[0]).string();
    return runCase(argv[1], play);
}

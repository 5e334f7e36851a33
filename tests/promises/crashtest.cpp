// Crashes, suspensions and planned stops of daemons between and during a program's turns.

#include "promises/testdeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace flamingo;

namespace
{
constexpr int CallerCount = 8;

void sleepFor(int ms)
{
    std::this_thread::sleep_for(Milliseconds(ms));
}

/// A started program and the instance that owns its shard, so that a test can stop the owner.
struct OwnedProgram {
    explicit OwnedProgram(Deployment &deployment, int entry)
        : client(http, {deployment.entryPort(entry), deployment.entryPort((entry + 1) % 3)}, Deployment::callerKey("omaruru"))
    {
        REQUIRE(client.start("normal"));
        shard = static_cast<std::uint32_t>(std::stoul(client.programId()));
        owner = deployment.ownerOf(shard, entry);
        REQUIRE(owner >= 0);
    }

    HttpClient http;
    ProgramClient client;
    std::uint32_t shard = 0;
    int owner = -1;
};
} // namespace

TEST_CASE("kill-scheduler", "[promise]")
{
    // A program could lose its history: the scheduler that owns its shard is killed between two calls, and another instance
    // has to continue it. The daemon is restarted later.
    Deployment deployment(testPlan("kill-scheduler"));
    deployment.start();
    Workload workload(deployment, CallerCount, 1);
    workload.start();
    sleepFor(1500);
    OwnedProgram program(deployment, 0);
    REQUIRE(program.client.callModel("one", 10).isOk());
    const auto killedAt = std::chrono::steady_clock::now();
    deployment.daemon(program.owner, "scheduler").kill();
    REQUIRE(program.client.callModel("two", 10).isOk());
    printMeasurement(
        fmt::format("time from kill -9 of the owner to its program's next answer: {} ms", toMilliseconds(std::chrono::steady_clock::now() - killedAt)));
    REQUIRE(program.client.callModel("three", 10).isOk());
    REQUIRE(program.client.wrongAnswers() == 0);
    sleepFor(2000);
    deployment.startDaemon(program.owner, "scheduler");
    sleepFor(4000);
    const WorkloadResult workloadResult = workload.finish();
    INFO(workloadResult.summary());
    REQUIRE(workloadResult.hasNoViolations());
    REQUIRE(workloadResult.finished >= workloadResult.programs * 9 / 10);
}

TEST_CASE("kill-instance", "[promise]")
{
    // Like kill-scheduler, but all daemons of the owner's instance are killed at once. After the restart the deployment has to
    // converge.
    Deployment deployment(testPlan("kill-instance"));
    deployment.start();
    Workload workload(deployment, CallerCount, 2);
    workload.start();
    sleepFor(1500);
    OwnedProgram program(deployment, 0);
    REQUIRE(program.client.callModel("one", 10).isOk());
    const auto killedAt = std::chrono::steady_clock::now();
    for (const char *daemon : {"control", "scheduler", "entry"}) {
        deployment.daemon(program.owner, daemon).kill();
    }
    REQUIRE(program.client.callModel("two", 10).isOk());
    printMeasurement(
        fmt::format("time from kill -9 of a whole instance to its program's next answer: {} ms", toMilliseconds(std::chrono::steady_clock::now() - killedAt)));
    REQUIRE(program.client.wrongAnswers() == 0);
    deployment.startInstance(program.owner);
    REQUIRE(Deployment::waitFor(Milliseconds(20000), [&] { return deployment.isConverged({0, 1, 2}); }));
    const WorkloadResult workloadResult = workload.finish();
    INFO(workloadResult.summary());
    REQUIRE(workloadResult.hasNoViolations());
    REQUIRE(workloadResult.finished >= workloadResult.programs * 9 / 10);
}

TEST_CASE("kill-entry-and-control", "[promise]")
{
    Deployment deployment(testPlan("kill-entry-and-control"));
    deployment.start();
    Workload workload(deployment, CallerCount, 3);
    workload.start();
    sleepFor(1000);
    deployment.daemon(0, "entry").kill();
    sleepFor(500);
    deployment.daemon(1, "control").kill();
    sleepFor(4000);
    deployment.startDaemon(0, "entry");
    deployment.startDaemon(1, "control");
    sleepFor(3000);
    const WorkloadResult workloadResult = workload.finish();
    INFO(workloadResult.summary());
    REQUIRE(workloadResult.hasNoViolations());
    REQUIRE(workloadResult.finished >= workloadResult.programs * 9 / 10);
}

TEST_CASE("paused-owner", "[promise]")
{
    // A stale owner could act on a shard that another instance has taken over: the owner is suspended during a call and
    // resumes more than 4 s later.
    Deployment deployment(testPlan("paused-owner"));
    deployment.start();
    Workload workload(deployment, CallerCount, 4);
    workload.start();
    sleepFor(1000);
    OwnedProgram program(deployment, 0);
    REQUIRE(program.client.callModel("one", 10).isOk());
    deployment.daemon(program.owner, "scheduler").sendSignal(SIGSTOP);
    REQUIRE(program.client.callService("book", "while the owner is paused").errorKind != "call-conflict");
    sleepFor(4000);
    deployment.daemon(program.owner, "scheduler").sendSignal(SIGCONT);
    sleepFor(3000);
    REQUIRE(program.client.callModel("two", 10).isOk());
    REQUIRE(program.client.wrongAnswers() == 0);
    REQUIRE(deployment.ownerOf(program.shard, 0) >= 0);
    const WorkloadResult workloadResult = workload.finish();
    INFO(workloadResult.summary());
    REQUIRE(workloadResult.hasNoViolations());
    REQUIRE(workloadResult.finished >= workloadResult.programs * 8 / 10);
}

TEST_CASE("kill-owner-during-dispatch", "[promise]")
{
    // A call that must not be repeated could run twice: its owner is killed after sending it to the service and before the
    // outcome is recorded, and the next owner could send it again. The outcome has to be reported as unknown instead.
    auto plan = testPlan("kill-owner-during-dispatch");
    plan.serviceDelayMs = 3000;
    Deployment deployment(plan);
    deployment.start();
    OwnedProgram program(deployment, 0);
    CallResult result;
    std::thread caller([&] { result = program.client.callService("book", "generator"); });
    sleepFor(1000);
    deployment.daemon(program.owner, "scheduler").kill();
    caller.join();
    REQUIRE(result.errorKind == "outcome-unknown");
    REQUIRE(result.runState == "may-have-run");
    sleepFor(2500);
    int effects = 0;
    for (int n = 0; n < 2; ++n) {
        effects += deployment.getJson(deployment.servicePort(n), "/effects").value(program.client.programId() + "/1", 0);
    }
    REQUIRE(effects == 1);
    REQUIRE(program.client.callModel("what now", 10).isOk());
}

TEST_CASE("planned-stop", "[promise]")
{
    // A planned stop could cut off requests: a whole instance gets SIGTERM under load, while it serves a long stream.
    Deployment deployment(testPlan("planned-stop"));
    deployment.start();
    Workload workload(deployment, CallerCount, 5);
    workload.start();
    sleepFor(1000);
    OwnedProgram program(deployment, 0);
    CallResult result;
    std::thread caller([&] { result = program.client.callModel("a long answer", 400); });
    sleepFor(500);
    const auto start = std::chrono::steady_clock::now();
    int code = -1;
    std::thread stopper([&] { code = deployment.daemon(program.owner, "scheduler").terminate(40); });
    const int entryCode = deployment.daemon(program.owner, "entry").terminate(40);
    stopper.join();
    const int controlCode = deployment.daemon(program.owner, "control").terminate(10);
    printMeasurement(fmt::format("planned stop of an instance with a long stream on it: {} ms", toMilliseconds(std::chrono::steady_clock::now() - start)));
    caller.join();
    REQUIRE(code == 0);
    REQUIRE(entryCode == 0);
    REQUIRE(controlCode == 0);
    REQUIRE(result.isOk());
    REQUIRE(program.client.wrongAnswers() == 0);
    REQUIRE(program.client.callModel("and on", 10).isOk());
    const WorkloadResult workloadResult = workload.finish();
    INFO(workloadResult.summary());
    REQUIRE(workloadResult.hasNoViolations());
    REQUIRE(workloadResult.finished == workloadResult.programs);
}

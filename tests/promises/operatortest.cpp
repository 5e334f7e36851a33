// Tickets from operators, leaving endpoints, limits of agents, engine memory and malformed input.

#include "promises/testdeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <thread>

using namespace flamingo;

namespace
{
constexpr Milliseconds ConfigurationTimeLimit{14000}; // The users' requirement for a configuration change.
constexpr Milliseconds LeavingTimeLimit{5000}; // A leaving endpoint gets no new requests after this time.

void sleepFor(int ms)
{
    std::this_thread::sleep_for(Milliseconds(ms));
}

nlohmann::json budgetTicket(std::uint64_t number, std::int64_t budget)
{
    const nlohmann::json spec = {{"pool", "llm"}, {"services", {"dispatch"}}, {"budget_tokens", budget}};
    return {{"ticket", number}, {"objects", {{{"kind", "agent"}, {"id", "normal"}, {"spec", spec}}}}};
}

/// The number of the ticket that last changed the agent "normal" in the configuration of an instance's control daemon.
std::uint64_t appliedTicket(Deployment &deployment, int instance)
{
    const auto configuration = deployment.getJson(deployment.controlHttpPort(instance), "/v1/configuration");
    for (const auto &object : configuration.value("objects", nlohmann::json::array())) {
        if (object["kind"] == "agent" && object["id"] == "normal") {
            return object["ticket"].get<std::uint64_t>();
        }
    }
    return 0;
}

double engineRequestCount(Deployment &deployment, int n)
{
    return deployment.getJson(deployment.enginePort(n), "/v1/load").value("requests", 0.0);
}
} // namespace

TEST_CASE("racing-operators", "[promise]")
{
    // Instances could end with different configurations: three operators apply tickets at three instances at the same time.
    // The accepted ticket with the highest number has to win everywhere, and an older one is refused.
    Deployment deployment(testPlan("racing-operators"));
    deployment.start();
    std::set<std::uint64_t> accepted;
    std::mutex mutex;
    std::vector<std::thread> operators;
    for (int n = 0; n < 3; ++n) {
        operators.emplace_back([&, n] {
            for (std::uint64_t k = 0; k < 12; ++k) {
                const std::uint64_t number = 10 + k * 3 + static_cast<std::uint64_t>(n);
                const int status = deployment.applyTicket(n, budgetTicket(number, static_cast<std::int64_t>(number) * 1000));
                REQUIRE((status == 200 || status == 409));
                if (status == 200) {
                    const std::lock_guard<std::mutex> lock(mutex);
                    accepted.insert(number);
                }
            }
        });
    }
    for (std::thread &thread : operators) {
        thread.join();
    }
    REQUIRE_FALSE(accepted.empty());
    const std::uint64_t newest = *accepted.rbegin();
    REQUIRE(Deployment::waitFor(ConfigurationTimeLimit, [&] {
        return appliedTicket(deployment, 0) == newest && appliedTicket(deployment, 1) == newest && appliedTicket(deployment, 2) == newest;
    }));
    REQUIRE(deployment.applyTicket(0, budgetTicket(3, 5)) == 409);
    // The configuration survives a crash of all control daemons at once.
    for (int n = 0; n < 3; ++n) {
        deployment.daemon(n, "control").kill();
    }
    for (int n = 0; n < 3; ++n) {
        deployment.startDaemon(n, "control");
    }
    REQUIRE(Deployment::waitFor(Milliseconds(10000), [&] { return appliedTicket(deployment, 2) != 0; }));
    REQUIRE(appliedTicket(deployment, 2) == newest);
}

TEST_CASE("ticket-spreads-by-peers", "[promise]")
{
    auto plan = testPlan("ticket-spreads-by-peers");
    plan.usesProxy = true;
    Deployment deployment(plan);
    deployment.start();
    const auto msUntilApplied = [&](std::uint64_t number) {
        const auto start = std::chrono::steady_clock::now();
        REQUIRE(deployment.applyTicket(0, budgetTicket(number, 1000)) == 200);
        REQUIRE(Deployment::waitFor(ConfigurationTimeLimit, [&] { return deployment.isConverged({0, 1, 2}) && appliedTicket(deployment, 2) == number; }));
        return toMilliseconds(std::chrono::steady_clock::now() - start);
    };
    printMeasurement(fmt::format("a ticket is in force everywhere after {} ms", msUntilApplied(20)));
    deployment.setRoutes(deployment.routesToStore(2), "cut");
    printMeasurement(fmt::format("with one instance cut off from the store, after {} ms", msUntilApplied(21)));
    // A control daemon that is restarted without access to the store gets the configuration from its peers.
    deployment.daemon(2, "control").kill();
    deployment.startDaemon(2, "control");
    REQUIRE(Deployment::waitFor(ConfigurationTimeLimit, [&] { return appliedTicket(deployment, 2) == 21; }));
}

TEST_CASE("ticket-answer-lost", "[promise]")
{
    // A ticket could be reported as failed although it was stored: the store drops the responses to 70 % of the
    // successful writes.
    Deployment deployment(testPlan("ticket-answer-lost"));
    deployment.start();
    deployment.postAdmin(deployment.storePort(), {{"lose_answers", 0.7}});
    REQUIRE(deployment.applyTicket(1, budgetTicket(30, 777)) == 200);
    deployment.postAdmin(deployment.storePort(), {{"lose_answers", 0.0}});
    REQUIRE(Deployment::waitFor(ConfigurationTimeLimit, [&] { return appliedTicket(deployment, 0) == 30 && appliedTicket(deployment, 2) == 30; }));
    std::string body;
    REQUIRE(deployment.applyTicket(0, {{"ticket", 31}, {"objects", {{{"kind", "agent"}, {"id", "x"}, {"spec", {{"pool", "nowhere"}}}}}}}, &body) == 422);
    REQUIRE(body.find("ticket-unknown-object") != std::string::npos);
    REQUIRE(deployment.applyTicket(0, "nonsense") == 422);
}

TEST_CASE("leaving-endpoint", "[promise]")
{
    Deployment deployment(testPlan("leaving-endpoint"));
    deployment.start();
    Workload workload(deployment, 8, 11);
    workload.start();
    sleepFor(1000);
    // e0 leaves by a ticket.
    REQUIRE(deployment.applyTicket(1, {{"ticket", 40}, {"objects", {deployment.endpointObject("e0", true)}}}) == 200);
    // e1 leaves by the store's list of servers, which is updated 1.5 s late.
    deployment.postAdmin(deployment.storePort(), {{"list_lag_ms", 1500}, {"leaving", {"e1"}}});
    sleepFor(static_cast<int>(LeavingTimeLimit.count()));
    const double byTicket = engineRequestCount(deployment, 0);
    const double byList = engineRequestCount(deployment, 1);
    const double byOtherEngine = engineRequestCount(deployment, 2);
    sleepFor(3000);
    REQUIRE(engineRequestCount(deployment, 0) == byTicket);
    REQUIRE(engineRequestCount(deployment, 1) == byList);
    REQUIRE(engineRequestCount(deployment, 2) > byOtherEngine);
    const WorkloadResult workloadResult = workload.finish();
    INFO(workloadResult.summary());
    REQUIRE(workloadResult.hasNoViolations());
    REQUIRE(workloadResult.finished == workloadResult.programs);
}

TEST_CASE("limits-and-hung-tool", "[promise]")
{
    Deployment deployment(testPlan("limits-and-hung-tool"));
    deployment.start();
    HttpClient http;
    ProgramClient looping(http, {deployment.entryPort(0)}, Deployment::callerKey("omaruru"));
    REQUIRE(looping.start("tight"));
    CallResult last;
    int turns = 0;
    do {
        last = looping.send("POST",
                            fmt::format("/v1/programs/{}/calls/{}", looping.programId(), looping.nextCallNumber()),
                            {{"messages", {{{"role", "user"}, {"content", "again"}}}}, {"max_tokens", 10}},
                            Milliseconds(10000),
                            true);
        looping.setNextCallNumber(looping.nextCallNumber() + 1);
    } while (last.isOk() && ++turns < 50);
    REQUIRE(turns <= 6);
    REQUIRE((last.errorKind == "turn-limit-reached" || last.errorKind == "budget-exhausted"));
    // A service that never responds makes only its own call fail, with an unknown outcome; the program can continue.
    for (int n = 0; n < 2; ++n) {
        deployment.postAdmin(deployment.servicePort(n), {{"hang", true}});
    }
    ProgramClient hung(http, {deployment.entryPort(0)}, Deployment::callerKey("omaruru"));
    REQUIRE(hung.start("normal"));
    const auto result = hung.callService("book", "hangs", Milliseconds(1500));
    REQUIRE(result.runState == "may-have-run");
    CallResult recorded;
    REQUIRE(Deployment::waitFor(Milliseconds(5000), [&] {
        recorded = hung.send("GET", fmt::format("/v1/programs/{}/calls/1", hung.programId()), nullptr, Milliseconds(2000), true);
        return recorded.errorKind == "outcome-unknown";
    }));
    hung.setNextCallNumber(2);
    REQUIRE(hung.callModel("go on", 10).isOk());
}

TEST_CASE("engine-memory", "[promise]")
{
    for (const bool checksFencing : {true, false}) {
        auto plan = testPlan(checksFencing ? "engine-memory" : "engine-memory-no-fencing");
        plan.enginesCheckFencing = checksFencing;
        Deployment deployment(plan);
        deployment.start();
        const auto cachedProgramCount = [&] {
            std::size_t count = 0;
            for (int n = 0; n < plan.engines; ++n) {
                count += deployment.getJson(deployment.enginePort(n), "/v1/memory").value("programs", nlohmann::json::array()).size();
            }
            return count;
        };
        HttpClient http;
        std::vector<std::unique_ptr<ProgramClient>> clients;
        for (int n = 0; n < 6; ++n) {
            clients.push_back(std::make_unique<ProgramClient>(
                http, std::vector<std::uint16_t>{deployment.entryPort(n % 3), deployment.entryPort((n + 1) % 3)}, Deployment::callerKey("omaruru")));
            // Three programs are ended by their caller; the other three are ended by their agent's idle timeout.
            REQUIRE(clients.back()->start(n < 3 ? "normal" : "tight"));
            REQUIRE(clients.back()
                        ->send("POST",
                               fmt::format("/v1/programs/{}/calls/1", clients.back()->programId()),
                               {{"messages", {{{"role", "user"}, {"content", "hello"}}}}, {"max_tokens", 10}},
                               Milliseconds(10000),
                               true)
                        .isOk());
        }
        REQUIRE(cachedProgramCount() >= 3);
        // A scheduler is killed before the engines' memory is released; the next owner of its shards has to release it.
        deployment.daemon(1, "scheduler").kill();
        for (int n = 0; n < 3; ++n) {
            REQUIRE(Deployment::waitFor(Milliseconds(10000), [&] { return clients[n]->end().isOk(); }));
        }
        REQUIRE(Deployment::waitFor(Milliseconds(12000), [&] { return cachedProgramCount() == 0; }));
    }
}

TEST_CASE("bad-input", "[promise]")
{
    Deployment deployment(testPlan("bad-input"));
    deployment.start();
    HttpClient http;
    ProgramClient client(http, {deployment.entryPort(0)}, Deployment::callerKey("omaruru"));
    REQUIRE(client.start("normal"));
    const std::string call = fmt::format("/v1/programs/{}/calls/1", client.programId());
    const auto kindOf = [&](const std::string &method, const std::string &path, const nlohmann::json &body) {
        return client.send(method, path, body, Milliseconds(5000), true).errorKind;
    };
    REQUIRE(kindOf("POST", call, "text") == "malformed-request");
    REQUIRE(kindOf("POST", call, {{"messages", 5}}) == "malformed-request");
    REQUIRE(kindOf("POST", call, {{"strange", 5}}) == "malformed-request");
    REQUIRE(kindOf("POST", call, {{"service", "nowhere"}, {"operation", "x"}}) == "unknown-pool");
    REQUIRE(kindOf("POST", fmt::format("/v1/programs/{}/calls/7", client.programId()), {{"service", "dispatch"}, {"operation", "book"}})
            == "call-out-of-order");
    REQUIRE(kindOf("POST", "/v1/programs/0-nosuch/calls/1", {{"service", "dispatch"}, {"operation", "book"}}) == "unknown-program");
    REQUIRE(kindOf("POST", "/v1/programs/zero/calls/1", {{"service", "dispatch"}, {"operation", "book"}}) == "unknown-program");
    REQUIRE(kindOf("POST", "/v1/programs", {{"agent", "nobody"}}) == "unknown-agent");
    REQUIRE(kindOf("GET", "/v1/nowhere", nullptr) == "not-found");
    REQUIRE(kindOf("POST", call, {{"messages", std::string(5 * 1024 * 1024, 'x')}}) == "request-too-large");
    ProgramClient unauthenticated(http, {deployment.entryPort(0)}, "wrong key");
    REQUIRE(unauthenticated.send("POST", call, {{"service", "dispatch"}, {"operation", "book"}}, Milliseconds(5000), true).errorKind == "unauthenticated");
    ProgramClient otherCaller(http, {deployment.entryPort(1)}, Deployment::callerKey("kitaezo"));
    REQUIRE(otherCaller.send("POST", call, {{"service", "dispatch"}, {"operation", "book"}}, Milliseconds(5000), true).errorKind == "unknown-program");
    REQUIRE(client.callModel("still fine", 10).isOk());
    REQUIRE(client.wrongAnswers() == 0);
    // The chat-completions interface with an idempotency key: the repeated request gets the response of the first one and
    // isn't run again.
    const nlohmann::json chat = {{"model", "normal"}, {"messages", {{{"role", "user"}, {"content", "hi"}}}}, {"max_tokens", 8}};
    const auto ask = [&](int entry) {
        HttpRequest request;
        request.method = "POST";
        request.url = fmt::format("http://127.0.0.1:{}/v1/chat/completions", deployment.entryPort(entry));
        request.headers = {"Authorization: Bearer " + Deployment::callerKey("omaruru"), "Idempotency-Key: abc"};
        request.body = dumpJson(chat);
        return http.sendAndWait(std::move(request));
    };
    const auto first = ask(0);
    const auto second = ask(2);
    REQUIRE(first);
    REQUIRE(second);
    REQUIRE(first->status == 200);
    REQUIRE(first->body == second->body);
}

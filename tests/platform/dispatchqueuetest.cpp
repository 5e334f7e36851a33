#include "instance/dispatchqueue.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <optional>

using namespace flamingo;

namespace
{
const PoolId Pool("model");
const DomainId Domain("one");

EndpointEntry endpointEntry(const std::string &id)
{
    EndpointEntry entry;
    entry.id = EndpointId(id);
    entry.pool = Pool;
    entry.address = {"127.0.0.1", 1};
    entry.domain = Domain;
    entry.slots = 16;
    return entry;
}

/// A queue before a few endpoints, and one call after the other.
struct Fixture {
    Fixture()
    {
        for (int n = 0; n < 4; ++n) {
            directory.put(endpointEntry(fmt::format("i-{}", n)));
        }
        queue.refreshEndpoints();
    }

    /// Queues a call. Returns the endpoint to which it was dispatched at once, if any.
    std::optional<EndpointId> dispatch(DispatchRequest &call)
    {
        const Instant now = std::chrono::steady_clock::now();
        call.program = ProgramId(fmt::format("p{}", ++callCount));
        call.pool = Pool;
        call.arrivedAt = now;
        call.deadline = now + Milliseconds(60000);
        call.promptTokens = Tokens(500);
        call.expectedAnswerTokens = Tokens(300);
        std::optional<EndpointId> endpoint;
        const auto queued = queue.enqueue(call, {[&](const EndpointEntry &entry, const std::string &) { endpoint = entry.id; }, [](const Error &) {}});
        REQUIRE(queued);
        return endpoint;
    }

    EndpointDirectory directory;
    DispatchQueue queue{PolicyRules(), Domain, directory};
    int callCount = 0;
};
} // namespace

// Load pattern: a crest makes tokens so slow that turns count as long ones, of which only a share of the slots is taken. Each call
// ends before the next one arrives, so all slots are free again.
TEST_CASE_METHOD(Fixture, "Long calls that have ended give back their share of the slots", "[platform][dispatch]")
{
    CallObservation slow;
    slow.timeToFirstToken = Milliseconds(100);
    slow.totalTime = Milliseconds(9000);
    slow.generatedTokens = Tokens(300);
    for (int n = 0; n < 200; ++n) {
        DispatchRequest call;
        const auto endpoint = dispatch(call);
        INFO("call " << n);
        REQUIRE(endpoint);
        if (n % 3 == 2) {
            queue.onFailed(call, *endpoint, false);
        } else {
            queue.onFinished(call, *endpoint, slow);
        }
    }
}

// Load pattern: many dispatchers, each of which sees a small part of the programs and knows nothing of what the others have placed.
TEST_CASE("Dispatchers that don't know each other spread the programs over the endpoints", "[platform][dispatch]")
{
    constexpr int Dispatchers = 40;
    constexpr int ProgramsPerDispatcher = 100;
    constexpr int Endpoints = 20;
    constexpr double MaxShareOfMean = 1.4;
    EndpointDirectory directory;
    for (int n = 0; n < Endpoints; ++n) {
        directory.put(endpointEntry(fmt::format("i-{}", n)));
    }
    CallObservation observation;
    observation.timeToFirstToken = Milliseconds(50);
    observation.totalTime = Milliseconds(200);
    observation.generatedTokens = Tokens(40);
    std::map<EndpointId, int> programs;
    for (int n = 0; n < Dispatchers; ++n) {
        DispatchQueue queue(PolicyRules(), Domain, directory);
        queue.refreshEndpoints();
        for (int k = 0; k < ProgramsPerDispatcher; ++k) {
            const Instant now = std::chrono::steady_clock::now();
            DispatchRequest call;
            call.program = ProgramId(fmt::format("p{}-{}", n, k));
            call.pool = Pool;
            call.arrivedAt = now;
            call.deadline = now + Milliseconds(60000);
            call.promptTokens = Tokens(500);
            call.expectedAnswerTokens = Tokens(40);
            std::optional<EndpointId> endpoint;
            REQUIRE(queue.enqueue(call, {[&](const EndpointEntry &entry, const std::string &) { endpoint = entry.id; }, [](const Error &) {}}));
            REQUIRE(endpoint);
            ++programs[*endpoint];
            queue.onFinished(call, *endpoint, observation);
        }
    }
    const double mean = static_cast<double>(Dispatchers) * ProgramsPerDispatcher / Endpoints;
    CHECK(programs.size() == Endpoints);
    for (const auto &[id, count] : programs) {
        INFO(id.value() << " got " << count << " programs, the mean is " << mean);
        CHECK(count < MaxShareOfMean * mean);
    }
}

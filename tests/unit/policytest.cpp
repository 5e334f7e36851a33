#include "policy/dispatcher.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace flamingo;

namespace
{
const PoolId ModelPool("llm");

EndpointInfo makeEndpoint(const std::string &id, int slots)
{
    return {EndpointId(id), ModelPool, DomainId("d"), slots, false};
}

DispatchRequest makeCall(std::uint64_t id, PriorityClass priority, Instant now)
{
    DispatchRequest call;
    call.id = CallId(id);
    call.program = ProgramId(fmt::format("0-{}", id));
    call.pool = ModelPool;
    call.priority = priority;
    call.arrivedAt = now;
    call.deadline = now + std::chrono::seconds(60);
    call.promptTokens = Tokens(100);
    call.expectedAnswerTokens = Tokens(20);
    return call;
}

Dispatcher makeDispatcher(PolicyRules rules, const std::vector<EndpointInfo> &endpoints, int owners = 1)
{
    Dispatcher dispatcher(rules, DomainId("d"));
    dispatcher.setEndpoints(endpoints, owners);
    return dispatcher;
}

CallObservation makeObservation(int firstTokenMs, int totalMs)
{
    return {Milliseconds(firstTokenMs), Milliseconds(totalMs), Tokens(10), Tokens(20)};
}
} // namespace

TEST_CASE("An urgent call goes before calls that arrived earlier")
{
    const Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher({}, {makeEndpoint("e", 1)});
    auto first = makeCall(1, PriorityClass::Batch, now);
    auto second = makeCall(2, PriorityClass::Urgent, now);
    REQUIRE(dispatcher.enqueue(first, now));
    REQUIRE(dispatcher.enqueue(second, now));
    const auto sent = dispatcher.nextDecisions(now);
    REQUIRE(sent.size() == 1);
    REQUIRE(sent[0].call == CallId(2));
}

TEST_CASE("Some slots are reserved for urgent calls")
{
    const Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher({}, {makeEndpoint("e", 8)});
    for (std::uint64_t n = 0; n < 12; ++n) {
        auto call = makeCall(n, PriorityClass::Normal, now);
        REQUIRE(dispatcher.enqueue(call, now));
    }
    REQUIRE(dispatcher.nextDecisions(now).size() == 6);
    auto urgent = makeCall(99, PriorityClass::Urgent, now);
    REQUIRE(dispatcher.enqueue(urgent, now));
    const auto sent = dispatcher.nextDecisions(now);
    REQUIRE(sent.size() == 1);
    REQUIRE(sent[0].call == CallId(99));
}

TEST_CASE("A leaving endpoint gets no calls", "[promises]")
{
    const Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher({}, {makeEndpoint("a", 4), makeEndpoint("b", 4)});
    dispatcher.markLeaving(EndpointId("a"));
    for (std::uint64_t n = 0; n < 3; ++n) {
        auto call = makeCall(n, PriorityClass::Normal, now);
        REQUIRE(dispatcher.enqueue(call, now));
    }
    for (const DispatchDecision &dispatch : dispatcher.nextDecisions(now)) {
        REQUIRE(dispatch.endpoint == EndpointId("b"));
    }
    dispatcher.markLeaving(EndpointId("b"));
    auto call = makeCall(9, PriorityClass::Urgent, now);
    REQUIRE(dispatcher.enqueue(call, now).error().kind == ErrorKind::NoEndpoint);
}

TEST_CASE("A call goes to the endpoint that has its prefix cached")
{
    const Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher({}, {makeEndpoint("a", 4), makeEndpoint("b", 4), makeEndpoint("c", 4)});
    auto call = makeCall(1, PriorityClass::Normal, now);
    call.promptTokens = Tokens(5000);
    dispatcher.onPrefixCached(call.program, EndpointId("b"), Tokens(4900));
    REQUIRE(dispatcher.enqueue(call, now));
    REQUIRE(dispatcher.nextDecisions(now).at(0).endpoint == EndpointId("b"));
}

TEST_CASE("A slow endpoint is avoided until its observations expire")
{
    Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher({}, {makeEndpoint("slow", 8), makeEndpoint("fine", 8)});
    const auto call = makeCall(1, PriorityClass::Normal, now);
    for (int n = 0; n < 20; ++n) {
        dispatcher.onAttemptFinished(call, EndpointId("slow"), makeObservation(100, 2000), now);
        dispatcher.onAttemptFinished(call, EndpointId("fine"), makeObservation(20, 200), now);
    }
    // The attempts reported above never took a slot, so both endpoints have the same free slots.
    int toSlow = 0;
    for (std::uint64_t n = 0; n < 4; ++n) {
        auto next = makeCall(10 + n, PriorityClass::Normal, now);
        REQUIRE(dispatcher.enqueue(next, now));
        for (const DispatchDecision &dispatch : dispatcher.nextDecisions(now)) {
            toSlow += dispatch.endpoint == EndpointId("slow") ? 1 : 0;
        }
    }
    REQUIRE(toSlow == 0);
    const double msPerToken = dispatcher.endpointState(EndpointId("slow"))->msPerToken(now, 10);
    now += std::chrono::seconds(20);
    REQUIRE(dispatcher.endpointState(EndpointId("slow"))->msPerToken(now, 10) < msPerToken / 5);
}

TEST_CASE("A call that can't meet its deadline is refused early with a retry delay")
{
    const Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher({}, {makeEndpoint("e", 1)});
    const auto call = makeCall(0, PriorityClass::Normal, now);
    for (int n = 0; n < 10; ++n) {
        dispatcher.onAttemptFinished(call, EndpointId("e"), makeObservation(500, 1000), now);
    }
    Result<void> last;
    for (std::uint64_t n = 1; n < 40 && last; ++n) {
        auto next = makeCall(n, PriorityClass::Normal, now);
        next.deadline = now + std::chrono::seconds(10);
        last = dispatcher.enqueue(next, now);
    }
    REQUIRE_FALSE(last);
    REQUIRE(last.error().kind == ErrorKind::DeadlineUnreachable);
    REQUIRE(last.error().retryAfter);
    auto urgent = makeCall(99, PriorityClass::Urgent, now);
    urgent.deadline = now + std::chrono::seconds(10);
    REQUIRE(dispatcher.enqueue(urgent, now));
}

TEST_CASE("A batch call that has waited long goes before new normal calls")
{
    Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher({}, {makeEndpoint("e", 1)});
    auto batch = makeCall(1, PriorityClass::Batch, now);
    REQUIRE(dispatcher.enqueue(batch, now));
    now += std::chrono::seconds(25);
    auto normal = makeCall(2, PriorityClass::Normal, now);
    REQUIRE(dispatcher.enqueue(normal, now));
    REQUIRE(dispatcher.nextDecisions(now).at(0).call == CallId(1));
}

TEST_CASE("Hedges stay within their budget and go to another endpoint")
{
    Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher({}, {makeEndpoint("a", 8), makeEndpoint("b", 8)});
    auto call = makeCall(1, PriorityClass::Normal, now);
    for (int n = 0; n < 10; ++n) {
        dispatcher.onAttemptFinished(call, EndpointId("a"), makeObservation(20, 200), now);
        dispatcher.onAttemptFinished(call, EndpointId("b"), makeObservation(20, 200), now);
    }
    int hedges = 0;
    for (int n = 0; n < 20; ++n) {
        const auto second = dispatcher.tryHedge(call, EndpointId("a"), now - std::chrono::seconds(5), now);
        if (second) {
            REQUIRE(*second == EndpointId("b"));
            ++hedges;
        }
    }
    REQUIRE(hedges == 1);
    call.isRepeatable = false;
    REQUIRE_FALSE(dispatcher.tryHedge(call, EndpointId("a"), now - std::chrono::seconds(5), now));
}

TEST_CASE("The baseline is round robin and first in first out")
{
    const Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher(PolicyRules::baseline(), {makeEndpoint("a", 4), makeEndpoint("b", 4)});
    for (std::uint64_t n = 1; n <= 4; ++n) {
        auto call = makeCall(n, n == 4 ? PriorityClass::Urgent : PriorityClass::Batch, now - Milliseconds(10 - n));
        REQUIRE(dispatcher.enqueue(call, now));
    }
    const auto sent = dispatcher.nextDecisions(now);
    REQUIRE(sent.size() == 4);
    REQUIRE(sent[0].call == CallId(1));
    REQUIRE(sent[0].endpoint == EndpointId("a"));
    REQUIRE(sent[1].endpoint == EndpointId("b"));
    REQUIRE(sent[3].call == CallId(4));
}

TEST_CASE("A stream on a slow endpoint is moved if that saves time and the call may be repeated")
{
    const Instant now{std::chrono::seconds(100)};
    auto dispatcher = makeDispatcher({}, {makeEndpoint("slow", 8), makeEndpoint("a", 8), makeEndpoint("b", 8)});
    auto call = makeCall(1, PriorityClass::Normal, now);
    call.expectedAnswerTokens = Tokens(500);
    for (int n = 0; n < 20; ++n) {
        dispatcher.onTokenTimeObserved(EndpointId("slow"), 40, now);
        dispatcher.onTokenTimeObserved(EndpointId("a"), 10, now);
        dispatcher.onTokenTimeObserved(EndpointId("b"), 10, now);
    }
    REQUIRE_FALSE(dispatcher.tryMove(call, EndpointId("a"), Tokens(8), now));
    REQUIRE_FALSE(dispatcher.tryMove(call, EndpointId("slow"), Tokens(495), now));
    call.isRepeatable = false;
    REQUIRE_FALSE(dispatcher.tryMove(call, EndpointId("slow"), Tokens(8), now));
    call.isRepeatable = true;
    const auto target = dispatcher.tryMove(call, EndpointId("slow"), Tokens(8), now);
    REQUIRE(target);
    REQUIRE(*target != EndpointId("slow"));
}

TEST_CASE("A call that requires a software version waits for its endpoints without holding up others, and is refused when they have left")
{
    const Instant now{std::chrono::seconds(100)};
    auto oldEndpoint = makeEndpoint("old", 1);
    oldEndpoint.version = SoftwareVersion("v1");
    auto newEndpoint = makeEndpoint("new", 4);
    newEndpoint.version = SoftwareVersion("v2");
    auto dispatcher = makeDispatcher({}, {oldEndpoint, newEndpoint});
    const auto required = [&](std::uint64_t id) {
        auto call = makeCall(id, PriorityClass::Normal, now);
        call.requiredVersion = SoftwareVersion("v1");
        return call;
    };
    auto first = required(1);
    auto second = required(2);
    auto third = makeCall(3, PriorityClass::Normal, now);
    REQUIRE(dispatcher.enqueue(first, now));
    REQUIRE(dispatcher.nextDecisions(now).size() == 1);
    REQUIRE(dispatcher.enqueue(second, now));
    REQUIRE(dispatcher.enqueue(third, now));
    const auto sent = dispatcher.nextDecisions(now);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].call == CallId(3));
    CHECK(sent[0].endpoint == EndpointId("new"));
    dispatcher.setEndpoints({newEndpoint}, 1);
    CHECK(dispatcher.takeUnservable() == std::vector<CallId>{CallId(2)});
    auto fourth = required(4);
    const auto refused = dispatcher.enqueue(fourth, now);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == ErrorKind::NoEndpoint);
}

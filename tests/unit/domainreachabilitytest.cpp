#include "serving/domainreachability.h"
#include "core/timerservice.h"
#include "instance/isolationdetector.h"
#include "policy/dispatcher.h"
#include "serving/memberdirectory.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace
{
const DomainId Near("near");
const DomainId Far("far");
const Instant Start = Instant() + std::chrono::hours(1);
constexpr Milliseconds CheckPeriod{100};
const std::map<DomainId, std::size_t> MemberCounts{{Near, 5}, {Far, 4}};

/// Plays the checks of one instance; each domain responds to a ping before the next check unless it is cut off.
struct Checks {
    void run(Milliseconds duration)
    {
        for (const Instant end = now + duration; now < end; now += CheckPeriod) {
            for (const auto &ping : reachability.takePings(memberCounts, now)) {
                const bool isDown = ping.number % memberCounts.at(ping.domain) < downCount;
                if (ping.domain != cutOff && !isDown) {
                    reachability.recordResponse(ping.domain, now + Milliseconds(5));
                }
            }
            reachability.update(now);
        }
    }

    bool isUnreachable(const DomainId &domain) const
    {
        return reachability.unreachableDomains().count(domain) != 0;
    }

    DomainReachability reachability;
    std::map<DomainId, std::size_t> memberCounts = MemberCounts;
    std::size_t downCount = 0; ///< Members of each domain that never respond.
    std::optional<DomainId> cutOff;
    Instant now = Start;
};
} // namespace

// Guards against hundreds of calls that wait for timeouts of their own after a failure domain has been cut off.
TEST_CASE("A failure domain whose members are all silent is unreachable until one responds", "[serving]")
{
    Checks checks;
    checks.run(Milliseconds(3000));
    CHECK(checks.reachability.unreachableDomains().empty());

    checks.cutOff = Far;
    checks.run(Milliseconds(1000));
    CHECK(checks.isUnreachable(Far));
    CHECK_FALSE(checks.isUnreachable(Near));

    checks.cutOff.reset();
    checks.run(Milliseconds(500));
    CHECK_FALSE(checks.isUnreachable(Far));
}

// Guards against domains that are given up because this process itself was paused.
TEST_CASE("A pause of this process doesn't make a failure domain unreachable", "[serving]")
{
    Checks checks;
    checks.run(Milliseconds(1000));
    checks.now += Milliseconds(5000);
    CHECK(checks.reachability.takePings(MemberCounts, checks.now).size() == 2);
    checks.reachability.update(checks.now);
    CHECK(checks.reachability.unreachableDomains().empty());
}

// Guards against domains that are given up since all pings go to members that are down.
TEST_CASE("Members that are down don't make the rest of their failure domain unreachable", "[serving]")
{
    Checks checks;
    SECTION("Some of many")
    {
        checks.downCount = 2;
    }
    SECTION("All of a few")
    {
        checks.downCount = 2;
        checks.memberCounts = {{Near, 1}, {Far, 2}};
    }
    for (int n = 0; n < 100; ++n) {
        checks.run(CheckPeriod);
        REQUIRE(checks.reachability.unreachableDomains().empty());
    }
}

// Guards against domains that stay given up because the next ping is on its way when they are judged.
TEST_CASE("A failure domain that has responded is reachable, also while the next ping waits for its response", "[serving]")
{
    Checks checks;
    checks.cutOff = Far;
    checks.run(Milliseconds(1000));
    REQUIRE(checks.isUnreachable(Far));
    checks.reachability.recordResponse(Far, checks.now);
    checks.reachability.takePings(MemberCounts, checks.now + Milliseconds(300));
    checks.reachability.update(checks.now + Milliseconds(300));
    CHECK_FALSE(checks.isUnreachable(Far));
}

// Guards against endpoints and archives that are avoided for good after all instances of their domain have left the member list.
TEST_CASE("A failure domain is no longer unreachable once it has no instances", "[serving]")
{
    asio::io_context context;
    TimerService timers;
    MemberDirectory members(InstanceId("self"), Near);
    ConnectionPool connections(context, {});
    std::set<DomainId> unreachable;
    IsolationDetector detector(context,
                               timers,
                               members,
                               connections,
                               {[] { return Instant(); }, [] {}},
                               {[] { return RegistryVersions(); }, [](const RegistryVersions &) {}},
                               {[](bool) {}, [&](const std::set<DomainId> &it) { unreachable = it; }});
    const std::vector<InstanceId> others = {InstanceId("a"), InstanceId("b"), InstanceId("c")};
    for (const InstanceId &id : others) {
        members.put({id, Far, {"127.0.0.1", 1}, IncarnationId(id.value() + ":1")});
    }
    detector.start();
    Instant now = std::chrono::steady_clock::now();
    const auto check = [&](int count) {
        for (int n = 0; n < count; ++n) {
            now += CheckPeriod + Milliseconds(1);
            timers.advance(now);
        }
    };
    check(20);
    REQUIRE(unreachable == std::set<DomainId>{Far});
    for (const InstanceId &id : others) {
        members.remove(id, now);
    }
    check(2);
    CHECK(unreachable.empty());
}

TEST_CASE("Members of an unreachable failure domain are no homes until it can be reached again", "[serving]")
{
    MemberDirectory members(InstanceId("self"), Near);
    members.put({InstanceId("self"), Near, {"127.0.0.1", 1}, IncarnationId("self:1")});
    members.put({InstanceId("other"), Far, {"127.0.0.1", 2}, IncarnationId("other:1")});
    CHECK(members.rankedHomes(ProgramId("p"), Start).size() == 2);
    members.setUnreachableDomains({Far});
    CHECK(members.rankedHomes(ProgramId("p"), Start) == std::vector<InstanceId>{InstanceId("self")});
    members.setUnreachableDomains({});
    CHECK(members.rankedHomes(ProgramId("p"), Start).size() == 2);
}

// Guards against requests that are sent into a cut, and against refusals where only endpoints behind it are left.
TEST_CASE("Endpoints of an unreachable failure domain are chosen only where there are no others", "[policy]")
{
    PolicyRules rules;
    Dispatcher dispatcher(rules, Near);
    const EndpointInfo nearEndpoint{EndpointId("e-near"), PoolId("pool"), Near, 4, false};
    const EndpointInfo farEndpoint{EndpointId("e-far"), PoolId("pool"), Far, 4, false};
    DispatchRequest call;
    call.id = CallId(1);
    call.program = ProgramId("p");
    call.pool = PoolId("pool");
    call.arrivedAt = Start;
    call.deadline = Start + Milliseconds(5000);
    call.prefixEndpoint = farEndpoint.id;
    call.promptTokens = Tokens(1000);
    call.cachedPrefixTokens = Tokens(1000);
    dispatcher.setUnreachableDomains({Far});
    SECTION("With another endpoint")
    {
        dispatcher.setEndpoints({nearEndpoint, farEndpoint}, 1);
        REQUIRE(dispatcher.enqueue(call, Start));
        const auto decisions = dispatcher.nextDecisions(Start);
        REQUIRE(decisions.size() == 1);
        CHECK(decisions[0].endpoint == nearEndpoint.id);
    }
    SECTION("Without another endpoint")
    {
        dispatcher.setEndpoints({farEndpoint}, 1);
        REQUIRE(dispatcher.enqueue(call, Start));
        CHECK(dispatcher.nextDecisions(Start).size() == 1);
    }
}

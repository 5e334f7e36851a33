#include "serving/domainreachability.h"
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

/// Plays the checks of one instance; each domain responds to a ping before the next check unless it is cut off.
struct Checks {
    void run(Milliseconds duration)
    {
        for (const Instant end = now + duration; now < end; now += CheckPeriod) {
            for (const DomainId &domain : reachability.takeDomainsToPing({Near, Far}, now)) {
                if (domain != cutOff) {
                    reachability.recordResponse(domain, now + Milliseconds(5));
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
    for (const DomainId &domain : checks.reachability.takeDomainsToPing({Near, Far}, checks.now)) {
        CHECK((domain == Near || domain == Far));
    }
    checks.reachability.update(checks.now);
    CHECK(checks.reachability.unreachableDomains().empty());
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

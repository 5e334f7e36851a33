#include "instance/witnessclient.h"
#include "core/loopthread.h"
#include "platform/scriptedendpoint.h"
#include "platform/testinstance.h"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <atomic>

using namespace flamingo;

namespace
{
SpendLimit limitOf(int program)
{
    SpendLimit limit;
    limit.program = ProgramId(fmt::format("p{}", program));
    limit.holder = IncarnationId("edge-1.1");
    limit.term = WitnessTerm(1);
    limit.sequence = 1;
    limit.isFirst = true;
    limit.limit = Tokens(100);
    return limit;
}
} // namespace

// Guards against turns that wait for ever: what was left after one batch was answered only when another limit was to be noted.
TEST_CASE("All limits that wait for a witness are answered when it leaves the member list", "[platform]")
{
    constexpr int Limits = 200;
    ScriptedEndpoint silentWitness([](ScriptedEndpoint::Connection &, const ReceivedRequest &) {});
    LoopThread loop;
    Metrics metrics;
    MemberDirectory members(InstanceId("edge-1"), DomainId("one"));
    ConnectionPool connections(loop.loop.context(), ConnectionPool::Settings{});
    WitnessClient witnesses(loop.loop.context(), members, connections, IncarnationId("edge-1.1"), metrics);
    std::atomic<int> unreachable{0};
    loop.call([&] {
        members.put({InstanceId("edge-2"), DomainId("two"), silentWitness.address(), IncarnationId("edge-2.1")});
        for (int n = 0; n < Limits; ++n) {
            witnesses.note(IncarnationId("edge-2.1"), limitOf(n), [&](NoteResult result) { unreachable += result == NoteResult::Unreachable ? 1 : 0; });
        }
        members.remove(InstanceId("edge-2"), std::chrono::steady_clock::now());
        return true;
    });
    CHECK(eventually([&] { return unreachable == Limits; }));
    CHECK(unreachable == Limits);
    loop.stop();
}

#include "http/eventsplitter.h"
#include "serving/cleanshutdownmarker.h"
#include "serving/drainschedule.h"
#include "serving/endpointdirectory.h"
#include "serving/grantmarks.h"
#include "serving/memberdirectory.h"
#include "serving/provisionalgrantpolicy.h"
#include "serving/responseverdict.h"
#include "serving/retrypolicy.h"
#include "serving/routetable.h"
#include "serving/turncache.h"
#include "unit/inmemorybudgetstore.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace flamingo;

namespace
{
EndpointEntry endpointEntry(const std::string &id, bool isLeaving = false, std::int64_t startedAt = 1)
{
    return {EndpointId(id), PoolId("app"), DomainId("z"), SocketAddress{"127.0.0.1", 1}, 4, isLeaving, startedAt};
}

/// Turns and marks in memory, with a switch that makes lookups fail. The archives' fence holds for marks.
class InMemoryTurnStore : public TurnStore, public GrantMarkStore
{
public:
    InMemoryTurnStore()
    {
        fence.setRegistered({});
    }

    void saveMark(const TurnRecordPtr &mark, MemberListRevision basedOn, std::function<void(bool)> onSaved) override
    {
        if (fence.admits(basedOn)) {
            save(mark, std::move(onSaved));
        } else {
            onSaved(false);
        }
    }

    void loadMark(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override
    {
        load(id, std::move(onLoaded));
    }

    void save(const TurnRecordPtr &turn, std::function<void(bool)> onSaved) override
    {
        turns[turn->id] = turn;
        onSaved(true);
    }

    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override
    {
        const auto it = turns.find(id);
        if (isUnreachable) {
            onLoaded({});
        } else {
            onLoaded(it == turns.end() ? TurnLookup{TurnLookup::Status::Absent, nullptr} : TurnLookup{TurnLookup::Status::Found, it->second});
        }
    }

    std::map<RequestId, TurnRecordPtr> turns;
    bool isUnreachable = false;
    MarkFence fence;
};

TurnRecordPtr turn(const std::string &id, std::vector<RequestId> ancestors, const std::string &text)
{
    return std::make_shared<const TurnRecord>(TurnRecord{RequestId(id), std::move(ancestors), text + "?", text + "!\n", Milliseconds(60000)});
}

TurnChain loadedChain(TurnCache &cache, const std::string &id)
{
    TurnChain chain;
    cache.loadChain(RequestId(id), std::nullopt, Start, [&](TurnChain it) { chain = std::move(it); });
    return chain;
}
} // namespace

TEST_CASE("A program with small turns needs one store call", "[serving]")
{
    InMemoryBudgetStore store;
    Holder home(store, "a");
    for (int n = 0; n < 5; ++n) {
        CHECK(home.reserve(1800, 300).verdict == BudgetVerdict::Reserved);
        home.settle(300, 150);
    }
    CHECK(store.calls == 1);
}

TEST_CASE("A budget counts as exhausted only when no further turn fits", "[serving]")
{
    InMemoryBudgetStore store;
    Holder home(store, "a");
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Reserved);
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Reserved);
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Exhausted);
    home.settle(400, 100);
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Reserved);
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Exhausted);
    CHECK(store.granted("p") <= Tokens(1000));
}

TEST_CASE("Tokens granted to a dead holder count as spent", "[serving]")
{
    InMemoryBudgetStore store;
    Holder first(store, "a");
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    Holder second(store, "b");
    CHECK(second.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    CHECK(second.reserve(900, 300).verdict == BudgetVerdict::Unconfirmed);
    CHECK(store.granted("p") == Tokens(750));
}

// Guards against a budget that is exhausted after its first home died or was partitioned, though the program uses only a
// third of it.
TEST_CASE("A program whose home dies after the first turn has budget left for its other turns", "[serving]")
{
    InMemoryBudgetStore store;
    Holder first(store, "a");
    CHECK(first.reserve(1800, 580).verdict == BudgetVerdict::Reserved);
    Holder second(store, "b");
    for (int n = 0; n < 2; ++n) {
        CHECK(second.reserve(1800, 580).verdict == BudgetVerdict::Reserved);
        second.settle(580, 260);
    }
}

TEST_CASE("A new home forwards turns to the holder of the budget while that one can be reached", "[serving]")
{
    InMemoryBudgetStore store;
    Holder first(store, "a");
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    Holder second(store, "b", {"a"});
    const BudgetAnswer answer = second.reserve(900, 300);
    CHECK(answer.verdict == BudgetVerdict::HeldElsewhere);
    CHECK(answer.holder == IncarnationId("a"));
    CHECK(second.reserve(900, 300, true).verdict == BudgetVerdict::Reserved);
}

TEST_CASE("A holder that shuts down gives back unused tokens", "[serving]")
{
    InMemoryBudgetStore store;
    Holder first(store, "a");
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    first.settle(300, 100);
    first.ledger.beginRelease(Start);
    CHECK(store.granted("p") == Tokens(400));
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Unconfirmed);
    first.settle(300, 50);
    CHECK(store.granted("p") == Tokens(150));
}

TEST_CASE("A grant whose response is lost counts once", "[serving]")
{
    InMemoryBudgetStore store;
    store.answersToLose = 1;
    Holder home(store, "a");
    CHECK(home.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    CHECK(store.granted("p") == Tokens(450));
}

// Guards against a 402 while the budget wasn't spent: the other holder had just registered, and wasn't on the list yet.
TEST_CASE("A holder counts as gone when its instance has restarted or left, not when it isn't listed yet", "[serving]")
{
    MemberDirectory members(InstanceId("a"), DomainId("z"));
    const IncarnationId early = newIncarnationId(InstanceId("b"));
    CHECK(members.mayBeAlive(early));
    MemberRecord record{InstanceId("b"), DomainId("z"), SocketAddress{"127.0.0.1", 1}, early};
    members.put(record);
    CHECK(members.mayBeAlive(early));
    record.incarnation = IncarnationId(early.value() + "f");
    members.put(record);
    CHECK_FALSE(members.mayBeAlive(early));
    CHECK(members.mayBeAlive(record.incarnation));
    members.remove(InstanceId("b"), Start);
    CHECK_FALSE(members.mayBeAlive(record.incarnation));
    CHECK_FALSE(members.mayBeAlive(IncarnationId("no id of an instance")));
}

// Guards against the failure of programs that began with the first start: one holder kept their last turns to itself.
TEST_CASE("A holder with less than a turn left sends the turn to another one that has enough", "[serving]")
{
    constexpr int Budget = 2900;
    constexpr int MaxTurnTokens = 290;
    InMemoryBudgetStore store;
    Holder first(store, "a", {"b"});
    Holder second(store, "b");
    const auto run = [](Holder &holder, int turns) {
        for (int n = 0; n < turns; ++n) {
            REQUIRE(holder.reserve(Budget, MaxTurnTokens).verdict == BudgetVerdict::Reserved);
            holder.settle(MaxTurnTokens, 261);
        }
    };
    run(first, 5);
    run(second, 1);
    BudgetAnswer answer;
    int served = 6;
    for (int n = 0; n < 2 * Budget / MaxTurnTokens && answer.verdict != BudgetVerdict::HeldElsewhere; ++n) {
        answer = first.reserve(Budget, MaxTurnTokens);
        REQUIRE((answer.verdict == BudgetVerdict::Reserved || answer.verdict == BudgetVerdict::HeldElsewhere));
        if (answer.verdict == BudgetVerdict::Reserved) {
            first.settle(MaxTurnTokens, 261);
            ++served;
        }
    }
    CHECK(answer.holder == IncarnationId("b"));
    while (second.reserve(Budget, MaxTurnTokens, true).verdict == BudgetVerdict::Reserved) {
        second.settle(MaxTurnTokens, 261);
        ++served;
    }
    CHECK(served == Budget / MaxTurnTokens);
}

TEST_CASE("Without provisional grants no home runs a turn in a store outage, however often homes change", "[serving][promises]")
{
    InMemoryBudgetStore store;
    store.isRefusing = true;
    for (int n = 0; n < 4; ++n) {
        Holder home(store, "h" + std::to_string(n));
        CHECK(home.reserve(900, 300).verdict == BudgetVerdict::Unconfirmed);
    }
}

TEST_CASE("A budget is not exceeded by any number of concurrent holders", "[serving][promises]")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::srand(seed);
        InMemoryBudgetStore store;
        std::vector<std::unique_ptr<Holder>> holders;
        int generated = 0;
        constexpr int Budget = 3000;
        constexpr int MaxTurnTokens = 300;
        for (int n = 0; n < 200; ++n) {
            if (holders.empty() || std::rand() % 20 == 0) {
                holders.push_back(std::make_unique<Holder>(store, "h" + std::to_string(n)));
            }
            store.answersToLose = std::rand() % 5 == 0 ? 1 : 0;
            store.isRefusing = std::rand() % 7 == 0;
            Holder &holder = *holders[static_cast<std::size_t>(std::rand()) % holders.size()];
            if (holder.reserve(Budget, MaxTurnTokens).verdict == BudgetVerdict::Reserved) {
                const int used = std::rand() % (MaxTurnTokens + 1);
                generated += used;
                holder.settle(MaxTurnTokens, used);
            }
        }
        CHECK(generated <= Budget);
    }
}

// A store outage in a failure domain can last longer than many programs, so these have to run on provisional grants.
TEST_CASE("In a store outage only the preferred home grants provisionally, and only half of a budget", "[serving][promises]")
{
    constexpr int Budget = 1800;
    constexpr int MaxTurnTokens = 300;
    InMemoryBudgetStore store;
    const BudgetLedger::Checks homeChecks{
        [](const IncarnationId &) { return false; }, [](const ProgramId &) { return true; }, [](const ProgramId &) { return true; }};
    const BudgetLedger::Checks otherChecks{
        [](const IncarnationId &) { return false; }, [](const ProgramId &) { return false; }, [](const ProgramId &) { return false; }};
    Holder home(store, "a", homeChecks);
    Holder other(store, "b", otherChecks);
    store.isRefusing = true;
    const auto run = [](Holder &holder) {
        int turns = 0;
        while (turns < 20 && holder.reserve(Budget, MaxTurnTokens).verdict == BudgetVerdict::Reserved) {
            holder.settle(MaxTurnTokens, MaxTurnTokens);
            ++turns;
        }
        return turns;
    };
    CHECK(run(other) == 0);
    CHECK(run(home) == 3);
    store.isRefusing = false;
    SECTION("Another holder doesn't use a provisional grant that is not recorded")
    {
        const int others = run(other);
        CHECK(other.reserve(Budget, MaxTurnTokens).verdict == BudgetVerdict::Unconfirmed);
        CHECK((3 + others) * MaxTurnTokens <= Budget + MaxTurnTokens);
        CHECK((3 + others) * MaxTurnTokens >= Budget);
        home.ledger.recordProvisionalGrants();
        CHECK(run(home) == 0);
    }
    SECTION("A recorded provisional grant is a normal grant")
    {
        home.ledger.recordProvisionalGrants();
        CHECK(store.granted("p") >= Tokens(3 * MaxTurnTokens));
        CHECK(3 + run(home) == Budget / MaxTurnTokens);
        CHECK(home.reserve(Budget, MaxTurnTokens).verdict == BudgetVerdict::Exhausted);
    }
    SECTION("While a provisional grant is being recorded, no more is used than the write records")
    {
        store.records.clear();
        store.isRefusing = true;
        Holder early(store, "c", homeChecks);
        CHECK(early.reserve(Budget, MaxTurnTokens).verdict == BudgetVerdict::Reserved);
        early.settle(MaxTurnTokens, MaxTurnTokens);
        store.isRefusing = false;
        CHECK(run(other) == 4);
        store.isHoldingAnswers = true;
        early.ledger.recordProvisionalGrants(); // Conflicts with the other holder's record,
        early.ledger.recordProvisionalGrants(); // then adds its own grant to that record.
        REQUIRE(store.heldAnswers.size() == 1);
        const int inFlight = run(early);
        CHECK(store.granted("p") - Tokens(4 * MaxTurnTokens) >= Tokens((1 + inFlight) * MaxTurnTokens));
    }
    SECTION("A home that shuts down records its provisional grants")
    {
        home.ledger.beginRelease(Start);
        CHECK(store.granted("p") == Tokens(3 * MaxTurnTokens));
    }
}

TEST_CASE("A clean shutdown counts as recent only when both clocks agree", "[serving]")
{
    const CleanShutdownMarker marker{Milliseconds(50000), Milliseconds(900000)};
    CHECK(marker.isRecent({Milliseconds(52000), Milliseconds(902500)}));
    CHECK_FALSE(marker.isRecent({Milliseconds(52000), Milliseconds(4502000)})); // The machine has restarted, or its wall clock has jumped.
    CHECK_FALSE(marker.isRecent({Milliseconds(2000), Milliseconds(902000)}));
    CHECK_FALSE(marker.isRecent({Milliseconds(250000), Milliseconds(1100000)}));
    CHECK(CleanShutdownMarker::decode(marker.encode())->wallTime == marker.wallTime);
    CHECK_FALSE(CleanShutdownMarker::decode("{}"));
}

TEST_CASE("Only the preferred home of all that were listed lately grants provisionally, once it has run long enough", "[serving][promises]")
{
    const auto at = [](int ms) { return Start + Milliseconds(ms); };
    const auto membersOf = [](const std::string &self) {
        MemberDirectory it{InstanceId(self), DomainId("z")};
        for (const std::string id : {"a", "b", "c"}) {
            it.put({InstanceId(id), DomainId("z"), SocketAddress{"127.0.0.1", 1}, IncarnationId(id + ":1")});
        }
        it.setLoaded();
        return it;
    };
    MemberDirectory members = membersOf("a");
    ProvisionalGrantPolicy policy(members, Start);
    policy.onListRead(at(100));
    int ownPrograms = 0;
    ProgramId ofA;
    ProgramId ofB;
    for (int n = 0; n < 300; ++n) {
        const ProgramId program("p" + std::to_string(n));
        const bool isOwn = members.isPreferredHome(program);
        REQUIRE(isOwn == (members.rankedHomes(program, Start).front() == InstanceId("a")));
        ownPrograms += isOwn ? 1 : 0;
        ofA = isOwn ? program : ofA;
        const auto homes = members.rankedHomes(program, Start);
        ofB = homes[0] == InstanceId("b") && homes[1] == InstanceId("a") ? program : ofB;
    }
    CHECK(ownPrograms > 60);
    CHECK(ownPrograms < 140);
    // After a restart, the earlier incarnation may have granted provisionally.
    CHECK_FALSE(policy.mayGrant(ofA, at(60000)));
    CHECK_FALSE(policy.isSoleGranter(ofA, at(4000)));
    CHECK_FALSE(policy.mayDeregister(at(12000))); // After a crash, earlier grants may be unrecorded.
    CHECK(policy.mayDeregister(at(180000)));
    policy.setFirstStart();
    CHECK_FALSE(policy.mayDeregister(at(4000))); // Some instances may not have seen this one on the list.
    CHECK(policy.mayDeregister(at(12000)));
    CHECK(policy.isSoleGranter(ofA, at(4000))); // No instance grants provisionally during discovery.
    CHECK_FALSE(policy.isSoleGranter(ofB, at(4000)));
    CHECK_FALSE(policy.isSoleGranter(ofA, at(6000)));
    CHECK_FALSE(policy.mayGrant(ofA, at(20000))); // The list was read before the end of discovery.
    policy.onListRead(at(5000));
    CHECK(policy.mayGrant(ofA, at(6000)));
    CHECK_FALSE(policy.mayGrant(ofB, at(6000)));
    CHECK_FALSE(policy.mayGrant(ofA, at(36000))); // The list may be out of date.
    // b has left as planned: its grants are recorded, but this instance has not seen the records.
    members.remove(InstanceId("b"), at(40000));
    policy.onListRead(at(40000));
    CHECK_FALSE(policy.mayGrant(ofB, at(41000)));
    CHECK(policy.isSoleGranter(ofB, at(41000)));
    CHECK(policy.mayGrant(ofA, at(41000)));
    ProvisionalGrantPolicy longRunning(members, Start);
    longRunning.onListRead(at(200000));
    CHECK(longRunning.mayGrant(ofA, at(200000)));
}

// Guards against a half of each budget that an added instance holds back for provisional grants that nobody has made.
TEST_CASE("An instance that was added holds nothing back once the others have no unrecorded provisional grants", "[serving][promises]")
{
    const auto at = [](int ms) { return Start + Milliseconds(ms); };
    MemberDirectory members(InstanceId("new"), DomainId("z"));
    for (const std::string id : {"new", "a", "b", "c"}) {
        members.put({InstanceId(id), DomainId("z"), SocketAddress{"127.0.0.1", 1}, IncarnationId(id + ":1")});
    }
    members.setLoaded();
    ProgramId program;
    for (int n = 0; !members.isPreferredHome(program); ++n) {
        program = ProgramId("p" + std::to_string(n));
    }
    const std::vector<InstanceId> others = members.rankedOtherInstances(program);
    ProvisionalGrantPolicy policy(members, Start);
    policy.setRegistering();
    CHECK_FALSE(policy.needsSurvey(at(100)));
    policy.onListRead(at(100));
    policy.setRegistered(false, at(200));
    CHECK(policy.needsSurvey(at(300)));
    CHECK(policy.survey().openQuestions().size() == 3);
    const GrantSurveyAnswer none{false, false, Milliseconds(1000)};
    const GrantSurveyAnswer listedForLong{false, false, Milliseconds(300000)};
    policy.survey().onAnswer(others[0], {true, false, Milliseconds(300000)});
    policy.survey().onAnswer(others[1], none);
    policy.survey().onAnswer(others[2], none);
    policy.onListRead(at(400));
    CHECK_FALSE(policy.excludesUnrecordedGrants(program, at(500))); // The first one has grants that aren't recorded.
    CHECK(policy.survey().openQuestions().size() == 1);
    policy.survey().onAnswer(others[0], {false, true, Milliseconds(300000)});
    CHECK_FALSE(policy.excludesUnrecordedGrants(program, at(500))); // An earlier incarnation of it may have had some.
    policy.survey().onAnswer(others[0], none);
    CHECK(policy.excludesUnrecordedGrants(program, at(500)));
    CHECK_FALSE(policy.excludesUnrecordedGrants(program, at(40000))); // The list may be out of date.

    SECTION("A list that was read before the registration may lack an instance")
    {
        ProvisionalGrantPolicy early(members, Start);
        early.setRegistering();
        early.onListRead(at(100));
        early.setRegistered(false, at(200));
        early.survey().onAnswer(others[0], listedForLong);
        CHECK_FALSE(early.excludesUnrecordedGrants(program, at(300)));
        early.onListRead(at(300));
        CHECK(early.excludesUnrecordedGrants(program, at(300))); // No list lacks the first one, so the others don't matter.
    }
    SECTION("Earlier incarnations of the instance itself may have made grants")
    {
        ProvisionalGrantPolicy restarted(members, Start);
        restarted.setRegistering();
        restarted.setRegistered(true, at(200));
        restarted.onListRead(at(300));
        restarted.survey().onAnswer(others[0], listedForLong);
        CHECK_FALSE(restarted.excludesUnrecordedGrants(program, at(300)));
        CHECK(restarted.surveyAnswer(false, at(300)).mayHaveEarlierGrants);
        CHECK_FALSE(policy.surveyAnswer(false, at(300)).mayHaveEarlierGrants);
    }
    SECTION("Before it is listed an instance makes no provisional grants")
    {
        ProvisionalGrantPolicy unlisted(members, Start);
        unlisted.setRegistering();
        unlisted.onListRead(at(200000));
        CHECK_FALSE(unlisted.mayGrant(program, at(200000)));
        unlisted.setRegistered(false, at(200100));
        CHECK_FALSE(unlisted.mayGrant(program, at(200100)));
        unlisted.onListRead(at(200200));
        CHECK(unlisted.mayGrant(program, at(200200)));
    }
}

// Guards against half of a budget that is held back for an instance that is listed as the program's home and gone (review/10).
TEST_CASE("Grants of a home that is gone are excluded while its entry has the fence that was looked at", "[serving]")
{
    const auto at = [](int ms) { return Start + Milliseconds(ms); };
    const auto memberRecord = [](const std::string &id, const std::string &fence = {}) {
        MemberRecord record{InstanceId(id), DomainId("z"), SocketAddress{"127.0.0.1", 1}, IncarnationId(id)};
        record.grantFence = GrantFenceId(fence);
        return record;
    };
    MemberDirectory members(InstanceId("self"), DomainId("z"));
    for (const std::string id : {"self", "home"}) {
        members.put(memberRecord(id));
    }
    members.setLoaded();
    ProgramId program;
    for (int n = 0; members.isPreferredHome(program); ++n) {
        program = ProgramId("p" + std::to_string(n));
    }
    ProvisionalGrantPolicy policy(members, Start);
    policy.setFirstStart();
    policy.setRegistering();
    policy.setRegistered(false, Start);
    policy.onListRead(at(100));
    CHECK_FALSE(policy.excludesUnrecordedGrants(program, at(200)));
    policy.survey().onFenced(InstanceId("home"), GrantFenceId("f1"));
    CHECK_FALSE(policy.excludesUnrecordedGrants(program, at(200))); // The list doesn't show the fence yet.
    members.put(memberRecord("home", "f1"));
    CHECK(policy.excludesUnrecordedGrants(program, at(200)));
    members.put(memberRecord("home"));
    CHECK_FALSE(policy.excludesUnrecordedGrants(program, at(200))); // It has registered again.
    members.put(memberRecord("home", "f2"));
    CHECK_FALSE(policy.excludesUnrecordedGrants(program, at(200))); // It may have made grants since the first fence.
}

TEST_CASE("An instance that was fenced makes no provisional grants while programs may have run without it", "[serving]")
{
    const auto at = [](int ms) { return Start + Milliseconds(ms); };
    MemberDirectory members(InstanceId("self"), DomainId("z"));
    members.put({InstanceId("self"), DomainId("z"), SocketAddress{"127.0.0.1", 1}, IncarnationId("self")});
    members.setLoaded();
    ProvisionalGrantPolicy policy(members, Start);
    policy.setRegistering();
    policy.setRegistered(false, Start);
    policy.onListRead(at(200000));
    CHECK(policy.mayGrant(ProgramId("p"), at(200000)));
    policy.setFenced(at(200000));
    CHECK_FALSE(policy.mayGrant(ProgramId("p"), at(200000)));
    policy.onListRead(at(379000));
    CHECK_FALSE(policy.mayGrant(ProgramId("p"), at(379999)));
    CHECK(policy.mayGrant(ProgramId("p"), at(380000)));
}

TEST_CASE("A reserve for unrecorded provisional grants is released for programs under way, but not another holder's", "[serving]")
{
    constexpr int Budget = 1800;
    constexpr int MaxTurnTokens = 300;
    InMemoryBudgetStore store;
    bool isExcluded = false;
    BudgetLedger::Checks checks{[](const IncarnationId &) { return false; }, [](const ProgramId &) { return false; }, [](const ProgramId &) { return false; }};
    checks.excludesUnrecordedGrants = [&](const ProgramId &) { return isExcluded; };
    const auto run = [](Holder &holder) {
        int turns = 0;
        while (turns < 20 && holder.reserve(Budget, MaxTurnTokens).verdict == BudgetVerdict::Reserved) {
            holder.settle(MaxTurnTokens, MaxTurnTokens);
            ++turns;
        }
        return turns;
    };
    Holder home(store, "a", checks);
    CHECK(run(home) == 4);
    SECTION("Released by the holder that made it")
    {
        isExcluded = true;
        CHECK(run(home) == 2);
    }
    SECTION("Kept by another holder")
    {
        isExcluded = true;
        Holder other(store, "b", checks);
        CHECK(run(other) == 0);
    }
}

TEST_CASE("A restart soon after an instance was added doesn't exclude grants of others whose lists lack it", "[serving]")
{
    const auto memberRecord = [](const std::string &id) {
        return MemberRecord{InstanceId(id), DomainId("z"), SocketAddress{"127.0.0.1", 1}, IncarnationId(id)};
    };
    const auto at = [](int ms) { return Start + Milliseconds(ms); };
    // b has run for long, and last read the list just before "added" was on it. The store is away from it since.
    MemberDirectory membersOfB(InstanceId("b"), DomainId("z"));
    ProvisionalGrantPolicy b(membersOfB, Start);
    membersOfB.setLoaded();
    b.onListRead(at(300000));
    // "added" registers, is killed, starts again, reads the list, and finds no mark of its only earlier incarnation.
    MemberDirectory membersOfAdded(InstanceId("added"), DomainId("z"));
    ProvisionalGrantPolicy added(membersOfAdded, at(303000));
    added.setRegistering();
    added.setRegistered(true, at(303100));
    membersOfAdded.put(memberRecord("b"));
    membersOfAdded.setLoaded();
    added.onListRead(at(303200));
    added.setEarlierGrantsExcluded();
    int granted = 0;
    for (int n = 0; n < 100; ++n) {
        const ProgramId program("p" + std::to_string(n));
        if (membersOfAdded.isPreferredHome(program) && b.mayGrant(program, at(305000))) {
            ++granted;
            CHECK_FALSE(added.isSoleGranter(program, at(305000)));
        }
    }
    CHECK(granted > 10);
}

TEST_CASE("An instance finds out whether its earlier incarnations may have made provisional grants", "[serving]")
{
    const auto at = [](int ms) { return Start + Milliseconds(ms); };
    InMemoryTurnStore archives;
    bool hasNoArchives = false;
    bool isStoreAway = false;
    std::string heartbeat;
    MemberListRevision revision(1);
    MemberListRevision listRevision(1);
    struct Incarnation {
        Incarnation(const std::string &name,
                    InMemoryTurnStore &archives,
                    bool &hasNoArchives,
                    bool &isStoreAway,
                    std::string &heartbeat,
                    MemberListRevision &revision,
                    MemberListRevision &listRevision)
            : marks(IncarnationId(name),
                    archives,
                    {[&] { return hasNoArchives; },
                     [this, &heartbeat, &isStoreAway, &revision](const std::function<void(std::optional<MemberListRevision>)> &onWritten) {
                         heartbeat = isStoreAway ? heartbeat : marks.history().encode();
                         onWritten(isStoreAway ? std::nullopt : std::make_optional(revision));
                     },
                     [this] { isExcluded = true; },
                     [&listRevision] { return listRevision; },
                     [this] { isReloading = true; }},
                    Start)
        {
            if (const auto earlier = GrantHistory::decode(heartbeat)) {
                marks.setHistory(earlier->next(IncarnationId(name)), Start);
            }
            heartbeat = marks.history().encode();
        }

        bool mark()
        {
            bool mayGrant = false;
            marks.storeMark(Start, [&](bool it) { mayGrant = it; });
            return mayGrant;
        }

        bool isExcluded = false;
        bool isReloading = false;
        GrantMarks marks;
    };
    const auto start = [&](const std::string &name) {
        return std::make_unique<Incarnation>(name, archives, hasNoArchives, isStoreAway, heartbeat, revision, listRevision);
    };
    const auto lookUp = [&](Incarnation &it, int atMs = 1000) {
        it.marks.onTimer(false, false, at(atMs));
        return it.isExcluded;
    };
    auto first = start("a:1");
    SECTION("Without an outage there is no mark")
    {
        CHECK(lookUp(*start("a:2")));
    }
    SECTION("With a mark, as long as the grants aren't recorded")
    {
        CHECK_FALSE(first->marks.mayGrant(Start));
        CHECK(first->mark());
        CHECK(first->marks.mayGrant(Start));
        CHECK_FALSE(lookUp(*start("a:2")));
    }
    SECTION("The grants of an outage are recorded, and the next outage has a mark of its own")
    {
        CHECK(first->mark());
        first->marks.onTimer(true, false, at(20000));
        CHECK(first->marks.mayGrant(at(20000)));
        first->marks.onTimer(false, false, at(20000));
        CHECK_FALSE(first->marks.mayGrant(at(20000)));
        CHECK(lookUp(*start("a:2")));
    }
    SECTION("A heartbeat that isn't written leaves the mark in force")
    {
        CHECK(first->mark());
        isStoreAway = true;
        first->marks.onTimer(false, false, at(20000));
        isStoreAway = false;
        CHECK_FALSE(lookUp(*start("a:2")));
    }
    SECTION("The mark of an incarnation that may still run is looked for when it can make no more grants")
    {
        const auto second = start("a:2");
        second->marks.setHistory(second->marks.history(), at(30000));
        CHECK_FALSE(lookUp(*second, 29000));
        CHECK(first->mark());
        CHECK_FALSE(lookUp(*second, 31000));
    }
    SECTION("A mark of an incarnation before the last one counts as well")
    {
        CHECK(first->mark());
        const auto second = start("a:2");
        CHECK_FALSE(lookUp(*start("a:3")));
    }
    SECTION("Archives that don't respond prove nothing, and are asked again")
    {
        archives.isUnreachable = true;
        const auto second = start("a:2");
        CHECK_FALSE(lookUp(*second));
        archives.isUnreachable = false;
        CHECK(lookUp(*second, 1500));
    }
    SECTION("A mark that isn't stored allows no grant")
    {
        isStoreAway = true;
        hasNoArchives = true;
        first->marks.onTimer(false, false, at(6000));
        CHECK_FALSE(first->marks.mayGrant(at(6000)));
    }
    SECTION("A mark that is based on a list from before a fence isn't stored, and allows no grant")
    {
        archives.fence.raise(MemberListRevision(2));
        CHECK_FALSE(first->mark());
        CHECK_FALSE(first->marks.mayGrant(Start));
        listRevision = MemberListRevision(2);
        CHECK(first->mark());
    }
    SECTION("Grants without marks wait for a list that was read after they were announced")
    {
        hasNoArchives = true;
        revision = MemberListRevision(2);
        first->marks.onTimer(false, false, at(6000));
        CHECK(first->isReloading);
        CHECK_FALSE(first->marks.mayGrant(at(6000)));
        listRevision = MemberListRevision(2);
        CHECK(first->marks.mayGrant(at(6000)));
    }
    SECTION("Without archives nothing is excluded, also after some have been added")
    {
        hasNoArchives = true;
        first->marks.onTimer(false, false, at(6000));
        CHECK(first->marks.mayGrant(at(6000)));
        hasNoArchives = false;
        CHECK_FALSE(lookUp(*start("a:2")));
    }
    SECTION("With archives that were added later, once there are no unrecorded grants")
    {
        hasNoArchives = true;
        first->marks.onTimer(false, false, at(6000));
        hasNoArchives = false;
        first->marks.onTimer(true, false, at(6500));
        CHECK(first->marks.mayGrant(at(6500)));
        first->marks.onTimer(false, false, at(7000));
        CHECK_FALSE(first->marks.mayGrant(at(7000)));
        CHECK(lookUp(*start("a:2")));
    }
}

// Instances start, stop, are killed and are cut off from the store and from each other at random, with member lists of
// different ages, while one program keeps sending turns to all of them. Guards against two instances that grant the same
// tokens.
TEST_CASE("A budget holds across provisional grants, outages, restarts and differing lists", "[serving][promises]")
{
    constexpr int Budget = 3000;
    constexpr int MaxTurnTokens = 300;
    int provisionalTurns = 0;
    int cleanRestarts = 0;
    int clearedSurveys = 0;
    int excludedRestarts = 0;
    int clearedByMarks = 0;
    int fencedInstances = 0;
    int droppedReserves = 0;
    for (unsigned seed = 1; seed <= 3000; ++seed) {
        std::mt19937 random(seed);
        const auto randomBelow = [&](int limit) { return static_cast<int>(random() % static_cast<unsigned>(limit)); };
        struct Node {
            Node(InMemoryBudgetStore &shared,
                 InMemoryTurnStore &archives,
                 std::map<std::string, GrantHistory> &heartbeats,
                 const std::string &name,
                 int incarnation,
                 Instant startedAt)
                : members(InstanceId(name), DomainId("z"))
                , policy(members, startedAt)
                , now(startedAt)
                , store(shared)
                , markStore(archives, store)
                , marks(IncarnationId(name + ":" + std::to_string(incarnation)),
                        markStore,
                        {[] { return false; },
                         [this, &heartbeats, name](const std::function<void(std::optional<MemberListRevision>)> &onWritten) {
                             if (!store.isRefusing) {
                                 heartbeats[name] = marks.history();
                             }
                             onWritten(store.isRefusing ? std::nullopt : std::make_optional(listRevision));
                         },
                         [this] { policy.setEarlierGrantsExcluded(); },
                         [this] { return listRevision; },
                         [] {}},
                        startedAt)
                , holder(store,
                         name + ":" + std::to_string(incarnation),
                         {[](const IncarnationId &) { return false; },
                          [this](const ProgramId &program) { return policy.mayGrant(program, now); },
                          [this](const ProgramId &program) { return policy.isSoleGranter(program, now); },
                          [this] { return store.isRefusing; },
                          [this](const ProgramId &program) { return policy.excludesUnrecordedGrants(program, now); },
                          [](const IncarnationId &) { return true; },
                          [this] { return marks.mayGrant(now); },
                          [this](std::function<void(bool)> onMarked) { marks.storeMark(now, std::move(onMarked)); },
                          [this](const ProgramId &) { needsReserve = true; }})
            {
            }

            /// The archives, and the node's own way to the store, which a lookup needs as well.
            struct MarkStoreView : GrantMarkStore {
                MarkStoreView(InMemoryTurnStore &archives, const InMemoryBudgetStore &store)
                    : archives(archives)
                    , store(store)
                {
                }
                void saveMark(const TurnRecordPtr &mark, MemberListRevision basedOn, std::function<void(bool)> onSaved) override
                {
                    if (isCutOff) {
                        onSaved(false);
                    } else {
                        archives.saveMark(mark, basedOn, std::move(onSaved));
                    }
                }
                void loadMark(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override
                {
                    if (isCutOff || store.isRefusing) {
                        onLoaded({});
                    } else {
                        archives.loadMark(id, std::move(onLoaded));
                    }
                }
                InMemoryTurnStore &archives;
                const InMemoryBudgetStore &store;
                bool isCutOff = false;
            };

            /// The shared store, with a switch that makes it refuse this node's calls.
            struct StoreView : InMemoryBudgetStore {
                explicit StoreView(InMemoryBudgetStore &it)
                    : shared(it)
                {
                }
                void
                compareAndSwap(const ProgramId &program, std::uint64_t revision, const std::string &bytes, std::function<void(SwapResult)> onResult) override
                {
                    if (isRefusing) {
                        onResult({SwapResult::Status::Refused, 0, {}});
                    } else {
                        shared.compareAndSwap(program, revision, bytes, std::move(onResult));
                    }
                }
                InMemoryBudgetStore &shared;
            };

            MemberDirectory members;
            ProvisionalGrantPolicy policy;
            Instant now{};
            bool isPartitioned = false; ///< From the other instances.
            bool needsReserve = false;
            MemberListRevision entryRevision; ///< Of its entry in the member list.
            MemberListRevision listRevision; ///< Of the list as it was last read.
            StoreView store;
            MarkStoreView markStore;
            GrantMarks marks;
            Holder holder;
        };
        InMemoryBudgetStore store;
        InMemoryTurnStore archives;
        std::map<std::string, GrantHistory> heartbeats;
        std::map<std::string, std::unique_ptr<Node>> nodes;
        // The program prefers the instances in the same order in all runs, so the one that is added later differs.
        std::set<std::string> listed = {"a", "b", "c", "d"};
        listed.erase(std::string(1, static_cast<char>('a' + seed % 4)));
        std::map<std::string, Instant> cleanShutdownAt;
        Instant now = Start;
        int incarnation = 0;
        MemberListRevision revision;
        std::map<std::string, GrantFenceId> fences;
        const auto memberRecord = [&](const std::string &id) {
            MemberRecord record{InstanceId(id), DomainId("z"), SocketAddress{"127.0.0.1", 1}, IncarnationId(id)};
            record.grantFence = fences[id];
            return record;
        };
        const auto startNode = [&](const std::string &name, bool isFirst) {
            nodes[name] = std::make_unique<Node>(store, archives, heartbeats, name, ++incarnation, now);
            ProvisionalGrantPolicy &policy = nodes[name]->policy;
            GrantMarks &marks = nodes[name]->marks;
            if (listed.count(name) != 0 && !isFirst) {
                marks.setHistory(heartbeats.at(name).next(marks.history().own.incarnation), now);
            }
            heartbeats[name] = marks.history();
            policy.setRegistering();
            if (isFirst) {
                policy.setFirstStart();
            }
            policy.setRegistered(listed.count(name) != 0, now);
            fences.erase(name);
            revision = MemberListRevision(revision.value() + 1);
            nodes[name]->entryRevision = revision;
        };
        // Compare MarkSurveyor.
        const auto lookUpMarks = [&](Node &node, const std::string &other, bool isFencing) {
            if (node.markStore.isCutOff || node.store.isRefusing) {
                return;
            }
            if (isFencing && fences[other].value().empty()) {
                revision = MemberListRevision(revision.value() + 1);
                fences[other] = GrantFenceId(std::to_string(revision.value()));
                ++fencedInstances;
            }
            archives.fence.raise(isFencing ? revision : node.entryRevision);
            const GrantHistory &history = heartbeats.at(other);
            std::vector<GrantHistory::Entry> entries = history.earlier;
            entries.push_back(history.own);
            const bool haveMarks = std::any_of(entries.begin(), entries.end(), [&](const auto &entry) { return archives.turns.count(entry.markId()) != 0; });
            if (history.isComplete && !haveMarks) {
                node.policy.survey().onNoMarks(InstanceId(other));
                ++clearedByMarks;
                if (isFencing) {
                    node.policy.survey().onFenced(InstanceId(other), fences[other]);
                }
            }
        };
        const auto survey = [&](Node &node, Node &other) {
            if (node.isPartitioned || other.isPartitioned || !node.policy.needsSurvey(now)) {
                return;
            }
            other.members.put(memberRecord(node.members.self().value()));
            const GrantSurveyAnswer answer = other.policy.surveyAnswer(other.holder.ledger.hasProvisionalGrants(), now);
            node.policy.survey().onAnswer(other.members.self(), answer);
            clearedSurveys += answer.hasUnrecordedGrants || answer.mayHaveEarlierGrants ? 0 : 1;
        };
        const auto readList = [&](Node &node) {
            for (const std::string id : {"a", "b", "c", "d"}) {
                if (listed.count(id) != 0) {
                    node.members.put(memberRecord(id));
                } else {
                    node.members.remove(InstanceId(id), now);
                }
            }
            node.members.setLoaded();
            node.listRevision = revision;
            node.policy.onListRead(now);
        };
        for (const std::string &name : listed) {
            startNode(name, true);
        }
        // Turns are routed to the most preferred home that the instance can reach, which may be itself.
        const auto homeFor = [&](Node &asking) -> Node * {
            for (const InstanceId &id : asking.members.rankedHomes(ProgramId("p"), now)) {
                const auto home = nodes.find(id.value());
                const bool isReachable =
                    home != nodes.end() && home->second && (home->second.get() == &asking || (!home->second->isPartitioned && !asking.isPartitioned));
                if (isReachable) {
                    home->second->now = now;
                    return home->second.get();
                }
            }
            return nullptr;
        };
        int generated = 0;
        Instant lastTurnAt = now;
        for (int step = 0; step < 400; ++step) {
            now += Milliseconds(randomBelow(1500));
            if (now - lastTurnAt > ProgramIdleTimeout) {
                break; // The program has ended and its state is dropped.
            }
            const std::string name = std::string(1, static_cast<char>('a' + randomBelow(4)));
            const auto it = nodes.find(name);
            if (it == nodes.end() || !it->second) {
                if (listed.count(name) != 0 || randomBelow(10) == 0) {
                    startNode(name, false);
                    const auto shutdown = cleanShutdownAt.find(name);
                    if (shutdown != cleanShutdownAt.end() && now - shutdown->second < Milliseconds(120000)) {
                        nodes[name]->policy.setCleanRestart();
                        ++cleanRestarts;
                    }
                    cleanShutdownAt.erase(name);
                    listed.insert(name);
                }
                continue;
            }
            Node &node = *it->second;
            node.now = now;
            for (const MemberRecord &other : node.policy.survey().openQuestions()) {
                if (node.policy.needsSurvey(now) && randomBelow(10) == 0) {
                    lookUpMarks(node, other.id.value(), false);
                }
            }
            for (const MemberRecord &other : node.members.outrankingInstances(ProgramId("p"))) {
                if (node.needsReserve && listed.count(other.id.value()) != 0 && randomBelow(4) == 0) {
                    lookUpMarks(node, other.id.value(), true);
                }
            }
            const bool hadReserve = node.needsReserve && !node.policy.excludesUnrecordedGrants(ProgramId("p"), now);
            const bool hasEarlier = !node.marks.history().earlier.empty();
            node.marks.onTimer(node.holder.ledger.hasProvisionalGrants(), node.store.isRefusing, now);
            excludedRestarts += hasEarlier && node.marks.history().earlier.empty() ? 1 : 0;
            for (const auto &[otherName, other] : nodes) {
                if (other && otherName != name && randomBelow(3) == 0) {
                    survey(node, *other);
                }
            }
            switch (randomBelow(12)) {
            case 0:
                node.store.isRefusing = randomBelow(2) == 0;
                break;
            case 1:
            case 2:
                if (!node.store.isRefusing) {
                    readList(node);
                    droppedReserves += hadReserve && node.policy.excludesUnrecordedGrants(ProgramId("p"), now) ? 1 : 0;
                    // A fenced instance registers again.
                    if (listed.count(name) != 0 && !fences[name].value().empty()) {
                        node.policy.setFenced(now);
                        fences.erase(name);
                        revision = MemberListRevision(revision.value() + 1);
                        node.members.put(memberRecord(name));
                    }
                }
                break;
            case 3:
                if (randomBelow(4) == 0) {
                    it->second.reset(); // A killed instance stays on the list.
                }
                break;
            case 4:
                if (randomBelow(6) == 0) {
                    node.holder.ledger.beginRelease(now);
                    if (!node.holder.ledger.hasProvisionalGrants() && node.policy.mayDeregister(now) && !node.store.isRefusing) {
                        listed.erase(name);
                        cleanShutdownAt[name] = now;
                    }
                    it->second.reset();
                }
                break;
            case 5:
                node.holder.ledger.recordProvisionalGrants();
                break;
            case 6:
                node.isPartitioned = !node.isPartitioned && randomBelow(3) == 0;
                node.markStore.isCutOff = randomBelow(4) == 0;
                break;
            default:
                if (Node *home = homeFor(node); home && home->holder.reserve(Budget, MaxTurnTokens).verdict == BudgetVerdict::Reserved) {
                    provisionalTurns += home->store.isRefusing ? 1 : 0;
                    generated += MaxTurnTokens;
                    lastTurnAt = now;
                    home->holder.settle(MaxTurnTokens, MaxTurnTokens);
                }
            }
        }
        INFO("seed " << seed);
        CHECK(generated <= Budget + MaxTurnTokens);
    }
    CHECK(provisionalTurns > 100);
    CHECK(cleanRestarts > 100);
    CHECK(clearedSurveys > 100);
    CHECK(excludedRestarts > 100);
    CHECK(clearedByMarks > 100);
    CHECK(fencedInstances > 100);
    CHECK(droppedReserves > 100);
}

TEST_CASE("An endpoint is removed at once while the store is reachable", "[serving]")
{
    EndpointDirectory directory;
    directory.put(endpointEntry("e"));
    CHECK(directory.remove(EndpointId("e"), Start));
    CHECK(directory.isEmpty());
}

TEST_CASE("An endpoint whose registration expired in a store outage has two seconds to register again", "[serving]")
{
    EndpointDirectory directory;
    directory.put(endpointEntry("live"));
    directory.put(endpointEntry("dead"));
    directory.put(endpointEntry("leaving", true));
    directory.onStoreUnreachable();
    directory.onStoreReachable(Start);
    CHECK(directory.replaceAll({}, Start + Milliseconds(10)));
    CHECK(directory.find(EndpointId("leaving")) == nullptr);
    CHECK(directory.all().size() == 2);
    directory.put(endpointEntry("live"));
    CHECK_FALSE(directory.removeExpired(Start + Milliseconds(1900)));
    CHECK(directory.removeExpired(Start + EndpointDirectory::ReregistrationTime));
    CHECK(directory.find(EndpointId("live")) != nullptr);
    CHECK(directory.find(EndpointId("dead")) == nullptr);
}

TEST_CASE("A restarted endpoint replaces its earlier entry, never the other way round", "[serving]")
{
    EndpointDirectory directory;
    directory.put(endpointEntry("e", false, 100));
    CHECK(directory.put(endpointEntry("e", false, 200)));
    CHECK_FALSE(directory.put(endpointEntry("e", true, 100)));
    CHECK_FALSE(directory.find(EndpointId("e"))->isLeaving);
}

TEST_CASE("An endpoint's own notice that it leaves outlasts its entry, but neither a new start nor its lifetime", "[serving]")
{
    const auto entry = [](std::int64_t born, bool isLeaving = false) {
        return EndpointEntry{EndpointId("i"), PoolId("p"), DomainId("d"), SocketAddress{"127.0.0.1", 1}, 4, isLeaving, born};
    };
    EndpointDirectory directory;
    directory.put(entry(1));
    CHECK(directory.markLeaving(EndpointId("i"), 1, Start));
    CHECK(directory.find(EndpointId("i"))->isLeaving);
    CHECK_FALSE(directory.markLeaving(EndpointId("i"), 1, Start));
    CHECK_FALSE(directory.put(entry(1)));
    directory.remove(EndpointId("i"), Start);
    directory.put(entry(1));
    CHECK(directory.find(EndpointId("i"))->isLeaving);
    CHECK(directory.put(entry(2)));
    CHECK_FALSE(directory.find(EndpointId("i"))->isLeaving);
    CHECK(directory.markLeaving(EndpointId("i"), 2, Start));
    CHECK_FALSE(directory.removeExpired(Start + EndpointDirectory::LeavingNoticeLifetime - Milliseconds(1)));
    CHECK(directory.removeExpired(Start + EndpointDirectory::LeavingNoticeLifetime));
    CHECK_FALSE(directory.find(EndpointId("i"))->isLeaving);
    directory.put(entry(2, true));
    directory.markLeaving(EndpointId("i"), 2, Start);
    directory.removeExpired(Start + EndpointDirectory::LeavingNoticeLifetime);
    CHECK(directory.find(EndpointId("i"))->isLeaving);
    // A late answer of an earlier start changes nothing.
    directory.put(entry(3));
    CHECK_FALSE(directory.markLeaving(EndpointId("i"), 2, Start));
    CHECK_FALSE(directory.find(EndpointId("i"))->isLeaving);
}

TEST_CASE("The host's route with the longest prefix matches, and an older configuration is not installed", "[serving]")
{
    const auto configuration = [](std::uint64_t version, const std::string &prefix) {
        ServingConfiguration it;
        it.version = ConfigurationVersion(version);
        for (const std::string &path : {std::string("/a/"), prefix}) {
            Route route;
            route.id = RouteId(path);
            route.host = "Host.example";
            route.prefix = path;
            route.pools = {{PoolId("one"), 9}, {PoolId("two"), 1}};
            it.routes.push_back(route);
        }
        return it;
    };
    RouteTable routes;
    CHECK(routes.install(configuration(5, "/a/b/")));
    CHECK(routes.find("host.example:80", "/a/b/c")->id == RouteId("/a/b/"));
    CHECK(routes.find("host.example", "/a/c")->id == RouteId("/a/"));
    CHECK(routes.find("host.example", "/x/") == nullptr);
    CHECK_FALSE(routes.install(configuration(4, "/z/")));
    CHECK_FALSE(routes.install(configuration(5, "/z/")));
    CHECK(routes.find("host.example", "/z/") == nullptr);
    int second = 0;
    for (std::uint64_t n = 0; n < 100; ++n) {
        second += choosePool(*routes.find("host.example", "/a/c"), n) == PoolId("two") ? 1 : 0;
    }
    CHECK(second == 10);
}

TEST_CASE("Events are split correctly, however their bytes arrive", "[serving]")
{
    const std::string text = "id: 1\ndata: one\n\nx-weight-versions: 3\nid: 2\ndata: two\ndata: lines\n\nid: 3\nda";
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (const char c : text) {
        for (StreamEvent &event : splitter.feed({&c, 1})) {
            events.push_back(std::move(event));
        }
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].bytes == "id: 1\ndata: one\n\n");
    CHECK(events[1].id == "2");
    CHECK(events[1].data == "two\nlines");
    CHECK(splitter.incompleteEvent() == "id: 3\nda");
}

// Guards against taking the end of the connection for the end of a stream whose last event is torn.
TEST_CASE("Bytes after the last event are told from the beginning of another one", "[serving]")
{
    const auto isInside = [](const std::string &text) {
        EventSplitter splitter;
        for (const char c : text) {
            splitter.feed({&c, 1});
        }
        return splitter.isInsideEvent();
    };
    for (const std::string end : {"", "\n", "\r\n", "\r", ": comment", ": comment\n"}) {
        INFO(end);
        CHECK_FALSE(isInside("data: one\n\n" + end));
        CHECK_FALSE(isInside("data: one\r\n\r\n" + end));
        CHECK_FALSE(isInside("data: one\r\r" + end));
        CHECK_FALSE(isInside("data: one\n\r\n" + end));
    }
    for (const std::string end : {"i", "id: 2", "id: 2\nda", "id: 2\ndata: two\n", ": comment\ndata: two\n"}) {
        INFO(end);
        CHECK(isInside("data: one\n\n" + end));
        CHECK(isInside(end));
    }
}

TEST_CASE("A request is sent again only where it can't run too often, and counts as not run only if no attempt may have run", "[serving]")
{
    const EndpointId a("a");
    const EndpointId b("b");
    RetryPolicy once(false, 2);
    once.onSent(a);
    CHECK(once.mayHaveRun());
    CHECK_FALSE(once.mayRunElsewhere());
    CHECK_FALSE(once.tryRetryAtSameEndpoint());
    CHECK(once.onNotExecuted(a));
    CHECK_FALSE(once.mayHaveRun());
    RetryPolicy single(true, 1);
    single.onSent(a);
    CHECK_FALSE(single.mayRunElsewhere());
    CHECK(single.tryRetryAtSameEndpoint());
    CHECK(single.maySendTo(a));
    CHECK_FALSE(single.maySendTo(b));
    // The second attempt was refused, the first one may have run.
    single.onSent(a);
    CHECK(single.onNotExecuted(a));
    CHECK(single.mayHaveRun());
    CHECK(single.tryRetryAtSameEndpoint());
    CHECK_FALSE(single.tryRetryAtSameEndpoint());
    RetryPolicy twice(true, 2);
    twice.onSent(a);
    CHECK(twice.mayRunElsewhere());
    twice.onSent(b);
    CHECK_FALSE(twice.mayRunElsewhere());
    int rejections = 0;
    while (once.onNotExecuted(b)) {
        ++rejections;
    }
    CHECK(rejections == 5);
}

TEST_CASE("A response is judged by its status, its signature and its end", "[serving]")
{
    ReceivedResponse sound;
    sound.status = 200;
    sound.metadata.hasSignature = true;
    sound.metadata.isEventStream = true;
    sound.eventCount = 1;
    const auto verdictOf = [&](const std::function<void(ReceivedResponse &)> &change, bool isStream = true, bool isResumption = false) {
        ReceivedResponse response = sound;
        change(response);
        return judgeResponse(response, {isStream, isResumption});
    };
    CHECK(verdictOf([](ReceivedResponse &) {}) == ResponseVerdict::Usable);
    CHECK(verdictOf([](ReceivedResponse &it) { it.metadata.hasSignature = false; }) == ResponseVerdict::Invalid);
    CHECK(verdictOf([](ReceivedResponse &it) { it.metadata.isContentEncoded = true; }) == ResponseVerdict::Invalid);
    CHECK(verdictOf([](ReceivedResponse &it) { it.metadata.isNotExecuted = true; }) == ResponseVerdict::NotExecuted);
    CHECK(verdictOf([](ReceivedResponse &it) { it.status = 500; }) == ResponseVerdict::ServerError);
    CHECK(verdictOf([](ReceivedResponse &it) { it.endsInsideEvent = true; }) == ResponseVerdict::BrokenOff);
    CHECK(verdictOf([](ReceivedResponse &it) { it.endsInsideEvent = true; }, false) == ResponseVerdict::Usable);
    CHECK(verdictOf([](ReceivedResponse &it) { it.status = 404; }) == ResponseVerdict::Usable);
    CHECK(verdictOf([](ReceivedResponse &it) { it.status = 404; }, true, true) == ResponseVerdict::NotContinued);
    CHECK(verdictOf([](ReceivedResponse &) {}, true, true) == ResponseVerdict::Usable);
    CHECK(verdictOf([](ReceivedResponse &it) { it.eventCount = 0; }, true, true) == ResponseVerdict::NotContinued);
    CHECK(verdictOf([](ReceivedResponse &it) { it.metadata.isEventStream = false; }, true, true) == ResponseVerdict::NotContinued);
    CHECK(verdictOf([](ReceivedResponse &it) { it.metadata.isEventStream = false; }) == ResponseVerdict::Usable);
}

TEST_CASE("A history is assembled in order from cache and store, and a failed lookup is never reported as absent", "[serving]")
{
    InMemoryTurnStore store;
    store.save(turn("a", {}, "one"), [](bool) {});
    store.save(turn("b", {RequestId("a")}, "two"), [](bool) {});
    TurnCache cache(store, 1024 * 1024);
    CHECK(loadedChain(cache, "b").text == "one?one!\ntwo?two!\n");
    store.isUnreachable = true;
    CHECK(loadedChain(cache, "b").status == TurnLookup::Status::Found);
    CHECK(loadedChain(cache, "x").status == TurnLookup::Status::Unknown);
    store.isUnreachable = false;
    CHECK(loadedChain(cache, "x").status == TurnLookup::Status::Absent);
    store.turns.erase(RequestId("a"));
    TurnCache fresh(store, 1024 * 1024);
    CHECK(loadedChain(fresh, "b").status == TurnLookup::Status::Unknown);
}

// Guards against conversations whose earlier turns are removed while they go on, and against renewals with each turn.
TEST_CASE("A conversation is renewed twice in its retention, and when its age is not known", "[serving]")
{
    constexpr Milliseconds Retention{60000};
    const auto continued = [&](std::optional<Milliseconds> age, Milliseconds sinceLoaded, int retentionFactor = 1) {
        TurnRecord record;
        record.id = RequestId("c");
        record.retention = Retention * retentionFactor;
        record.continueFrom({TurnLookup::Status::Found, {RequestId("a"), RequestId("b")}, {}, age, Retention}, sinceLoaded);
        return record;
    };
    CHECK(continued(Milliseconds(1000), Milliseconds(500)).conversation() == RequestId("a"));
    CHECK_FALSE(continued(Milliseconds(1000), Milliseconds(500)).renewsConversation);
    CHECK(continued(Milliseconds(1000), Milliseconds(500)).sinceRenewal == Milliseconds(1500));
    CHECK(continued(Milliseconds(29000), Milliseconds(1000)).renewsConversation);
    CHECK(continued(Milliseconds(29000), Milliseconds(1000)).sinceRenewal == Milliseconds(0));
    CHECK(continued(std::nullopt, Milliseconds(1)).renewsConversation);
    CHECK(continued(Milliseconds(1000), Milliseconds(1), 2).renewsConversation);
    TurnRecord first;
    first.id = RequestId("a");
    first.continueFrom({}, Milliseconds(100000));
    CHECK(first.conversation() == RequestId("a"));
    CHECK_FALSE(first.renewsConversation);
}

TEST_CASE("The age of a conversation is known only where its last turn has ended", "[serving]")
{
    InMemoryTurnStore store;
    TurnCache cache(store, 100000);
    const auto chainAt = [&](const std::string &id, Instant now) {
        TurnChain chain;
        cache.loadChain(RequestId(id), std::nullopt, now, [&](TurnChain it) { chain = std::move(it); });
        return chain;
    };
    store.save(turn("a", {}, "one"), [](bool) {});
    CHECK_FALSE(chainAt("a", Start).sinceRenewal);
    TurnRecord second = *turn("b", {RequestId("a")}, "two");
    second.sinceRenewal = Milliseconds(2000);
    second.retention = Milliseconds(90000);
    cache.add(std::make_shared<const TurnRecord>(second), Start);
    CHECK(chainAt("b", Start + Milliseconds(500)).sinceRenewal == Milliseconds(2500));
    CHECK(chainAt("b", Start).shortestRetention == Milliseconds(60000));
}

TEST_CASE("A planned stop closes connections once callers go elsewhere, and then accepts only what ends in time", "[serving]")
{
    constexpr Milliseconds Grace{8000};
    const auto after = [](int ms) { return Start + Milliseconds(ms); };
    DrainSchedule schedule;
    CHECK(schedule.mayAccept(Start, after(100000)));
    CHECK_FALSE(schedule.isOver(after(100000)));
    schedule.begin(Start, Grace);
    CHECK_FALSE(schedule.isClosingConnections(after(2000)));
    CHECK(schedule.mayAccept(after(2000), after(20000)));
    CHECK(schedule.isClosingConnections(after(2600)));
    CHECK(schedule.mayAccept(after(3700), after(7400)));
    CHECK_FALSE(schedule.mayAccept(after(3700), after(7500)));
    CHECK_FALSE(schedule.isEndingRequests(after(7400)));
    CHECK(schedule.isEndingRequests(after(7450)));
    CHECK_FALSE(schedule.mayAccept(after(3700), after(8700)));
    CHECK_FALSE(schedule.isOver(after(7500)));
    CHECK(schedule.isOver(after(7600)));
}

TEST_CASE("Cached turns stay within the memory limit", "[serving]")
{
    InMemoryTurnStore store;
    TurnCache cache(store, 5000);
    for (int n = 0; n < 100; ++n) {
        cache.add(turn("t" + std::to_string(n), {}, std::string(200, 'x')), Start);
    }
    CHECK(cache.sizeBytes() <= 5000);
    CHECK(cache.find(RequestId("t99")) != nullptr);
    CHECK(cache.find(RequestId("t0")) == nullptr);
}

TEST_CASE("All instances agree on a program's home, and leave out unreachable ones", "[serving]")
{
    const auto membersOf = [](const std::string &self) {
        MemberDirectory it{InstanceId(self), DomainId("z")};
        for (const std::string id : {"a", "b", "c", "d"}) {
            it.put({InstanceId(id), DomainId(id == "d" ? "y" : "z"), SocketAddress{"127.0.0.1", 1}, IncarnationId(id + ":1")});
        }
        return it;
    };
    MemberDirectory first = membersOf("a");
    const MemberDirectory second = membersOf("b");
    std::map<InstanceId, int> homes;
    for (int n = 0; n < 400; ++n) {
        const ProgramId program("p" + std::to_string(n));
        REQUIRE(first.rankedHomes(program, Start).front() == second.rankedHomes(program, Start).front());
        ++homes[first.rankedHomes(program, Start).front()];
    }
    CHECK(homes.size() == 4);
    const ProgramId program("p1");
    first.recordFailure(InstanceId("b"), Start);
    first.setDomainIsolated(true);
    for (const InstanceId &home : first.rankedHomes(program, Start)) {
        CHECK(home != InstanceId("b"));
        CHECK(home != InstanceId("d"));
    }
    CHECK_FALSE(first.reachableInstance(IncarnationId("b:1"), Start));
    CHECK(first.reachableInstance(IncarnationId("c:1"), Start) == InstanceId("c"));
    CHECK_FALSE(first.reachableInstance(IncarnationId("c:0"), Start));
}

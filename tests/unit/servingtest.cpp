#include "http/eventsplitter.h"
#include "serving/budgetledger.h"
#include "serving/endpointdirectory.h"
#include "serving/fleet.h"
#include "serving/routetable.h"
#include "serving/turnhistory.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace flamingo;

namespace
{
const Instant Start{};

/// Budget records in memory, with the store's troubles.
class MemoryBudgets : public BudgetStore
{
public:
    struct Record {
        std::uint64_t revision = 0;
        std::string bytes;
    };

    void swap(const ProgramId &program, std::uint64_t expectedRevision, const std::string &bytes, std::function<void(SwapResult)> onResult) override
    {
        ++calls;
        if (isRefusing) {
            onResult({SwapResult::Status::Refused, 0, {}});
            return;
        }
        Record &record = records[program];
        if (record.revision != expectedRevision) {
            onResult({SwapResult::Status::Conflict, record.revision, record.bytes});
            return;
        }
        record = {record.revision + 1, bytes};
        if (answersToLose > 0) {
            --answersToLose;
            onResult({SwapResult::Status::Unknown, 0, {}});
            return;
        }
        onResult({SwapResult::Status::Done, record.revision, {}});
    }

    void remove(const std::vector<ProgramId> &programs) override
    {
        for (const ProgramId &program : programs) {
            records.erase(program);
        }
    }

    Tokens granted(const std::string &program) const
    {
        const auto record = BudgetRecord::decode(records.at(ProgramId(program)).bytes);
        return record->budget - record->remaining();
    }

    std::map<ProgramId, Record> records;
    int calls = 0;
    int answersToLose = 0;
    bool isRefusing = false;
};

struct Holder {
    Holder(MemoryBudgets &store, const std::string &name, std::set<std::string> living = {})
        : ledger(HolderId(name), store, [living = std::move(living)](const HolderId &holder) { return living.count(holder.value()) != 0; })
    {
    }

    BudgetAnswer reserve(int budget, int most, bool isReferred = false)
    {
        BudgetAnswer answer;
        ledger.reserve({ProgramId("p"), Tokens(budget), Tokens(most), isReferred}, Start, [&](const BudgetAnswer &it) { answer = it; });
        return answer;
    }

    void settle(int reserved, int used)
    {
        ledger.settle(ProgramId("p"), Tokens(reserved), Tokens(used), Start);
    }

    BudgetLedger ledger;
};

EndpointEntry entry(const std::string &id, bool isLeaving = false, std::int64_t startedAt = 1)
{
    return {EndpointId(id), PoolId("app"), DomainId("z"), SocketAddress{"127.0.0.1", 1}, 4, isLeaving, startedAt};
}

/// Turns in memory that may be out of reach.
class MemoryTurns : public TurnStore
{
public:
    void save(const TurnRecordPtr &turn, std::function<void(bool)> onSaved) override
    {
        turns[turn->id] = turn;
        onSaved(true);
    }

    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override
    {
        const auto it = turns.find(id);
        if (isAway) {
            onLoaded({});
        } else {
            onLoaded(it == turns.end() ? TurnLookup{TurnLookup::Status::Absent, nullptr} : TurnLookup{TurnLookup::Status::Found, it->second});
        }
    }

    std::map<RequestId, TurnRecordPtr> turns;
    bool isAway = false;
};

TurnRecordPtr turn(const std::string &id, std::vector<RequestId> ancestors, const std::string &text)
{
    return std::make_shared<const TurnRecord>(TurnRecord{RequestId(id), std::move(ancestors), text + "?", text + "!\n", Milliseconds(60000)});
}

TurnChain chainOf(TurnHistory &history, const std::string &id)
{
    TurnChain chain;
    history.chain(RequestId(id), [&](TurnChain it) { chain = std::move(it); });
    return chain;
}
} // namespace

TEST_CASE("A program with small turns costs one call to the store", "[serving]")
{
    MemoryBudgets store;
    Holder home(store, "a");
    for (int n = 0; n < 5; ++n) {
        CHECK(home.reserve(1800, 300).verdict == BudgetVerdict::Reserved);
        home.settle(300, 150);
    }
    CHECK(store.calls == 1);
}

TEST_CASE("A budget is refused as spent only when not one more turn fits", "[serving]")
{
    MemoryBudgets store;
    Holder home(store, "a");
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Reserved);
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Reserved);
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Spent);
    home.settle(400, 100);
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Reserved);
    CHECK(home.reserve(1000, 400).verdict == BudgetVerdict::Spent);
    CHECK(store.granted("p") <= Tokens(1000));
}

TEST_CASE("What a dead holder was granted counts as spent", "[serving]")
{
    MemoryBudgets store;
    Holder first(store, "a");
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    Holder second(store, "b");
    CHECK(second.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    CHECK(second.reserve(900, 300).verdict == BudgetVerdict::Unsure);
    CHECK(store.granted("p") == Tokens(900));
}

TEST_CASE("A new home sends turns on to the holder while that one lives", "[serving]")
{
    MemoryBudgets store;
    Holder first(store, "a");
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    Holder second(store, "b", {"a"});
    const BudgetAnswer answer = second.reserve(900, 300);
    CHECK(answer.verdict == BudgetVerdict::Elsewhere);
    CHECK(answer.holder == HolderId("a"));
    CHECK(second.reserve(900, 300, true).verdict == BudgetVerdict::Reserved);
}

TEST_CASE("A leaving holder gives back what nobody has used", "[serving]")
{
    MemoryBudgets store;
    Holder first(store, "a");
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    first.settle(300, 100);
    first.ledger.beginRelease(Start);
    CHECK(store.granted("p") == Tokens(400));
    CHECK(first.reserve(900, 300).verdict == BudgetVerdict::Unsure);
    first.settle(300, 50);
    CHECK(store.granted("p") == Tokens(150));
}

TEST_CASE("A grant whose answer is lost counts once", "[serving]")
{
    MemoryBudgets store;
    store.answersToLose = 1;
    Holder home(store, "a");
    CHECK(home.reserve(900, 300).verdict == BudgetVerdict::Reserved);
    CHECK(store.granted("p") == Tokens(600));
}

TEST_CASE("No home lets a turn run that the store has not granted, however often homes change in an outage", "[serving][promises]")
{
    MemoryBudgets store;
    store.isRefusing = true;
    for (int n = 0; n < 4; ++n) {
        Holder home(store, "h" + std::to_string(n));
        CHECK(home.reserve(900, 300).verdict == BudgetVerdict::Unsure);
    }
}

TEST_CASE("Budgets hold over any number of holders that come and go", "[serving][promises]")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::srand(seed);
        MemoryBudgets store;
        std::vector<std::unique_ptr<Holder>> holders;
        int handed = 0;
        constexpr int Budget = 3000;
        constexpr int Most = 300;
        for (int n = 0; n < 200; ++n) {
            if (holders.empty() || std::rand() % 20 == 0) {
                holders.push_back(std::make_unique<Holder>(store, "h" + std::to_string(n)));
            }
            store.answersToLose = std::rand() % 5 == 0 ? 1 : 0;
            store.isRefusing = std::rand() % 7 == 0;
            Holder &holder = *holders[static_cast<std::size_t>(std::rand()) % holders.size()];
            if (holder.reserve(Budget, Most).verdict == BudgetVerdict::Reserved) {
                const int used = std::rand() % (Most + 1);
                handed += used;
                holder.settle(Most, used);
            }
        }
        CHECK(handed <= Budget);
    }
}

TEST_CASE("A late instance list alone doesn't delay the removal of an endpoint", "[serving]")
{
    EndpointDirectory directory;
    directory.put(entry("e"));
    CHECK(directory.remove(EndpointId("e"), Start));
    CHECK(directory.isEmpty());
}

TEST_CASE("An endpoint that lapsed while the store was away has two seconds to come back", "[serving]")
{
    EndpointDirectory directory;
    directory.put(entry("live"));
    directory.put(entry("dead"));
    directory.put(entry("leaving", true));
    directory.onStoreAway();
    directory.onStoreBack(Start);
    CHECK(directory.replaceAll({}, Start + Milliseconds(10)));
    CHECK(directory.find(EndpointId("leaving")) == nullptr);
    CHECK(directory.all().size() == 2);
    directory.put(entry("live"));
    CHECK_FALSE(directory.dropLapsed(Start + Milliseconds(1900)));
    CHECK(directory.dropLapsed(Start + EndpointDirectory::ReturnTime));
    CHECK(directory.find(EndpointId("live")) != nullptr);
    CHECK(directory.find(EndpointId("dead")) == nullptr);
}

TEST_CASE("An endpoint that starts again under its id replaces its former self, never the other way round", "[serving]")
{
    EndpointDirectory directory;
    directory.put(entry("e", false, 100));
    CHECK(directory.put(entry("e", false, 200)));
    CHECK_FALSE(directory.put(entry("e", true, 100)));
    CHECK_FALSE(directory.find(EndpointId("e"))->isLeaving);
}

TEST_CASE("The longest prefix of the host's routes wins, and an older configuration changes nothing", "[serving]")
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

TEST_CASE("Events are cut out whole, however their bytes come", "[serving]")
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
    CHECK(splitter.rest() == "id: 3\nda");
}

TEST_CASE("A history is put together in order from memory and store, and doubt is never taken for absence", "[serving]")
{
    MemoryTurns store;
    store.save(turn("a", {}, "one"), [](bool) {});
    store.save(turn("b", {RequestId("a")}, "two"), [](bool) {});
    TurnHistory history(store, 1024 * 1024);
    CHECK(chainOf(history, "b").text == "one?one!\ntwo?two!\n");
    store.isAway = true;
    CHECK(chainOf(history, "b").status == TurnLookup::Status::Found);
    CHECK(chainOf(history, "x").status == TurnLookup::Status::Unsure);
    store.isAway = false;
    CHECK(chainOf(history, "x").status == TurnLookup::Status::Absent);
    store.turns.erase(RequestId("a"));
    TurnHistory fresh(store, 1024 * 1024);
    CHECK(chainOf(fresh, "b").status == TurnLookup::Status::Unsure);
}

TEST_CASE("Recent turns stay within the memory bound", "[serving]")
{
    MemoryTurns store;
    TurnHistory history(store, 5000);
    for (int n = 0; n < 100; ++n) {
        history.remember(turn("t" + std::to_string(n), {}, std::string(200, 'x')));
    }
    CHECK(history.memoryBytes() <= 5000);
    CHECK(history.inMemory(RequestId("t99")) != nullptr);
    CHECK(history.inMemory(RequestId("t0")) == nullptr);
}

TEST_CASE("All instances name the same home, and leave out those that can't be reached", "[serving]")
{
    const auto fleet = [](const std::string &self) {
        Fleet it{InstanceId(self), DomainId("z")};
        for (const std::string id : {"a", "b", "c", "d"}) {
            it.put({InstanceId(id), DomainId(id == "d" ? "y" : "z"), SocketAddress{"127.0.0.1", 1}, HolderId(id + ":1")});
        }
        return it;
    };
    Fleet first = fleet("a");
    const Fleet second = fleet("b");
    std::map<InstanceId, int> homes;
    for (int n = 0; n < 400; ++n) {
        const ProgramId program("p" + std::to_string(n));
        REQUIRE(first.homes(program, Start).front() == second.homes(program, Start).front());
        ++homes[first.homes(program, Start).front()];
    }
    CHECK(homes.size() == 4);
    const ProgramId program("p1");
    first.markDown(InstanceId("b"), Start);
    first.setCutOff(true);
    for (const InstanceId &home : first.homes(program, Start)) {
        CHECK(home != InstanceId("b"));
        CHECK(home != InstanceId("d"));
    }
    CHECK_FALSE(first.liveHolder(HolderId("b:1"), Start));
    CHECK(first.liveHolder(HolderId("c:1"), Start) == InstanceId("c"));
    CHECK_FALSE(first.liveHolder(HolderId("c:0"), Start));
}

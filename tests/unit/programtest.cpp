#include "programs/programtable.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace
{
const ProgramId TestProgram("0-a");
const CallerId TestCaller("omaruru");

ProgramStarted makeStartRecord(std::int64_t budget, const ProgramId &id = TestProgram)
{
    ProgramStarted record;
    record.program = id;
    record.caller = TestCaller;
    record.agent = AgentId("quote");
    record.budget = Tokens(budget);
    return record;
}

TurnCommitted makeTurnRecord(const ProgramTable &table, std::uint32_t number, const std::string &text, std::int64_t cost, const ProgramId &id = TestProgram)
{
    Outcome outcome;
    outcome.text = text;
    outcome.cost = Tokens(cost);
    return {id, CallNumber(number), digestOf("q" + std::to_string(number)), table.find(id)->historyDigest, "{}", outcome};
}

CallRequest makeCallRequest(std::uint32_t number, std::int64_t cost = 1)
{
    return {TestProgram, CallNumber(number), digestOf("q" + std::to_string(number)), Tokens(cost)};
}
} // namespace

TEST_CASE("Calls of a program run in order", "[promises]")
{
    ProgramTable table;
    REQUIRE(table.apply(makeStartRecord(1000)));
    REQUIRE(table.admit(makeCallRequest(2), {}, 0).error().kind == ErrorKind::CallOutOfOrder);
    REQUIRE(table.admit(makeCallRequest(0), {}, 0).error().kind == ErrorKind::CallOutOfOrder);
    REQUIRE(std::holds_alternative<RunNextCall>(*table.admit(makeCallRequest(1), {}, 0)));
    table.setRunningRequest(TestProgram, digestOf("q1"));
    REQUIRE(std::holds_alternative<AttachToRunningCall>(*table.admit(makeCallRequest(1), {}, 0)));
    REQUIRE(table.admit(makeCallRequest(2), {}, 0).error().kind == ErrorKind::CallOutOfOrder);
    REQUIRE(table.apply(makeTurnRecord(table, 1, "answer", 1)));
    table.setRunningRequest(TestProgram, std::nullopt);
    const auto replay = table.admit(makeCallRequest(1), {}, 0);
    REQUIRE(std::get<ReplayTurn>(*replay).turn.outcome.text == "answer");
    REQUIRE(std::holds_alternative<RunNextCall>(*table.admit(makeCallRequest(2), {}, 0)));
}

TEST_CASE("A different request under a used call number is a conflict")
{
    ProgramTable table;
    REQUIRE(table.apply(makeStartRecord(1000)));
    REQUIRE(table.apply(makeTurnRecord(table, 1, "answer", 1)));
    CallRequest other = makeCallRequest(1);
    other.requestDigest = digestOf("something else");
    REQUIRE(table.admit(other, {}, 0).error().kind == ErrorKind::CallConflict);
}

TEST_CASE("A turn that extends another history is refused", "[promises]")
{
    ProgramTable table;
    REQUIRE(table.apply(makeStartRecord(1000)));
    REQUIRE(table.apply(makeStartRecord(1000, ProgramId("0-b"))));
    const auto foreign = makeTurnRecord(table, 1, "for b", 1, ProgramId("0-b"));
    TurnCommitted mixed = foreign;
    mixed.program = TestProgram;
    REQUIRE(table.apply(mixed).error().kind == ErrorKind::CallConflict);
    REQUIRE(table.apply(foreign));
    REQUIRE(table.apply(foreign).error().kind == ErrorKind::CallConflict);
    REQUIRE(table.find(TestProgram)->turns.empty());
}

TEST_CASE("A budget can't be exceeded, and what a previous owner reserved counts as spent", "[promises]")
{
    ProgramTable table;
    REQUIRE(table.apply(makeStartRecord(100)));
    REQUIRE(table.admit(makeCallRequest(1, 101), {}, 0).error().kind == ErrorKind::BudgetExhausted);
    REQUIRE_FALSE(table.isBudgetReserved(TestProgram, Tokens(10)));
    REQUIRE(table.apply(table.nextReservation(TestProgram, Tokens(10))));
    REQUIRE(table.find(TestProgram)->reserved == Tokens(40));
    REQUIRE(table.isBudgetReserved(TestProgram, Tokens(40)));
    REQUIRE(table.apply(makeTurnRecord(table, 1, "a", 10)));
    REQUIRE(table.apply(ShardTakenOver{FencingNumber(2)}));
    REQUIRE(table.find(TestProgram)->spent == Tokens(40));
    REQUIRE(table.admit(makeCallRequest(2, 61), {}, 0).error().kind == ErrorKind::BudgetExhausted);
    REQUIRE(table.admit(makeCallRequest(2, 60), {}, 0));
}

TEST_CASE("A sub-agent's budget is taken from its parent's, and the unspent rest is returned")
{
    ProgramTable table;
    REQUIRE(table.apply(makeStartRecord(100)));
    ProgramStarted child = makeStartRecord(60, ProgramId("0-c"));
    child.parent = TestProgram;
    REQUIRE(table.apply(child));
    REQUIRE(table.find(TestProgram)->spent == Tokens(60));
    ProgramStarted second = makeStartRecord(50, ProgramId("0-d"));
    second.parent = TestProgram;
    REQUIRE(table.apply(second).error().kind == ErrorKind::BudgetExhausted);
    REQUIRE(table.apply(makeTurnRecord(table, 1, "a", 20, ProgramId("0-c"))));
    REQUIRE(table.runningDescendants(TestProgram).size() == 1);
    REQUIRE(table.apply(ProgramEnded{ProgramId("0-c"), "caller"}));
    REQUIRE(table.find(TestProgram)->spent == Tokens(20));
    REQUIRE(table.runningDescendants(TestProgram).empty());
}

TEST_CASE("A claim without an outcome becomes an unknown outcome after a takeover", "[promises]")
{
    ProgramTable table;
    REQUIRE(table.apply(makeStartRecord(100)));
    REQUIRE(table.apply(CallClaimed{TestProgram, CallNumber(1), digestOf("q1")}));
    REQUIRE_FALSE(table.apply(CallClaimed{TestProgram, CallNumber(1), digestOf("q1")}));
    const auto records = table.unresolvedClaimOutcomes();
    REQUIRE(records.size() == 1);
    REQUIRE(table.apply(records[0]));
    const auto replay = table.admit(makeCallRequest(1), {}, 0);
    REQUIRE(std::get<ReplayTurn>(*replay).turn.outcome.error == std::string("outcome-unknown"));
    REQUIRE(table.unresolvedClaimOutcomes().empty());
}

TEST_CASE("A withdrawn claim frees the call number")
{
    ProgramTable table;
    REQUIRE(table.apply(makeStartRecord(100)));
    REQUIRE(table.apply(CallClaimed{TestProgram, CallNumber(1), digestOf("q1")}));
    REQUIRE(table.apply(ClaimWithdrawn{TestProgram, CallNumber(1)}));
    REQUIRE(table.unresolvedClaimOutcomes().empty());
    REQUIRE(table.apply(CallClaimed{TestProgram, CallNumber(1), digestOf("q1")}));
}

TEST_CASE("Turn and time limits are enforced")
{
    ProgramTable table;
    REQUIRE(table.apply(makeStartRecord(100)));
    ProgramLimits limits;
    limits.maxTurns = 1;
    limits.maxDuration = Milliseconds(1000);
    REQUIRE(table.admit(makeCallRequest(1), limits, 1001).error().kind == ErrorKind::ProgramTimeLimit);
    REQUIRE(table.apply(makeTurnRecord(table, 1, "a", 1)));
    REQUIRE(table.admit(makeCallRequest(2), limits, 0).error().kind == ErrorKind::TurnLimitReached);
    REQUIRE(table.apply(ProgramEnded{TestProgram, "caller"}));
    REQUIRE(table.admit(makeCallRequest(2), {}, 0).error().kind == ErrorKind::ProgramEnded);
    REQUIRE(std::holds_alternative<ReplayTurn>(*table.admit(makeCallRequest(1), {}, 0)));
}

TEST_CASE("A state restored from a snapshot equals the state built from records")
{
    ProgramTable table;
    REQUIRE(table.apply(makeStartRecord(1000)));
    for (std::uint32_t n = 1; n <= 5; ++n) {
        REQUIRE(table.apply(makeTurnRecord(table, n, std::string(400, 'x'), 3)));
    }
    REQUIRE(table.apply(makeStartRecord(1000, ProgramId("0-b"))));
    ProgramTable copy;
    for (const std::string &chunk : table.encodeSnapshot(1000)) {
        REQUIRE(copy.restoreSnapshotChunk(chunk));
    }
    REQUIRE(copy.size() == 2);
    REQUIRE(copy.find(TestProgram)->historyDigest == table.find(TestProgram)->historyDigest);
    REQUIRE(copy.find(TestProgram)->spent == Tokens(15));
    REQUIRE(copy.find(TestProgram)->turns.size() == 5);
}

TEST_CASE("Records are unchanged by encoding and decoding, and unknown ones aren't decoded")
{
    Outcome outcome;
    outcome.error = "outcome-unknown";
    const Record record = TurnCommitted{TestProgram, CallNumber(3), digestOf("q"), digestOf("h"), "{}", outcome};
    const auto decoded = decodeRecord(encodeRecord(record));
    REQUIRE(decoded);
    REQUIRE(std::get<TurnCommitted>(*decoded).outcome.error == std::string("outcome-unknown"));
    REQUIRE_FALSE(decodeRecord(nlohmann::json::array({99, nlohmann::json::object()})));
    REQUIRE_FALSE(decodeRecord("nonsense"));
}

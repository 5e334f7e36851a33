#include "scheduler/schedulercore.h"
#include "unit/fakestore.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>

using namespace flamingo;

namespace
{
constexpr LinkId Entry = 7;
const CallerId Omaruru("omaruru");
const ProgramId Prog("0-p");

/// A scheduler's decisions with a store in memory and endpoints played by the test.
class Bench
{
public:
    explicit Bench(const std::string &instance, StoreState *shared = nullptr)
        : m_core(settings(instance), m_metrics)
    {
        if (shared) {
            m_state = shared;
        }
        ConfigurationUpdate update;
        add(update, ObjectKind::Pool, "llm", {{"serves", "model"}});
        add(update, ObjectKind::Pool, "dispatch", {{"serves", "service"}, {"operations", {{"book", nlohmann::json::object()}}}});
        add(update, ObjectKind::Endpoint, "e0", {{"pool", "llm"}, {"address", "127.0.0.1:1"}, {"domain", "d"}, {"slots", 4}});
        add(update, ObjectKind::Endpoint, "s0", {{"pool", "dispatch"}, {"address", "127.0.0.1:2"}, {"domain", "d"}, {"slots", 4}});
        add(update, ObjectKind::Agent, "a", {{"pool", "llm"}, {"services", {"dispatch"}}, {"budget_tokens", 10000}, {"idle_timeout_ms", 5000}});
        MembershipUpdate members;
        MemberInfo self;
        self.instance = InstanceId(instance);
        self.domain = DomainId("d");
        self.incarnation = 1;
        self.hasScheduler = true;
        members.members.push_back(self);
        m_core.setTime(now, nowMs());
        m_core.onMessage(1, update);
        m_core.onMessage(1, members);
        run(Milliseconds(500));
    }

    static SchedulerSettings settings(const std::string &instance)
    {
        SchedulerSettings settings;
        settings.instance = InstanceId(instance);
        settings.domain = DomainId("d");
        settings.domains = {DomainId("d")};
        settings.incarnation = instance;
        settings.shardCount = 1;
        settings.settleTime = Milliseconds(0);
        settings.journal.appendsPerSecond = 1000;
        settings.journal.appendBurst = 1000;
        return settings;
    }

    void add(ConfigurationUpdate &update, ObjectKind kind, const std::string &id, nlohmann::json spec)
    {
        update.objects.push_back({{kind, id}, TicketNumber(1), std::move(spec)});
    }

    std::int64_t nowMs() const
    {
        return 1000000 + toMilliseconds(now.time_since_epoch());
    }

    void message(const PeerMessage &message)
    {
        m_core.setTime(now, nowMs());
        m_core.onMessage(Entry, message);
        carryOut();
    }

    void result(EndpointResult result)
    {
        m_core.setTime(now, nowMs());
        m_core.onAttemptResult(result);
        carryOut();
    }

    void run(Milliseconds time)
    {
        const Instant end = now + time;
        while (now < end) {
            now += Milliseconds(5);
            m_core.setTime(now, nowMs());
            m_core.onTimer();
            carryOut();
        }
    }

    void carryOut()
    {
        while (true) {
            auto actions = m_core.takeActions();
            if (actions.empty()) {
                return;
            }
            for (Action &action : actions) {
                if (auto *call = std::get_if<CallStore>(&action)) {
                    if (!isStoreDown) {
                        m_core.onStoreReply(call->shard, FakeStore::perform(*m_state, call->operation));
                    }
                } else if (auto *send = std::get_if<SendOnLink>(&action)) {
                    replies.push_back(send->message);
                } else if (auto *start = std::get_if<StartAttempt>(&action)) {
                    sent.push_back(start->request);
                } else if (auto *release = std::get_if<ReleaseMemory>(&action)) {
                    released.push_back(release->program);
                }
            }
        }
    }

    void start(const ProgramId &program = Prog)
    {
        StartProgram start;
        start.request = 1;
        start.caller = Omaruru;
        start.agent = AgentId("a");
        start.program = program;
        message(start);
    }

    void
    submit(std::uint32_t number, const std::string &service, std::int64_t deadlineMs = 60000, const std::string &input = R"([{"role":"user","content":"hi"}])")
    {
        SubmitCall call;
        call.request = 100 + number;
        call.caller = Omaruru;
        call.program = Prog;
        call.number = CallNumber(number);
        call.service = service;
        call.operation = service.empty() ? "" : "book";
        call.input = input;
        call.maxTokens = Tokens(20);
        call.deadlineMs = deadlineMs;
        message(call);
    }

    EndpointResult answer(EndpointResult::Status status, const std::string &text = "done") const
    {
        EndpointResult result;
        result.attempt = sent.back().attempt;
        result.endpoint = sent.back().endpoint;
        result.status = status;
        result.text = text;
        result.promptTokens = Tokens(10);
        result.completionTokens = Tokens(5);
        return result;
    }

    template<typename T>
    const T *last() const
    {
        for (auto it = replies.rbegin(); it != replies.rend(); ++it) {
            if (const T *found = std::get_if<T>(&*it)) {
                return found;
            }
        }
        return nullptr;
    }

    Instant now{std::chrono::seconds(1000)};
    bool isStoreDown = false;
    std::vector<PeerMessage> replies;
    std::vector<EndpointRequest> sent;
    std::vector<ProgramId> released;
    StoreState ownState;
    SchedulerCore &core()
    {
        return m_core;
    }

    StoreState &state()
    {
        return *m_state;
    }

private:
    Metrics m_metrics;
    SchedulerCore m_core;
    StoreState *m_state = &ownState;
};

using Status = EndpointResult::Status;
} // namespace

TEST_CASE("A call is sent, its turn committed and a repeat gets the stored answer")
{
    Bench bench("a");
    bench.start();
    REQUIRE(bench.last<StartProgramReply>()->isDurable);
    bench.submit(1, "");
    REQUIRE(bench.sent.size() == 1);
    bench.result(bench.answer(Status::Answered, "hello"));
    REQUIRE(bench.last<AnswerDone>()->outcome.text == "hello");
    REQUIRE(bench.last<AnswerDone>()->isDurable);
    bench.replies.clear();
    bench.submit(1, "");
    REQUIRE(bench.sent.size() == 1);
    REQUIRE(bench.last<AnswerDone>()->outcome.text == "hello");
}

TEST_CASE("A claim is in the journal before the call is sent", "[promises]")
{
    Bench bench("a");
    bench.start();
    bench.isStoreDown = true;
    bench.submit(1, "dispatch", 2000);
    bench.run(Milliseconds(1500));
    REQUIRE(bench.sent.empty());
    bench.run(Milliseconds(1000));
    REQUIRE(bench.last<Refusal>()->kind == "store-unavailable");
    REQUIRE(errorInfo(*errorKindFromName(bench.last<Refusal>()->kind)).runState == RunState::NotRun);
    REQUIRE(bench.sent.empty());
}

TEST_CASE("A call without an outcome is never sent again by a new owner", "[promises]")
{
    Bench first("a");
    first.start();
    first.submit(1, "dispatch");
    REQUIRE(first.sent.size() == 1);
    Bench second("b", &first.state());
    second.run(Milliseconds(200));
    second.submit(1, "dispatch");
    REQUIRE(second.sent.empty());
    REQUIRE(second.last<AnswerDone>()->outcome.error == std::string("outcome-unknown"));
    // The old owner wakes: its outcome can't be committed, and it says so.
    first.result(first.answer(Status::Answered));
    first.run(Milliseconds(300));
    REQUIRE(first.last<AnswerDone>() == nullptr);
    REQUIRE(first.last<Refusal>()->kind == "ownership-lost");
}

TEST_CASE("A lost answer of a call that must not be repeated is an unknown outcome, not a retry", "[promises]")
{
    Bench bench("a");
    bench.start();
    bench.submit(1, "dispatch");
    bench.result(bench.answer(Status::OutcomeUnknown));
    bench.run(Milliseconds(500));
    REQUIRE(bench.sent.size() == 1);
    REQUIRE(bench.last<AnswerDone>()->outcome.error == std::string("outcome-unknown"));
}

TEST_CASE("A call that provably wasn't sent may be tried again", "[promises]")
{
    Bench bench("a");
    bench.start();
    bench.submit(1, "dispatch");
    bench.result(bench.answer(Status::NotSent));
    bench.run(Milliseconds(1500));
    REQUIRE(bench.sent.size() == 2);
}

TEST_CASE("A repeatable call goes on from what was delivered")
{
    Bench bench("a");
    bench.start();
    bench.submit(1, "");
    bench.core().onAttemptDelta(bench.sent.back().attempt, "hel");
    bench.result(bench.answer(Status::OutcomeUnknown, "hel"));
    bench.run(Milliseconds(1500));
    REQUIRE(bench.sent.size() == 2);
    REQUIRE(bench.sent.back().resumeText == "hel");
    bench.result(bench.answer(Status::Answered, "lo"));
    REQUIRE(bench.last<AnswerDone>()->outcome.text == "hello");
}

TEST_CASE("An answer of an attempt that is over is passed over", "[promises]")
{
    Bench bench("a");
    bench.start();
    bench.submit(1, "");
    const auto stale = bench.answer(Status::Answered, "stale");
    bench.result(bench.answer(Status::OutcomeUnknown));
    bench.run(Milliseconds(1500));
    REQUIRE(bench.sent.size() == 2);
    bench.result(stale);
    REQUIRE(bench.last<AnswerDone>() == nullptr);
    bench.result(bench.answer(Status::Answered, "right"));
    REQUIRE(bench.last<AnswerDone>()->outcome.text == "right");
}

TEST_CASE("While the store is away repeatable calls go on, marked as not durable", "[promises]")
{
    Bench bench("a");
    bench.start();
    bench.isStoreDown = true;
    bench.submit(1, "");
    REQUIRE(bench.sent.size() == 1);
    bench.result(bench.answer(Status::Answered, "hello"));
    bench.run(Milliseconds(2000));
    REQUIRE(bench.last<AnswerDone>()->outcome.text == "hello");
    REQUIRE_FALSE(bench.last<AnswerDone>()->isDurable);
}

TEST_CASE("A caller never sees another caller's program", "[promises]")
{
    Bench bench("a");
    bench.start();
    FetchAnswer fetch{5, CallerId("kitaezo"), Prog, CallNumber(1)};
    bench.message(fetch);
    REQUIRE(bench.last<Refusal>()->kind == "unknown-program");
    bench.message(EndProgram{6, CallerId("kitaezo"), Prog, "x"});
    REQUIRE(bench.last<Refusal>()->request == 6);
    REQUIRE(bench.last<EndProgramReply>() == nullptr);
}

TEST_CASE("Memory is released when a program ends, idles out, or is found to be gone", "[promises]")
{
    Bench bench("a");
    bench.start();
    bench.submit(1, "");
    bench.result(bench.answer(Status::Answered));
    bench.run(Milliseconds(6000));
    REQUIRE(bench.released == std::vector<ProgramId>{Prog});
    bench.core().onMemoryListed(EndpointId("e0"), {Prog, ProgramId("0-gone"), ProgramId("9-foreign")});
    bench.carryOut();
    REQUIRE(bench.released == std::vector<ProgramId>{Prog, Prog, ProgramId("0-gone")});
}

TEST_CASE("A planned stop lets calls finish, then gives the shard up", "[promises]")
{
    Bench bench("a");
    bench.start();
    bench.submit(1, "");
    bench.core().setTime(bench.now, bench.nowMs());
    bench.core().drain();
    bench.run(Milliseconds(300));
    REQUIRE_FALSE(bench.core().isDrained());
    bench.result(bench.answer(Status::Answered, "whole"));
    REQUIRE(bench.last<AnswerDone>()->isDurable);
    bench.run(Milliseconds(500));
    REQUIRE(bench.core().isDrained());
    Bench second("b", &bench.state());
    second.run(Milliseconds(200));
    second.submit(1, "");
    REQUIRE(second.last<AnswerDone>()->outcome.text == "whole");
}

TEST_CASE("A looping program meets its limits")
{
    Bench bench("a");
    bench.start();
    std::uint32_t number = 1;
    while (!bench.last<Refusal>() && number < 2000) {
        const std::size_t before = bench.sent.size();
        bench.submit(number++, "");
        if (bench.sent.size() > before) {
            bench.result(bench.answer(Status::Answered));
        }
        bench.run(Milliseconds(10));
    }
    REQUIRE(bench.last<Refusal>());
    const std::string kind = bench.last<Refusal>()->kind;
    REQUIRE((kind == "budget-exhausted" || kind == "turn-limit-reached"));
}

TEST_CASE("A refusal after a sending that may have run doesn't say \"not run\"", "[promises]")
{
    Bench bench("a");
    bench.start();
    bench.submit(1, "", 3000);
    bench.result(bench.answer(Status::OutcomeUnknown));
    for (int n = 0; n < 10 && !bench.last<Refusal>(); ++n) {
        bench.run(Milliseconds(800));
        if (!bench.last<Refusal>()) {
            bench.result(bench.answer(Status::NotSent));
        }
    }
    REQUIRE(bench.last<Refusal>());
    REQUIRE(bench.last<Refusal>()->kind == "endpoint-failed");
    REQUIRE(errorInfo(ErrorKind::EndpointFailed).runState == RunState::MayHaveRun);
}

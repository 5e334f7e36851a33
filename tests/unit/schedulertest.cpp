#include "scheduler/schedulercore.h"
#include "unit/fakestore.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>

using namespace flamingo;

namespace
{
constexpr LinkId EntryLink = 7;
const CallerId TestCaller("omaruru");
const ProgramId TestProgram("0-p");

/// A scheduler core with a store in memory. The test plays the entry and the endpoints.
class SchedulerFixture
{
public:
    explicit SchedulerFixture(const std::string &instance, StoreState *shared = nullptr)
        : m_core(makeSettings(instance), m_metrics)
    {
        if (shared) {
            m_state = shared;
        }
        ConfigurationUpdate update;
        addObject(update, ObjectKind::Pool, "llm", {{"serves", "model"}});
        addObject(update, ObjectKind::Pool, "dispatch", {{"serves", "service"}, {"operations", {{"book", nlohmann::json::object()}}}});
        addObject(update, ObjectKind::Endpoint, "e0", {{"pool", "llm"}, {"address", "127.0.0.1:1"}, {"domain", "d"}, {"slots", 4}});
        addObject(update, ObjectKind::Endpoint, "s0", {{"pool", "dispatch"}, {"address", "127.0.0.1:2"}, {"domain", "d"}, {"slots", 4}});
        addObject(update, ObjectKind::Agent, "a", {{"pool", "llm"}, {"services", {"dispatch"}}, {"budget_tokens", 10000}, {"idle_timeout_ms", 5000}});
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
        advance(Milliseconds(500));
    }

    static SchedulerSettings makeSettings(const std::string &instance)
    {
        SchedulerSettings settings;
        settings.instance = InstanceId(instance);
        settings.domain = DomainId("d");
        settings.domains = {DomainId("d")};
        settings.incarnation = instance;
        settings.shardCount = 1;
        settings.startupDelay = Milliseconds(0);
        settings.journal.appendsPerSecond = 1000;
        settings.journal.appendBurst = 1000;
        return settings;
    }

    void addObject(ConfigurationUpdate &update, ObjectKind kind, const std::string &id, nlohmann::json spec)
    {
        update.objects.push_back({{kind, id}, TicketNumber(1), std::move(spec)});
    }

    std::int64_t nowMs() const
    {
        return 1000000 + toMilliseconds(now.time_since_epoch());
    }

    void send(const PeerMessage &message)
    {
        m_core.setTime(now, nowMs());
        m_core.onMessage(EntryLink, message);
        performActions();
    }

    void deliverResult(EndpointResult result)
    {
        m_core.setTime(now, nowMs());
        m_core.onAttemptResult(result);
        performActions();
    }

    void advance(Milliseconds time)
    {
        const Instant end = now + time;
        while (now < end) {
            now += Milliseconds(5);
            m_core.setTime(now, nowMs());
            m_core.onTimer();
            performActions();
        }
    }

    void performActions()
    {
        while (true) {
            auto actions = m_core.takeActions();
            if (actions.empty()) {
                return;
            }
            for (Action &action : actions) {
                if (auto *store = std::get_if<PerformStoreOperation>(&action)) {
                    if (!isStoreDown) {
                        m_core.onStoreReply(store->shard, FakeStore::perform(*m_state, store->operation));
                    }
                } else if (auto *send = std::get_if<SendOnLink>(&action)) {
                    replies.push_back(send->message);
                } else if (auto *start = std::get_if<StartAttempt>(&action)) {
                    sentRequests.push_back(start->request);
                } else if (auto *release = std::get_if<ReleaseEngineMemory>(&action)) {
                    releasedPrograms.push_back(release->program);
                }
            }
        }
    }

    void startProgram(const ProgramId &program = TestProgram)
    {
        StartProgram start;
        start.request = 1;
        start.caller = TestCaller;
        start.agent = AgentId("a");
        start.program = program;
        send(start);
    }

    void submitCall(std::uint32_t number,
                    const std::string &service,
                    std::int64_t deadlineMs = 60000,
                    const std::string &input = R"([{"role":"user","content":"hi"}])")
    {
        SubmitCall call;
        call.request = 100 + number;
        call.caller = TestCaller;
        call.program = TestProgram;
        call.number = CallNumber(number);
        call.service = service;
        call.operation = service.empty() ? "" : "book";
        call.input = input;
        call.maxTokens = Tokens(20);
        call.deadlineMs = deadlineMs;
        send(call);
    }

    EndpointResult makeResult(EndpointResult::Status status, const std::string &text = "done") const
    {
        EndpointResult result;
        result.attempt = sentRequests.back().attempt;
        result.endpoint = sentRequests.back().endpoint;
        result.status = status;
        result.text = text;
        result.promptTokens = Tokens(10);
        result.completionTokens = Tokens(5);
        return result;
    }

    template<typename T>
    const T *lastReply() const
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
    std::vector<EndpointRequest> sentRequests;
    std::vector<ProgramId> releasedPrograms;
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
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    REQUIRE(scheduler.lastReply<StartProgramReply>()->isDurable);
    scheduler.submitCall(1, "");
    REQUIRE(scheduler.sentRequests.size() == 1);
    scheduler.deliverResult(scheduler.makeResult(Status::Answered, "hello"));
    REQUIRE(scheduler.lastReply<AnswerDone>()->outcome.text == "hello");
    REQUIRE(scheduler.lastReply<AnswerDone>()->isDurable);
    scheduler.replies.clear();
    scheduler.submitCall(1, "");
    REQUIRE(scheduler.sentRequests.size() == 1);
    REQUIRE(scheduler.lastReply<AnswerDone>()->outcome.text == "hello");
}

TEST_CASE("A claim is in the journal before the call is sent", "[promises]")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    scheduler.isStoreDown = true;
    scheduler.submitCall(1, "dispatch", 2000);
    scheduler.advance(Milliseconds(1500));
    REQUIRE(scheduler.sentRequests.empty());
    scheduler.advance(Milliseconds(1000));
    REQUIRE(scheduler.lastReply<Refusal>()->kind == "store-unavailable");
    REQUIRE(errorInfo(*errorKindFromName(scheduler.lastReply<Refusal>()->kind)).runState == RunState::NotRun);
    REQUIRE(scheduler.sentRequests.empty());
}

TEST_CASE("A call without an outcome is never sent again by a new owner", "[promises]")
{
    SchedulerFixture first("a");
    first.startProgram();
    first.submitCall(1, "dispatch");
    REQUIRE(first.sentRequests.size() == 1);
    SchedulerFixture second("b", &first.state());
    second.advance(Milliseconds(200));
    second.submitCall(1, "dispatch");
    REQUIRE(second.sentRequests.empty());
    REQUIRE(second.lastReply<AnswerDone>()->outcome.error == std::string("outcome-unknown"));
    // The previous owner resumes. It can't commit the outcome and reports the lost ownership.
    first.deliverResult(first.makeResult(Status::Answered));
    first.advance(Milliseconds(300));
    REQUIRE(first.lastReply<AnswerDone>() == nullptr);
    REQUIRE(first.lastReply<Refusal>()->kind == "ownership-lost");
}

TEST_CASE("A lost answer of a call that must not be repeated is an unknown outcome, not a retry", "[promises]")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    scheduler.submitCall(1, "dispatch");
    scheduler.deliverResult(scheduler.makeResult(Status::OutcomeUnknown));
    scheduler.advance(Milliseconds(500));
    REQUIRE(scheduler.sentRequests.size() == 1);
    REQUIRE(scheduler.lastReply<AnswerDone>()->outcome.error == std::string("outcome-unknown"));
}

TEST_CASE("A call that was certainly not sent is retried", "[promises]")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    scheduler.submitCall(1, "dispatch");
    scheduler.deliverResult(scheduler.makeResult(Status::NotSent));
    scheduler.advance(Milliseconds(1500));
    REQUIRE(scheduler.sentRequests.size() == 2);
}

TEST_CASE("A retry of a repeatable call resumes after the delivered text")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    scheduler.submitCall(1, "");
    scheduler.core().onAttemptDelta(scheduler.sentRequests.back().attempt, "hel");
    scheduler.deliverResult(scheduler.makeResult(Status::OutcomeUnknown, "hel"));
    scheduler.advance(Milliseconds(1500));
    REQUIRE(scheduler.sentRequests.size() == 2);
    REQUIRE(scheduler.sentRequests.back().resumeText == "hel");
    scheduler.deliverResult(scheduler.makeResult(Status::Answered, "lo"));
    REQUIRE(scheduler.lastReply<AnswerDone>()->outcome.text == "hello");
}

TEST_CASE("The answer of an ended attempt is ignored", "[promises]")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    scheduler.submitCall(1, "");
    const auto stale = scheduler.makeResult(Status::Answered, "stale");
    scheduler.deliverResult(scheduler.makeResult(Status::OutcomeUnknown));
    scheduler.advance(Milliseconds(1500));
    REQUIRE(scheduler.sentRequests.size() == 2);
    scheduler.deliverResult(stale);
    REQUIRE(scheduler.lastReply<AnswerDone>() == nullptr);
    scheduler.deliverResult(scheduler.makeResult(Status::Answered, "right"));
    REQUIRE(scheduler.lastReply<AnswerDone>()->outcome.text == "right");
}

TEST_CASE("Repeatable calls continue during a store outage and are marked as not durable", "[promises]")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    scheduler.isStoreDown = true;
    scheduler.submitCall(1, "");
    REQUIRE(scheduler.sentRequests.size() == 1);
    scheduler.deliverResult(scheduler.makeResult(Status::Answered, "hello"));
    scheduler.advance(Milliseconds(2000));
    REQUIRE(scheduler.lastReply<AnswerDone>()->outcome.text == "hello");
    REQUIRE_FALSE(scheduler.lastReply<AnswerDone>()->isDurable);
}

TEST_CASE("A caller never sees another caller's program", "[promises]")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    FetchAnswer fetch{5, CallerId("kitaezo"), TestProgram, CallNumber(1)};
    scheduler.send(fetch);
    REQUIRE(scheduler.lastReply<Refusal>()->kind == "unknown-program");
    scheduler.send(EndProgram{6, CallerId("kitaezo"), TestProgram, "x"});
    REQUIRE(scheduler.lastReply<Refusal>()->request == 6);
    REQUIRE(scheduler.lastReply<EndProgramReply>() == nullptr);
}

TEST_CASE("Engine memory is released when a program exceeds its idle limit or is unknown to its owner", "[promises]")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    scheduler.submitCall(1, "");
    scheduler.deliverResult(scheduler.makeResult(Status::Answered));
    scheduler.advance(Milliseconds(6000));
    REQUIRE(scheduler.releasedPrograms == std::vector<ProgramId>{TestProgram});
    scheduler.core().onMemoryListed(EndpointId("e0"), {TestProgram, ProgramId("0-gone"), ProgramId("9-foreign")});
    scheduler.performActions();
    REQUIRE(scheduler.releasedPrograms == std::vector<ProgramId>{TestProgram, TestProgram, ProgramId("0-gone")});
}

TEST_CASE("A planned stop lets calls finish, then releases the shard", "[promises]")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    scheduler.submitCall(1, "");
    scheduler.core().setTime(scheduler.now, scheduler.nowMs());
    scheduler.core().drain();
    scheduler.advance(Milliseconds(300));
    REQUIRE_FALSE(scheduler.core().isDrained());
    scheduler.deliverResult(scheduler.makeResult(Status::Answered, "whole"));
    REQUIRE(scheduler.lastReply<AnswerDone>()->isDurable);
    scheduler.advance(Milliseconds(500));
    REQUIRE(scheduler.core().isDrained());
    SchedulerFixture second("b", &scheduler.state());
    second.advance(Milliseconds(200));
    second.submitCall(1, "");
    REQUIRE(second.lastReply<AnswerDone>()->outcome.text == "whole");
}

TEST_CASE("A program in a loop is stopped by its budget or turn limit")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    std::uint32_t number = 1;
    while (!scheduler.lastReply<Refusal>() && number < 2000) {
        const std::size_t before = scheduler.sentRequests.size();
        scheduler.submitCall(number++, "");
        if (scheduler.sentRequests.size() > before) {
            scheduler.deliverResult(scheduler.makeResult(Status::Answered));
        }
        scheduler.advance(Milliseconds(10));
    }
    REQUIRE(scheduler.lastReply<Refusal>());
    const std::string kind = scheduler.lastReply<Refusal>()->kind;
    REQUIRE((kind == "budget-exhausted" || kind == "turn-limit-reached"));
}

TEST_CASE("A refusal after an attempt that may have run doesn't say \"not run\"", "[promises]")
{
    SchedulerFixture scheduler("a");
    scheduler.startProgram();
    scheduler.submitCall(1, "", 3000);
    scheduler.deliverResult(scheduler.makeResult(Status::OutcomeUnknown));
    for (int n = 0; n < 10 && !scheduler.lastReply<Refusal>(); ++n) {
        scheduler.advance(Milliseconds(800));
        if (!scheduler.lastReply<Refusal>()) {
            scheduler.deliverResult(scheduler.makeResult(Status::NotSent));
        }
    }
    REQUIRE(scheduler.lastReply<Refusal>());
    REQUIRE(scheduler.lastReply<Refusal>()->kind == "endpoint-failed");
    REQUIRE(errorInfo(ErrorKind::EndpointFailed).runState == RunState::MayHaveRun);
}

#include "entry/answersink.h"
#include "entry/entrycore.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace flamingo;

namespace
{
/// A caller's side of an exchange.
class MockExchange : public HttpExchange
{
public:
    MAKE_CONST_MOCK0(method, std::string(), override);
    MAKE_CONST_MOCK0(path, std::string(), override);
    MAKE_CONST_MOCK1(query, std::string(const std::string &), override);
    MAKE_CONST_MOCK1(header, std::string(const std::string &), override);
    MAKE_CONST_MOCK0(body, const std::string &(), override);
    MAKE_MOCK4(respond, void(int, const std::string &, std::string, const std::vector<Header> &), override);
    MAKE_MOCK3(startStream, void(int, const std::string &, const std::vector<Header> &), override);
    MAKE_MOCK1(write, void(std::string), override);
    MAKE_MOCK0(finishStream, void(), override);
};

struct EntryCoreFixture {
    EntryCoreFixture()
        : core(
            {InstanceId("i0"), DomainId("d"), 8, Milliseconds(1000)},
            metrics,
            [this](const std::string &address, const PeerMessage &message) {
                sent.emplace_back(address, message);
                return ++lastLink;
            },
            1)
    {
        core.setTime(now);
    }

    void setOwner(const std::string &instance, std::uint64_t fence)
    {
        MemberInfo member;
        member.instance = InstanceId(instance);
        member.domain = DomainId("d");
        member.incarnation = 1;
        member.hasScheduler = true;
        member.schedulerAddress = instance;
        member.shards = {{ShardId(0), FencingNumber(fence)}};
        MembershipUpdate update;
        update.members = {member};
        core.onMessage(1, update);
    }

    void submit(bool isFirstAttempt)
    {
        EntryCore::Request request;
        SubmitCall call;
        call.program = ProgramId("0-p");
        call.number = CallNumber(1);
        request.message = call;
        request.shard = ShardId(0);
        request.deadline = now + Milliseconds(5000);
        request.isFirstAttempt = isFirstAttempt;
        request.onReply = [this](const PeerMessage &message) { replies.push_back(message); };
        request.onError = [this](const Error &error) { errors.push_back(error.kind); };
        core.submit(std::move(request));
    }

    void advanceTime(Milliseconds duration)
    {
        for (Milliseconds passed(0); passed < duration; passed += Milliseconds(10)) {
            now += Milliseconds(10);
            core.setTime(now);
            core.onTimer();
        }
    }

    Metrics metrics;
    std::vector<std::pair<std::string, PeerMessage>> sent;
    LinkId lastLink = 10;
    EntryCore core;
    Instant now{std::chrono::seconds(10)};
    std::vector<PeerMessage> replies;
    std::vector<ErrorKind> errors;
};

AnswerDone makeAnswer(RequestNumber request, const std::string &text)
{
    AnswerDone answer;
    answer.request = request;
    answer.outcome.text = text;
    return answer;
}
} // namespace

TEST_CASE("An error says \"not run\" only if no owner can have received the call", "[promises]")
{
    EntryCoreFixture fixture;
    fixture.submit(true);
    fixture.submit(false);
    fixture.advanceTime(Milliseconds(1500));
    REQUIRE(fixture.errors == std::vector<ErrorKind>{ErrorKind::OwnerUnreachable, ErrorKind::OwnerUnreachableOnRetry});
    REQUIRE(errorInfo(ErrorKind::OwnerUnreachable).runState == RunState::NotRun);
    REQUIRE(errorInfo(ErrorKind::OwnerUnreachableOnRetry).runState == RunState::MayHaveRun);
    // Once the call was sent, it may have run, even on a first attempt.
    EntryCoreFixture second;
    second.setOwner("i1", 1);
    second.submit(true);
    second.advanceTime(Milliseconds(6000));
    REQUIRE(second.errors == std::vector<ErrorKind>{ErrorKind::OwnerUnreachableOnRetry});
}

TEST_CASE("A call is sent again to a new owner, and replies from old links are ignored", "[promises]")
{
    EntryCoreFixture fixture;
    fixture.setOwner("i1", 1);
    fixture.submit(true);
    REQUIRE(fixture.sent.size() == 1);
    const LinkId oldLink = fixture.lastLink;
    fixture.core.onLinkDown(oldLink);
    fixture.setOwner("i2", 2);
    fixture.advanceTime(Milliseconds(300));
    REQUIRE(fixture.sent.size() == 2);
    REQUIRE(fixture.sent[1].first == "i2");
    fixture.core.onMessage(oldLink, makeAnswer(1, "crossed"));
    REQUIRE(fixture.replies.empty());
    fixture.core.onMessage(fixture.lastLink, makeAnswer(99, "another request's"));
    REQUIRE(fixture.replies.empty());
    fixture.core.onMessage(fixture.lastLink, makeAnswer(1, "right"));
    REQUIRE(fixture.replies.size() == 1);
    REQUIRE(fixture.core.pendingRequestCount() == 0);
}

TEST_CASE("A stream writes each byte once, whatever deltas arrive", "[promises]")
{
    const auto exchange = std::make_shared<MockExchange>();
    std::string written;
    ALLOW_CALL(*exchange, startStream(200, trompeloeil::_, trompeloeil::_));
    ALLOW_CALL(*exchange, write(trompeloeil::_)).LR_SIDE_EFFECT(written += _1);
    REQUIRE_CALL(*exchange, finishStream());
    const auto sink = makeNativeSink(exchange, true);
    sink->onDelta(0, "one ");
    sink->onDelta(0, "one two ");
    sink->onDelta(4, "two ");
    sink->onDelta(12, "gap");
    sink->onDone(makeAnswer(1, "one two three"));
    sink->onDone(makeAnswer(1, "again"));
    REQUIRE(written.find("restart") == std::string::npos);
    REQUIRE(written.find(R"({"text":"one "})") != std::string::npos);
    REQUIRE(written.find(R"({"text":"two "})") != std::string::npos);
    REQUIRE(written.find(R"({"text":"three"})") != std::string::npos);
}

TEST_CASE("An error before the first delta keeps its HTTP status, and only one answer is sent")
{
    const auto exchange = std::make_shared<MockExchange>();
    REQUIRE_CALL(*exchange, respond(429, trompeloeil::_, trompeloeil::_, trompeloeil::_));
    const auto sink = makeNativeSink(exchange, true);
    sink->onError({ErrorKind::Overloaded, "full", Milliseconds(500)});
    sink->onDone(makeAnswer(1, "late"));
}

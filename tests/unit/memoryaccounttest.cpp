#include "http/memoryaccount.h"
#include "http/connectionbounds.h"
#include "http/messageparser.h"
#include "http/writequeue.h"
#include "instance/bufferquota.h"
#include "instance/forwardedbody.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

using namespace flamingo;

// Load that these modules answer: many callers that send large bodies at once, stop short of their end, or don't read their
// responses.

namespace
{
constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Megabyte = Kilobyte * 1024;
using Eviction = MemoryHolder::Eviction;
using State = ConnectionActivity::State;

/// A holder that frees its bytes when it is evicted, as a connection does.
struct Caller {
    Caller(MemoryAccount &account, std::string callerName, std::vector<std::string> &evicted)
        : name(std::move(callerName))
        , holder(&account, [this, &evicted] {
            holder.resize(0);
            evicted.push_back(name);
        })
    {
    }

    std::string name;
    MemoryHolder holder;
};

/// An account of 8 MiB, 6 MiB of which large holders may use, and its callers.
struct AccountFixture {
    Caller &add(const std::string &name, std::size_t bytes, Instant progressAt, Eviction eviction = Eviction::IncompleteRequest)
    {
        callers.push_back(std::make_unique<Caller>(account, name, evicted));
        callers.back()->holder.setEviction(eviction, progressAt);
        REQUIRE(callers.back()->holder.tryResize(bytes, progressAt));
        return *callers.back();
    }

    MemoryAccount account{8 * Megabyte};
    const Instant begin = Instant() + std::chrono::hours(1);
    std::vector<std::string> evicted;
    std::vector<std::unique_ptr<Caller>> callers;
};
} // namespace

TEST_CASE_METHOD(AccountFixture, "What a holder held is free once it is gone", "[memory]")
{
    add("a", 2 * Megabyte, begin);
    add("b", Megabyte, begin);
    CHECK(account.heldBytes() == 3 * Megabyte);
    callers.erase(callers.begin());
    CHECK(account.heldBytes() == Megabyte);
    callers.front()->holder.resize(10);
    CHECK(account.heldBytes() == 10);
    callers.clear();
    CHECK(account.heldBytes() == 0);
    CHECK(add("c", 6 * Megabyte, begin).holder.bytes() == 6 * Megabyte);
}

TEST_CASE_METHOD(AccountFixture, "A holder that doesn't fit keeps what it has while others make progress", "[memory]")
{
    add("a", 3 * Megabyte, begin);
    Caller &requester = add("b", 2 * Megabyte, begin);
    const Instant now = begin + MemoryAccount::MinRequestStall - Milliseconds(1);
    CHECK_FALSE(requester.holder.tryResize(4 * Megabyte, now));
    CHECK(requester.holder.bytes() == 2 * Megabyte);
    CHECK(evicted.empty());
    CHECK(requester.holder.tryResize(3 * Megabyte, now));
}

TEST_CASE_METHOD(AccountFixture, "Incomplete requests without progress for longest are closed first, the largest among equals", "[memory]")
{
    add("long small", 70 * Kilobyte, begin);
    add("short", 2 * Megabyte, begin + Milliseconds(1500));
    add("long large", Megabyte, begin + Milliseconds(10));
    add("fresh", Megabyte, begin + Milliseconds(1950));
    Caller &requester = add("requester", 100, begin + Milliseconds(2100));
    CHECK(requester.holder.tryResize(2 * Megabyte + 900 * Kilobyte, begin + Milliseconds(2100)));
    CHECK(evicted == std::vector<std::string>{"long large"});
    CHECK(requester.holder.tryResize(3 * Megabyte, begin + Milliseconds(2100)));
    CHECK(evicted == std::vector<std::string>{"long large", "long small"});
    CHECK(requester.holder.tryResize(4 * Megabyte, begin + Milliseconds(2100)));
    CHECK(evicted == std::vector<std::string>{"long large", "long small", "short"});
    CHECK(account.evictionCount() == 3);
    CHECK_FALSE(requester.holder.tryResize(5 * Megabyte + 900 * Kilobyte, begin + Milliseconds(2100)));
    CHECK(requester.holder.bytes() == 4 * Megabyte);
}

TEST_CASE_METHOD(AccountFixture, "Unread responses are cut off only after incomplete requests, and only after a longer stall", "[memory]")
{
    add("unread", 3 * Megabyte, begin, Eviction::UnreadResponse);
    add("incomplete", 2 * Megabyte, begin + Milliseconds(1000));
    Caller &requester = add("requester", 100, begin);
    const Instant early = begin + MemoryAccount::MinResponseStall - Milliseconds(1);
    CHECK(requester.holder.tryResize(2 * Megabyte, early));
    CHECK(evicted == std::vector<std::string>{"incomplete"});
    CHECK_FALSE(requester.holder.tryResize(4 * Megabyte, early));
    CHECK(requester.holder.tryResize(4 * Megabyte, begin + MemoryAccount::MinResponseStall));
    CHECK(evicted == std::vector<std::string>{"incomplete", "unread"});
}

// Without a limit for them, bodies that stop short of their end would keep out requests of ordinary size.
TEST_CASE_METHOD(AccountFixture, "Large holders leave room for small ones", "[memory]")
{
    add("large", 6 * Megabyte, begin);
    Caller &large = add("larger", 100, begin);
    CHECK_FALSE(large.holder.tryResize(MemoryAccount::SmallBytes + 1, begin));
    int small = 0;
    while (small < 100) {
        callers.push_back(std::make_unique<Caller>(account, "small", evicted));
        if (!callers.back()->holder.tryResize(MemoryAccount::SmallBytes, begin)) {
            break;
        }
        ++small;
    }
    CHECK(small == 31);
    CHECK(account.heldBytes() <= account.maxBytes());
    CHECK(evicted.empty());
}

TEST_CASE_METHOD(AccountFixture, "Small holders aren't closed where only large ones are short of room", "[memory]")
{
    add("large", 5 * Megabyte, begin + Milliseconds(500));
    add("small", 10 * Kilobyte, begin);
    Caller &requester = add("requester", 100, begin);
    CHECK(requester.holder.tryResize(2 * Megabyte, begin + Milliseconds(1000)));
    CHECK(evicted == std::vector<std::string>{"large"});
}

TEST_CASE_METHOD(AccountFixture, "Nobody is closed for a request that can never fit", "[memory]")
{
    add("stalled", 5 * Megabyte, begin);
    Caller &requester = add("requester", 100, begin);
    CHECK(requester.holder.maxBytes() == 6 * Megabyte);
    CHECK_FALSE(requester.holder.tryResize(7 * Megabyte, begin + std::chrono::seconds(10)));
    CHECK(evicted.empty());
}

TEST_CASE_METHOD(AccountFixture, "Single bytes now and then are no progress", "[memory]")
{
    Caller &trickling = add("trickling", 3 * Megabyte, begin);
    Caller &steady = add("steady", 3 * Megabyte, begin);
    for (int n = 1; n <= 10; ++n) {
        trickling.holder.noteProgress(1, begin + n * Milliseconds(100));
        steady.holder.noteProgress(600, begin + n * Milliseconds(100));
    }
    Caller &requester = add("requester", 100, begin);
    CHECK(requester.holder.tryResize(Megabyte, begin + Milliseconds(1000)));
    CHECK(evicted == std::vector<std::string>{"trickling"});
}

TEST_CASE("Without an account nothing is limited", "[memory]")
{
    MemoryHolder holder(nullptr);
    CHECK(holder.tryResize(1000 * Megabyte, Instant()));
    holder.setEviction(Eviction::IncompleteRequest, Instant());
    CHECK(holder.bytes() == 1000 * Megabyte);
}

// The load of the trial: callers at random steps of bodies of legal size, most of which stop short of their end.
TEST_CASE("An account is never exceeded by callers that grow and stop at random", "[memory]")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        MemoryAccount account(32 * Megabyte);
        std::vector<std::string> evicted;
        std::vector<std::unique_ptr<Caller>> callers;
        Instant now = Instant() + std::chrono::hours(1);
        int grown = 0;
        for (int step = 0; step < 3000; ++step) {
            now += Milliseconds(random() % 20);
            if (callers.size() < 250) {
                callers.push_back(std::make_unique<Caller>(account, "c", evicted));
                callers.back()->holder.setEviction(Eviction::IncompleteRequest, now);
            }
            Caller &caller = *callers[random() % callers.size()];
            const std::size_t bytes = caller.holder.bytes();
            if (bytes < 4 * Megabyte && caller.holder.tryResize(std::max(bytes * 2, Kilobyte), now)) {
                caller.holder.noteProgress(bytes, now);
                ++grown;
            } else {
                caller.holder.resize(0);
            }
            std::size_t sum = 0;
            for (const auto &it : callers) {
                sum += it->holder.bytes();
            }
            REQUIRE(account.heldBytes() == sum);
            REQUIRE(account.heldBytes() <= account.maxBytes());
        }
        CHECK(grown > 1000);
    }
}

TEST_CASE("A buffer grows to twice its capacity, but not beyond what it may hold", "[memory]")
{
    std::string buffer;
    constexpr std::size_t MaxBytes = 3 * Megabyte + 17;
    const std::string piece(8000, 'p');
    while (buffer.size() + piece.size() <= MaxBytes) {
        const std::size_t before = buffer.capacity();
        const std::size_t capacity = grownCapacity(before, buffer.size() + piece.size(), MaxBytes);
        appendGrown(buffer, piece, capacity);
        REQUIRE(buffer.capacity() == capacity);
        REQUIRE(capacity <= MaxBytes);
        REQUIRE((capacity == before || capacity == MaxBytes || capacity >= 2 * before));
    }
    CHECK(std::count(buffer.begin(), buffer.end(), 'p') == static_cast<std::ptrdiff_t>(buffer.size()));
}

TEST_CASE("A write queue keeps bytes in order and joins short pieces", "[memory]")
{
    WriteQueue queue;
    std::string expected;
    for (int n = 0; n < 20000; ++n) {
        const std::string event = fmt::format("event {}\n", n);
        expected += event;
        queue.push(event);
    }
    CHECK(queue.size() == expected.size());
    CHECK(queue.heldBytes() < 3 * expected.size());
    std::string written;
    std::size_t step = 0;
    while (!queue.isEmpty()) {
        const std::string_view front = queue.front();
        const std::size_t n = std::min(front.size(), ++step);
        written += front.substr(0, n);
        queue.removeWritten(n);
    }
    CHECK(written == expected);
    CHECK(queue.size() == 0);
    CHECK(queue.heldBytes() == 0);
}

// The first piece may be in the middle of being written.
TEST_CASE("A write queue doesn't change the piece in front", "[memory]")
{
    WriteQueue queue;
    queue.push("first");
    const std::string_view front = queue.front();
    for (int n = 0; n < 100; ++n) {
        queue.push("more");
    }
    CHECK(queue.front().data() == front.data());
    CHECK(queue.front() == "first");
}

TEST_CASE("Responses in progress count toward the account, also those within the guaranteed size", "[memory]")
{
    MemoryAccount account(200 * Kilobyte);
    BufferQuota quota(8 * Megabyte, account);
    std::vector<std::unique_ptr<BufferedBytes>> responses;
    std::vector<std::string> buffers(10);
    int accepted = 0;
    for (std::string &buffer : buffers) {
        responses.push_back(std::make_unique<BufferedBytes>(quota));
        accepted += responses.back()->tryAppend(buffer, std::string(60 * Kilobyte, 'r')) ? 1 : 0;
    }
    CHECK(accepted == 3);
    CHECK(buffers.back().empty());
    CHECK(account.heldBytes() <= account.maxBytes());
    responses.clear();
    CHECK(account.heldBytes() == 0);
}

TEST_CASE("A forwarded body is shared, and counts until its last user has released it", "[memory]")
{
    MemoryAccount account(8 * Megabyte);
    const auto hold = [&](std::size_t bytes) {
        auto holder = std::make_shared<MemoryHolder>(&account);
        REQUIRE(holder->tryResize(bytes, Instant()));
        return holder;
    };
    ForwardedBody body;
    REQUIRE(body.set("said", hold(Megabyte), false));
    REQUIRE(body.prependHistory("before "));
    auto sent = body.bytes();
    CHECK(*sent == "before said");
    CHECK(sent == body.bytes());
    CHECK(body.takeInput() == "said");
    body.clear();
    CHECK(account.heldBytes() > Megabyte);
    sent.reset();
    CHECK(account.heldBytes() == 0);
    ForwardedBody recorded;
    CHECK_FALSE(recorded.set(std::string(2 * Megabyte, 'r'), hold(2 * Megabyte), true));
    CHECK(account.heldBytes() == 0);
    CHECK(recorded.set(std::string(Megabyte, 'r'), hold(Megabyte), true));
    CHECK(account.heldBytes() == 5 * Megabyte);
    CHECK(recorded.takeInput().size() == Megabyte);
}

// Inserting a short history into a large body doubled its capacity, of which the account didn't know.
TEST_CASE("A short history takes up no more than its size", "[memory]")
{
    MemoryAccount account(8 * Megabyte);
    auto holder = std::make_shared<MemoryHolder>(&account);
    std::string input(Megabyte, 'i');
    REQUIRE(holder->tryResize(input.capacity(), Instant()));
    ForwardedBody body;
    REQUIRE(body.set(std::move(input), std::move(holder), false));
    REQUIRE(body.prependHistory("before "));
    CHECK(body.bytes()->capacity() <= account.heldBytes());
}

TEST_CASE("The connection that has been idle longest is closed when descriptors are short", "[memory]")
{
    const Instant now = Instant() + std::chrono::hours(1);
    const ConnectionActivity busy{State::Other, now - std::chrono::minutes(5)};
    const ConnectionActivity idle{State::Idle, now - Milliseconds(4000)};
    const ConnectionActivity idleLonger{State::Idle, now - Milliseconds(9000)};
    const ConnectionActivity stopped{State::ReceivingRequest, now - Milliseconds(20000)};
    const ConnectionActivity stoppedShortly{State::ReceivingRequest, now - Milliseconds(900)};
    const ConnectionActivity justIdle{State::Idle, now - Milliseconds(50)};
    CHECK(chooseConnectionToClose({busy, idle, idleLonger, stopped}, now) == 2u);
    CHECK(chooseConnectionToClose({busy, stoppedShortly, stopped}, now) == 2u);
    CHECK(chooseConnectionToClose({busy, justIdle, stopped}, now) == 2u);
    CHECK_FALSE(chooseConnectionToClose({busy, justIdle, stoppedShortly}, now).has_value());
    CHECK_FALSE(chooseConnectionToClose({}, now).has_value());
}

TEST_CASE("A part of the descriptors is left to endpoints, peers and files", "[memory]")
{
    CHECK(callerDescriptors(0) == 0);
    CHECK(callerDescriptors(100) == 50);
    CHECK(callerDescriptors(160) == 96);
    CHECK(callerDescriptors(1024) == 768);
    CHECK(callerDescriptors(8192) == 7680);
}

// Each field takes up several times its bytes, and trailer fields, which nobody uses, came on top of the head's.
TEST_CASE("A parser counts the fields of a head and drops those of a trailer", "[memory]")
{
    MessageParser parser(MessageParser::Kind::Requests);
    std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n";
    for (int n = 0; n < 1000; ++n) {
        text += "a:b\r\n";
    }
    text += "\r\n1\r\nx\r\n0\r\n";
    for (int n = 0; n < 1000; ++n) {
        text += "t:u\r\n";
    }
    text += "\r\n";
    std::string_view rest = text;
    auto event = MessageParser::Event::NeedsMore;
    while (event != MessageParser::Event::Complete && event != MessageParser::Event::Error && !rest.empty()) {
        event = parser.feed(rest);
    }
    CHECK(event == MessageParser::Event::Complete);
    CHECK(parser.head().fields.all().size() == 1001);
    CHECK(parser.heldBytes() > 1000 * sizeof(HeaderField));
}

#include "core/boundedqueue.h"
#include "core/error.h"
#include "core/eventloop.h"
#include "core/metrics.h"
#include "core/settingsreader.h"
#include "core/timerservice.h"
#include "http/eventsplitter.h"
#include "settings/instancesettings.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

using namespace flamingo;

namespace
{
std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}
} // namespace

TEST_CASE("The error table has one row per kind, in the order of the kinds, with unique names and exit codes")
{
    std::set<std::string> names;
    std::set<int> exitCodes;
    const auto &table = errorTable();
    for (std::size_t n = 0; n < table.size(); ++n) {
        REQUIRE(static_cast<std::size_t>(table[n].kind) == n);
        REQUIRE(names.insert(table[n].name).second);
        REQUIRE(exitCodes.insert(table[n].exitCode).second);
        REQUIRE(errorKindFromName(table[n].name) == table[n].kind);
    }
    REQUIRE(static_cast<std::size_t>(ErrorKind::TicketUndecided) + 1 == table.size());
}

TEST_CASE("The documentation of errors lists every row of the error table")
{
    const std::string page = readFile(std::string(SOURCE_FOLDER) + "/docs/errors.md");
    for (const ErrorInfo &info : errorTable()) {
        const std::string row = fmt::format("| {} | {} | {} | {} | {} |",
                                            info.name,
                                            info.httpStatus,
                                            info.exitCode,
                                            runStateName(info.runState),
                                            info.retry == RetryAdvice::Helps ? "helps" : "useless");
        INFO(row);
        REQUIRE(page.find(row) != std::string::npos);
    }
}

TEST_CASE("Problems with settings name the file, the line and what was expected")
{
    const std::string path = "settingstest.toml";
    std::ofstream(path) << "[a]\nport = \"localhost:80\"\ntime = \"5 parsecs\"\nstrange = 1\n";
    SettingsReader reader(path);
    (void)reader.address("a.port");
    (void)reader.duration("a.time", Milliseconds(1));
    (void)reader.string("a.missing");
    const auto problems = reader.problems();
    REQUIRE(problems.size() == 4);
    REQUIRE(problems[0].find("settingstest.toml:2: a.port: expected an IP address") != std::string::npos);
    REQUIRE(problems[1].find("settingstest.toml:3: a.time") != std::string::npos);
    REQUIRE(problems[2].find("a.missing") != std::string::npos);
    REQUIRE(problems[3].find("settingstest.toml:4: a.strange") != std::string::npos);

    SettingsReader second(path);
    (void)second.string("a.port");
    (void)second.string("a.time");
    const auto unknown = second.problems();
    REQUIRE(unknown.size() == 1);
    REQUIRE(unknown[0].find("settingstest.toml:4: a.strange") != std::string::npos);
    std::remove(path.c_str());
}

TEST_CASE("Timers run when they are due, in order, and can be cancelled")
{
    TimerService timers;
    const Instant start{};
    std::string order;
    timers.at(start + Milliseconds(20), [&](Instant) { order += 'b'; });
    timers.at(start + Milliseconds(10), [&](Instant) { order += 'a'; });
    const auto cancelled = timers.at(start + Milliseconds(15), [&](Instant) { order += 'x'; });
    timers.cancel(cancelled);
    const auto periodic = timers.every(start, Milliseconds(30), [&](Instant) { order += 'p'; });
    REQUIRE(timers.nextDue(start) == start + Milliseconds(10));
    timers.advance(start + Milliseconds(25));
    REQUIRE(order == "ab");
    timers.advance(start + Milliseconds(30));
    timers.advance(start + Milliseconds(60));
    timers.cancel(periodic);
    timers.advance(start + Milliseconds(200));
    REQUIRE(order == "abpp");
}

TEST_CASE("A bounded queue rejects items above a given limit before it is full")
{
    BoundedQueue<int> queue(4);
    REQUIRE(queue.tryPush(1, 2));
    REQUIRE(queue.tryPush(2, 2));
    REQUIRE_FALSE(queue.tryPush(3, 2));
    queue.push(3);
    REQUIRE(queue.popUntil(Instant{}) == 1);
    REQUIRE(queue.popUntil(Instant{}) == 2);
    REQUIRE(queue.popUntil(Instant{}) == 3);
    REQUIRE_FALSE(queue.popUntil(Instant{}));
}

TEST_CASE("Every error kind has a refusal counter from the start")
{
    Metrics metrics;
    metrics.addRefusal(ErrorKind::Overloaded);
    metrics.observe("test_milliseconds", 12);
    const std::string page = metrics.render();
    REQUIRE(page.find("flamingo_refusals_total{kind=\"overloaded\"} 1\n") != std::string::npos);
    REQUIRE(page.find("flamingo_refusals_total{kind=\"not-owner\"} 0\n") != std::string::npos);
    REQUIRE(page.find("test_milliseconds_count 1\n") != std::string::npos);
}

TEST_CASE("Server-sent events are parsed when the stream is split at any byte")
{
    const std::string stream = "data: one\n\n: comment\n\ndata: two\r\n\r\n";
    EventSplitter events;
    std::string got;
    for (const char c : stream) {
        for (const StreamEvent &event : events.feed(std::string(1, c))) {
            got += event.data.empty() ? "" : event.data + ";";
        }
    }
    REQUIRE(got == "one;two;");
}

// Guards against timers that wait until all sockets are idle.
TEST_CASE("Timers run in time though there is always a handler to run", "[core]")
{
    constexpr Milliseconds TimerDelay{20};
    constexpr Milliseconds BusyTime{1000};
    constexpr Milliseconds Tolerance{300};
    EventLoop loop;
    const Instant start = std::chrono::steady_clock::now();
    std::function<void()> keepBusy = [&] {
        if (std::chrono::steady_clock::now() < start + BusyTime) {
            asio::post(loop.context(), keepBusy);
        }
    };
    asio::post(loop.context(), keepBusy);
    Instant ranAt;
    loop.timers().at(start + TimerDelay, [&](Instant) {
        ranAt = std::chrono::steady_clock::now();
        loop.stop();
    });
    loop.run();
    CHECK(ranAt - start < TimerDelay + Tolerance);
}

// Guards against sockets that are never served because a timer is always due.
TEST_CASE("Handlers run though there is always a timer due", "[core]")
{
    EventLoop loop;
    const Instant start = std::chrono::steady_clock::now();
    constexpr Milliseconds Limit{1000};
    bool hasRun = false;
    std::function<void(Instant)> keepDue = [&](Instant now) {
        if (hasRun || now > start + Limit) {
            loop.stop();
        }
        // The work takes longer than until the next timer.
        std::this_thread::sleep_for(Milliseconds(2));
    };
    loop.timers().every(start, Milliseconds(1), keepDue);
    loop.timers().at(start + Milliseconds(10), [&](Instant) { asio::post(loop.context(), [&] { hasRun = true; }); });
    loop.run();
    CHECK(hasRun);
}

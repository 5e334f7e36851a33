#include "platform/testinstance.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace flamingo;

namespace
{
constexpr int GraceSeconds = 8;

/// Sends requests that an instance answers by itself, so many at a time that it always has one to handle.
void keepBusy(const std::atomic<bool> &mayGoOn)
{
    constexpr std::size_t BatchSize = 200;
    const std::string request = callerRequest("/none", "busy");
    std::string batch;
    for (std::size_t n = 0; n < BatchSize; ++n) {
        batch += request;
    }
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    asio::error_code ec;
    socket.connect({asio::ip::make_address(TestInstance::address(1)), TestInstance::CallersPort}, ec);
    std::string buf(65536, 0);
    asio::write(socket, asio::buffer(request), ec);
    const std::size_t responseBytes = socket.read_some(asio::buffer(buf), ec);
    std::size_t unreadBytes = 0;
    // The next batch is sent before the last one is answered.
    while (mayGoOn && !ec) {
        asio::write(socket, asio::buffer(batch), ec);
        unreadBytes += BatchSize * responseBytes;
        while (!ec && unreadBytes > BatchSize * responseBytes / 2) {
            unreadBytes -= socket.read_some(asio::buffer(buf), ec);
        }
    }
}
} // namespace

// Guards against timers that don't run while there is always something to read or write: requests outlive their deadlines, and a
// planned stop takes connections up to its end.
TEST_CASE("A request ends at its deadline, and a planned stop in time, though the instance is never idle", "[platform][stop]")
{
    constexpr int BusyCallers = 12;
    constexpr Milliseconds BusyTime{300};
    constexpr Milliseconds Tolerance{1500};
    ScriptedEndpoint silent([](ScriptedEndpoint::Connection &, const ReceivedRequest &) {});
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", silent);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    std::atomic<bool> mayGoOn{true};
    std::vector<std::thread> callers;
    for (int n = 0; n < BusyCallers; ++n) {
        callers.emplace_back([&] { keepBusy(mayGoOn); });
    }
    std::this_thread::sleep_for(BusyTime);
    CallerConnection connection = instance.connect();
    connection.send(callerRequest("/book/a", "late"));
    const CallerResponse late = connection.read(Milliseconds(3000) + Tolerance);
    CHECK(late.status == 504);
    CHECK(late.isComplete);
    CHECK(instance.process().terminate(GraceSeconds) == 0);
    mayGoOn = false;
    for (std::thread &it : callers) {
        it.join();
    }
}

#include "platform/testinstance.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <set>

using namespace flamingo;

// An endpoint that writes an earlier answer once more on a kept connection: the copy bears the id of the request, which may be sent
// again meanwhile.

namespace
{
using Connection = ScriptedEndpoint::Connection;

constexpr int Requests = 20;

/// An endpoint that first answers each request with an answer of the test's, and runs it when it comes again. Where that is on the
/// same connection, it writes a copy of the first answer before.
class RepeatingEndpoint
{
public:
    RepeatingEndpoint(int status, std::string lines)
        : m_status(status)
        , m_lines(std::move(lines))
        , endpoint([this](Connection &connection, const ReceivedRequest &request) { respond(connection, request); })
    {
    }

private:
    void respond(Connection &connection, const ReceivedRequest &request)
    {
        const std::string id = request.head.fields.value("X-Attempt-Id");
        const std::string first = ScriptedEndpoint::responseHead(request, m_lines + "Content-Length: 0\r\n", m_status);
        if (m_answered.insert(id).second) {
            m_answeredOn[&connection].insert(id);
            connection.write(first);
            return;
        }
        ++m_runs[id];
        if (m_answeredOn[&connection].count(id) != 0) {
            connection.write(first);
        }
        connection.writeLater(Milliseconds(60), ScriptedEndpoint::response(request, "ran " + id));
    }

    int m_status;
    std::string m_lines;
    std::set<std::string> m_answered;
    std::map<const Connection *, std::set<std::string>> m_answeredOn;
    std::map<std::string, int> m_runs;

public:
    int runsOf(const std::string &id) const
    {
        const auto it = m_runs.find(id);
        return it == m_runs.end() ? 0 : it->second;
    }

    ScriptedEndpoint endpoint;
};
} // namespace

// Guards against "not run, try again" for a request that an endpoint runs, and against its second run.
TEST_CASE("A copy of an earlier refusal is not taken for the answer to the next try", "[platform][repeated]")
{
    for (const int endpoints : {1, 2}) {
        std::vector<std::unique_ptr<RepeatingEndpoint>> pool;
        KvStandIn store;
        store.put("op/config", testConfiguration(1));
        for (int n = 1; n <= endpoints; ++n) {
            pool.push_back(std::make_unique<RepeatingEndpoint>(503, "X-Not-Executed: 1\r\n"));
            registerEndpoint(store, fmt::format("i-{}", n), pool.back()->endpoint);
        }
        TestInstance instance(store, 1);
        REQUIRE(instance.awaitReady());
        for (int n = 0; n < Requests; ++n) {
            const std::string id = fmt::format("q{}", n);
            const CallerResponse response = instance.send(callerRequest("/book/a", id));
            int runs = 0;
            for (const auto &it : pool) {
                runs += it->runsOf(id);
            }
            INFO(id << " of " << endpoints << " endpoints, status " << response.status);
            CHECK(runs <= 1);
            CHECK((response.status != 503 || runs == 0));
            CHECK((response.status != 200 || response.body == "ran " + id));
        }
    }
}

// Guards against the same with a copy of an error, for requests that may be repeated.
TEST_CASE("A copy of an earlier error is not taken for the answer to the next try", "[platform][repeated]")
{
    RepeatingEndpoint first(500, "");
    RepeatingEndpoint second(500, "");
    KvStandIn store;
    store.put("op/config", testConfiguration(1));
    registerEndpoint(store, "i-1", first.endpoint);
    registerEndpoint(store, "i-2", second.endpoint);
    TestInstance instance(store, 1);
    REQUIRE(instance.awaitReady());
    for (int n = 0; n < Requests; ++n) {
        const std::string id = fmt::format("q{}", n);
        const CallerResponse response = instance.send(callerRequest("/ask/a", id));
        INFO(id << " status " << response.status);
        CHECK((response.status != 200 || response.body == "ran " + id));
        CHECK(first.runsOf(id) + second.runsOf(id) <= 1);
    }
}

// Guards against bytes that belong to no request and count as the refusal of the next one, which then runs twice (review/9).
TEST_CASE("Additional bytes without an id are not taken for the answer to the next request", "[platform][repeated]")
{
    const std::vector<std::string> additional = {
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 200 OK\r\nX-Server-Signature: proof\r\nContent-Length: 5\r\n\r\nother",
        "HTTP/1.1 400 Bad Request\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    };
    for (const std::string &bytes : additional) {
        std::set<const Connection *> used;
        std::map<std::string, int> runs;
        const auto respond = [&](Connection &connection, const ReceivedRequest &request) {
            const std::string id = request.head.fields.value("X-Attempt-Id");
            ++runs[id];
            if (!used.insert(&connection).second) {
                connection.write(bytes);
            }
            connection.writeLater(Milliseconds(20), ScriptedEndpoint::response(request, "ran " + id));
        };
        const ScriptedEndpoint endpoint(respond);
        KvStandIn store;
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-0", endpoint);
        const TestInstance instance(store, 1);
        REQUIRE(instance.awaitReady());
        for (int n = 0; n < Requests; ++n) {
            const std::string id = fmt::format("x{}", n);
            const auto response = instance.send(callerRequest("/book/a", id));
            INFO(bytes << " status " << response.status << " body " << response.body);
            CHECK(response.status == 200);
            CHECK(response.body == "ran " + id);
            CHECK(runs[id] == 1);
        }
        CHECK(used.size() < Requests); // Some were sent on connections that had carried another one.
    }
}

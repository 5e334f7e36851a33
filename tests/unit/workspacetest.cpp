#include "core/codec.h"
#include "core/crypto.h"
#include "core/time.h"
#include "http/messageparser.h"
#include "instance/homeservice.h"
#include "platform/headercodec.h"
#include "platform/platformstore.h"
#include "platform/recordcodec.h"
#include "serving/admission.h"
#include "serving/configurationage.h"
#include "serving/drainschedule.h"
#include "serving/programkey.h"
#include "serving/routetable.h"
#include "serving/turncache.h"
#include "unit/inmemorybudgetstore.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace flamingo;

// Decisions about workspaces and their keys: which configurations are taken, who gets a 401, and what endpoints are told.

namespace
{
using Json = nlohmann::json;

/// A configuration with a route that needs a key and a public one, and the given tenants.
Json configurationJson(int version, const Json &tenants)
{
    Json json = Json::parse(R"({"routes":[{"name":"r","host":"h","prefix":"/a/","type":"idempotent","service":"s","priority":2},
        {"name":"p","host":"h","prefix":"/open/","type":"idempotent","service":"s","public":true}],"services":[{"name":"s"}]})");
    json["version"] = version;
    json["tenants"] = tenants;
    return json;
}

Json tenant(const std::string &name, std::vector<std::string> keys)
{
    return {{"name", name}, {"api-keys", std::move(keys)}};
}

/// Turns as the store and archives hold them, encoded.
class EncodedTurnStore : public TurnStore
{
public:
    void save(const TurnRecordPtr &turn, std::function<void(bool)> onSaved) override
    {
        turns[turn->id] = turn->encode();
        onSaved(true);
    }

    void load(const RequestId &id, std::function<void(TurnLookup)> onLoaded) override
    {
        const auto it = turns.find(id);
        const auto turn = it == turns.end() ? std::nullopt : TurnRecord::decode(id, it->second);
        onLoaded(turn ? TurnLookup{TurnLookup::Status::Found, std::make_shared<const TurnRecord>(*turn)} : TurnLookup{TurnLookup::Status::Absent, nullptr});
    }

    std::map<RequestId, std::string> turns;
};

TurnRecordPtr turnOf(const std::optional<WorkspaceId> &workspace, const std::string &id, const std::string &previous = {})
{
    TurnRecord turn;
    turn.id = RequestId(id);
    if (!previous.empty()) {
        turn.ancestors = {RequestId(previous)};
    }
    turn.input = "text";
    turn.workspace = workspace;
    return std::make_shared<const TurnRecord>(turn);
}

TurnLookup::Status statusOf(TurnCache &cache, const std::string &id, const std::optional<WorkspaceId> &workspace)
{
    TurnChain chain;
    cache.loadChain(RequestId(id), workspace, Start, [&](TurnChain it) { chain = std::move(it); });
    CHECK(chain.text.empty() == (chain.status != TurnLookup::Status::Found));
    return chain.status;
}

struct Fixture {
    explicit Fixture(const Json &tenants)
    {
        configurationAge.confirm(Start);
        install(1, tenants);
    }

    void install(int version, const Json &tenants)
    {
        auto configuration = platform::decodeConfiguration(configurationJson(version, tenants).dump());
        REQUIRE(configuration);
        routes.install(std::move(*configuration));
    }

    static RequestMetadata request(const std::string &path, const std::string &authorization)
    {
        MessageHead head;
        head.target = path;
        head.fields.add("Host", "h");
        head.fields.add("X-Attempt-Id", "t");
        if (!authorization.empty()) {
            head.fields.add("Authorization", authorization);
        }
        return platform::decodeRequest(head);
    }

    tl::expected<AdmittedRequest, Refusal> admit(const std::string &path, const std::string &authorization) const
    {
        return admission.admit(request(path, authorization), Start, Start, Start);
    }

    int statusOf(const std::string &path, const std::string &authorization) const
    {
        const auto admitted = admit(path, authorization);
        return admitted ? 200 : admitted.error().status;
    }

    /// The request's workspace; "-" without one, and the status if it is refused.
    std::string workspaceOf(const std::string &path, const std::string &authorization) const
    {
        const auto admitted = admit(path, authorization);
        return !admitted ? std::to_string(admitted.error().status) : admitted->workspace ? admitted->workspace->id.value() : "-";
    }

    RouteTable routes;
    DrainSchedule drainSchedule;
    ConfigurationAge configurationAge{std::nullopt};
    Admission admission{routes, drainSchedule, configurationAge};
};

std::string headerLines(const MessageHead &head)
{
    std::string lines;
    for (const HeaderField &field : head.fields.all()) {
        lines += field.name + ": " + field.value + '\n';
    }
    return lines;
}
} // namespace

// Guards against callers that are let in without a valid key, and against those that are turned away with one.
TEST_CASE("A request needs a known key, except on public routes, where a wrong one is refused as well", "[serving][workspaces]")
{
    const Fixture it(Json::array({tenant("acme", {"k1", "k2"}), tenant("birds", {"k3"})}));
    CHECK(it.workspaceOf("/a/x", "Token k1") == "acme");
    CHECK(it.workspaceOf("/a/x", "token k2") == "acme");
    CHECK(it.workspaceOf("/a/x", "TOKEN \t k3 ") == "birds");
    CHECK(it.workspaceOf("/open/x", "Token k3") == "birds");
    CHECK(it.workspaceOf("/open/x", "") == "-");
    CHECK(it.workspaceOf("/open/x", "Basic k3") == "-");
    for (const std::string authorization : {"Token k4", "Token K1", "Token", "Token k1 k2", "Token k1,k2"}) {
        INFO(authorization);
        CHECK(it.workspaceOf("/a/x", authorization) == "401");
        CHECK(it.workspaceOf("/open/x", authorization) == "401");
    }
    for (const std::string authorization : {"", "k1", "Bearer k1", "Tokenk1"}) {
        INFO(authorization);
        CHECK(it.workspaceOf("/a/x", authorization) == "401");
    }
}

// Guards against a 401, which ends a program, for a request that has another fault or is asked too early.
TEST_CASE("The key is checked once the configuration and the route are known, and before anything else", "[serving][workspaces]")
{
    const Fixture it(Json::array({tenant("acme", {"k1"})}));
    const RouteTable noRoutes;
    const Admission noConfiguration(noRoutes, it.drainSchedule, it.configurationAge);
    CHECK(noConfiguration.admit(Fixture::request("/a/x", "Token k4"), Start, Start, Start).error().status == 503);
    CHECK(it.statusOf("/other/x", "Token k4") == 404);
    RequestMetadata withoutId = Fixture::request("/a/x", "Token k4");
    withoutId.id = RequestId();
    CHECK(it.admission.admit(withoutId, Start, Start, Start).error().status == 401);
    withoutId.key = Fixture::request("/a/x", "Token k1").key;
    CHECK(it.admission.admit(withoutId, Start, Start, Start).error().status == 400);
}

// Guards against a 401, which ends a program, for a key that was added while this instance couldn't learn of it.
TEST_CASE("An unknown key gets a retry instead of a 401 where the configuration may be outdated", "[serving][workspaces]")
{
    Fixture it(Json::array({tenant("acme", {"k1"})}));
    const auto statusAfter = [&](Milliseconds age, const std::string &authorization) {
        const auto admitted = it.admission.admit(Fixture::request("/open/x", authorization), Start, Start, Start + age);
        return admitted ? 200 : admitted.error().status;
    };
    SECTION("Without a bound")
    {
        CHECK(statusAfter(Milliseconds(11000), "Token k2") == 401);
        CHECK(statusAfter(Milliseconds(60000), "Token k2") == 503);
        CHECK(statusAfter(Milliseconds(60000), "Token k1") == 200);
    }
    SECTION("With a bound")
    {
        it.configurationAge = ConfigurationAge(Milliseconds(5000));
        it.configurationAge.confirm(Start);
        CHECK(statusAfter(Milliseconds(2900), "Token k2") == 401);
        CHECK(statusAfter(Milliseconds(3100), "Token k2") == 503);
        CHECK(statusAfter(Milliseconds(3100), "Token k1") == 200);
    }
    CHECK(statusAfter(Milliseconds(60000), "") == 200);
}

// Guards against keys that stay valid, or come back, after a version without them.
TEST_CASE("Keys are replaced with the configuration's version, which never goes back", "[serving][workspaces]")
{
    Fixture it(Json::array({tenant("acme", {"k1"}), tenant("birds", {"k2"})}));
    it.install(3, Json::array({tenant("acme", {"k3"})}));
    CHECK(it.workspaceOf("/a/x", "Token k1") == "401");
    CHECK(it.workspaceOf("/a/x", "Token k2") == "401");
    CHECK(it.workspaceOf("/a/x", "Token k3") == "acme");
    it.install(2, Json::array({tenant("acme", {"k1"})}));
    CHECK(it.workspaceOf("/a/x", "Token k1") == "401");
    CHECK(it.workspaceOf("/a/x", "Token k3") == "acme");
    it.install(4, Json::array());
    CHECK(it.workspaceOf("/a/x", "Token k3") == "401");
    CHECK(it.workspaceOf("/open/x", "") == "-");
}

// Guards against one wrong entry that keeps a new version from coming into force, and against a 401 for one of its keys.
TEST_CASE("A workspace that can't be decoded gets a retry instead of a 401, and the others are served", "[serving][workspaces]")
{
    const Json good = tenant("acme", {"k1"});
    std::vector<Json> malformed = {Json("text"), Json::object(), tenant("", {"k2"}), tenant(" x", {"k2"}), tenant("a\nb", {"k2"}), tenant("x", {""}), good};
    for (const Json &change : {Json{{"api-keys", "k2"}},
                               Json{{"api-keys", {1}}},
                               Json{{"name", 7}},
                               Json{{"rate-per-s", "many"}},
                               Json{{"burst", -1}},
                               Json{{"priority", "first"}}}) {
        malformed.push_back(tenant("x", {"k2"}));
        malformed.back().update(change);
    }
    for (const Json &entry : malformed) {
        INFO(entry.dump());
        const Fixture it(Json::array({good, entry}));
        CHECK(it.workspaceOf("/a/x", "Token k1") == "acme");
        CHECK(it.workspaceOf("/a/x", "Token k2") == "503");
        CHECK(it.admit("/a/x", "Token k2").error().retryAfter);
        CHECK(it.workspaceOf("/a/x", "") == "401");
    }
    // A list is all that is known of the shape of the workspaces.
    CHECK_FALSE(platform::decodeConfiguration(configurationJson(1, Json::object()).dump()));
    CHECK_FALSE(platform::decodeConfiguration(configurationJson(1, 3).dump()));
}

// Guards against requests that run for the wrong one of two workspaces.
TEST_CASE("A key that two workspaces list belongs to neither", "[serving][workspaces]")
{
    const Fixture it(Json::array({tenant("acme", {"k1", "k2", "k2"}), tenant("birds", {"k3", "k1"}), tenant("crows", {"k1"})}));
    CHECK(it.workspaceOf("/a/x", "Token k1") == "503");
    CHECK(it.workspaceOf("/a/x", "Token k2") == "acme");
    CHECK(it.workspaceOf("/a/x", "Token k3") == "birds");
}

TEST_CASE("A workspace's quota and priority are read, and its priority goes before the route's", "[serving][workspaces]")
{
    Json limited = tenant("acme", {"k1"});
    limited.update({{"rate-per-s", 2.5}, {"burst", 10}, {"priority", 0}});
    Json unlimited = tenant("birds", {"k2"});
    unlimited.update({{"rate-per-s", nullptr}, {"priority", nullptr}});
    const Fixture it(Json::array({limited, unlimited}));
    const AdmittedRequest acme = it.admit("/a/x", "Token k1").value();
    CHECK(acme.workspace->requestsPerSecond == 2.5);
    CHECK(acme.workspace->burst == 10);
    CHECK(acme.priority == 0);
    const AdmittedRequest birds = it.admit("/a/x", "Token k2").value();
    CHECK(birds.workspace->requestsPerSecond == 0);
    CHECK(birds.priority == 2);
}

// Guards against keys that endpoints or other workspaces get to see, and against callers that choose their workspace.
TEST_CASE("The endpoint is told the workspace by the system alone, and never gets the key", "[serving][workspaces]")
{
    MessageHead head;
    head.fields.add("authorization", "Token k1");
    head.fields.add("Authorization", "Token k2");
    head.fields.add("x-tenant", "birds");
    head.fields.add("X-Tenant", "crows");
    head.fields.add("Connection", "X-Tenant");
    platform::AttemptMetadata attempt;
    const std::string before = headerLines(platform::encodeRequest(head, attempt));
    CHECK(before.find("Token k1") != std::string::npos);
    attempt.hidesCredentials = true;
    const std::string onPublicRoute = headerLines(platform::encodeRequest(head, attempt));
    CHECK(onPublicRoute.find("Token") == std::string::npos);
    CHECK(onPublicRoute.find("birds") == std::string::npos);
    CHECK(onPublicRoute.find("crows") == std::string::npos);
    attempt.workspace = WorkspaceId("acme");
    const MessageHead sent = platform::encodeRequest(head, attempt);
    CHECK(sent.fields.value("X-Tenant") == "acme");
    CHECK(headerLines(sent).find("birds") == std::string::npos);
    CHECK(headerLines(sent).find("Token") == std::string::npos);
}

// Guards against a deployment without workspaces that is served otherwise than before.
TEST_CASE("Without workspaces keys are ignored, and both headers are passed on", "[serving][workspaces]")
{
    const Fixture it(nullptr);
    for (const std::string authorization : {"", "Token k1", "Basic x"}) {
        CHECK(it.workspaceOf("/a/x", authorization) == "-");
        CHECK_FALSE(it.admit("/a/x", authorization)->hidesCredentials);
    }
    MessageHead head;
    head.fields.add("Authorization", "Token k1");
    head.fields.add("X-Tenant", "birds");
    const MessageHead sent = platform::encodeRequest(head, {});
    CHECK(sent.fields.value("Authorization") == "Token k1");
    CHECK(sent.fields.value("X-Tenant") == "birds");
}

TEST_CASE("Only the digest of a key is kept", "[serving][workspaces]")
{
    const auto configuration = platform::decodeConfiguration(configurationJson(1, Json::array({tenant("acme", {"k1"})})).dump());
    REQUIRE(configuration);
    CHECK(configuration->workspaces->entries.at(0).keys == std::vector<KeyDigest>{KeyDigest(sha256Hex("k1"))});
    CHECK(Fixture::request("/a/x", "Token k1").key == KeyDigest(sha256Hex("k1")));
}

// Guards against keys in log lines: the text of a parse error quotes the input, which for a listing of the configuration contains them.
TEST_CASE("A response of the store that breaks off inside a configuration isn't quoted", "[serving][workspaces]")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    const std::string body = R"({"items":[{"key":"op/config","data":"c2VjcmV0)";
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::optional<asio::ip::tcp::socket> peer;
    std::string received;
    acceptor.async_accept([&](const asio::error_code &, asio::ip::tcp::socket socket) {
        peer.emplace(std::move(socket));
        asio::async_read_until(
            *peer, asio::dynamic_buffer(received), "\r\n\r\n", [&](const asio::error_code &, std::size_t) { asio::write(*peer, asio::buffer(response)); });
    });
    Metrics metrics;
    platform::PlatformStore store(context, {"127.0.0.1", acceptor.local_endpoint().port()}, metrics);
    std::optional<platform::StoreFailure> failure;
    store.list(platform::OperatorPrefix, {}, [&](const tl::expected<platform::StorePage, platform::StoreFailure> &page) { failure = page.error(); });
    const Instant end = std::chrono::steady_clock::now() + Milliseconds(5000);
    while (!failure && std::chrono::steady_clock::now() < end) {
        context.run_for(Milliseconds(10));
    }
    REQUIRE(failure);
    CHECK(failure->kind == platform::StoreFailure::Kind::Unknown);
    CHECK(failure->detail.find("byte") != std::string::npos);
    CHECK(failure->detail.find("c2VjcmV0") == std::string::npos);
}

// Guards against workspaces that use up each other's budgets, or name each other's programs.
TEST_CASE("Programs of different workspaces differ, also with the same id, and are as before without workspaces", "[serving][workspaces]")
{
    const Workspace acme{WorkspaceId("acme"), std::nullopt, 0, 0};
    const Workspace birds{WorkspaceId("birds"), std::nullopt, 0, 0};
    RequestMetadata request;
    request.id = RequestId("t");
    CHECK(programKey(request, std::nullopt) == ProgramId("t"));
    request.affinityKey = "object";
    CHECK(programKey(request, std::nullopt) == ProgramId("object"));
    CHECK(programKey(request, acme) == programKey(request, birds));
    request.promptTokens = Tokens(3);
    CHECK(programKey(request, acme) != programKey(request, birds));
    request.program = ProgramId("p");
    CHECK(programKey(request, std::nullopt) == ProgramId("p"));
    CHECK(programKey(request, acme) != programKey(request, birds));
    CHECK(programKey(request, acme) != programKey(request, std::nullopt));
}

// Guards against a caller without a key that names the program of a workspace by the key under which it is kept.
TEST_CASE("No header field can hold the key of another workspace's program", "[serving][workspaces]")
{
    RequestMetadata request;
    request.program = ProgramId("p");
    const std::string key = programKey(request, Workspace{WorkspaceId("acme"), std::nullopt, 0, 0}).value();
    MessageParser parser(MessageParser::Kind::Requests);
    const std::string bytes = "GET /open/x HTTP/1.1\r\nX-Program-Id: " + key + "\r\n\r\n";
    std::string_view rest = bytes;
    CHECK(parser.feed(rest) == MessageParser::Event::Error);
}

// Guards against a workspace that reads another one's history by naming its turn.
TEST_CASE("A turn exists for its own workspace only, cached or stored", "[serving][workspaces]")
{
    const std::vector<std::optional<WorkspaceId>> workspaces = {WorkspaceId("acme"), WorkspaceId("birds"), std::nullopt};
    for (const bool isCached : {true, false}) {
        for (const auto &owner : workspaces) {
            EncodedTurnStore store;
            TurnCache cache(store, isCached ? 100000 : 0);
            store.save(turnOf(owner, "a"), [](bool) {});
            store.save(turnOf(owner, "b", "a"), [](bool) {});
            if (isCached) {
                cache.add(turnOf(owner, "a"), Start);
                cache.add(turnOf(owner, "b", "a"), Start);
                store.turns.clear();
            }
            for (const auto &caller : workspaces) {
                INFO((owner ? owner->value() : "none") << ' ' << (caller ? caller->value() : "none") << ' ' << isCached);
                CHECK((statusOf(cache, "b", caller) == TurnLookup::Status::Found) == (caller == owner));
                CHECK((statusOf(cache, "b", caller) == TurnLookup::Status::Absent) == (caller != owner));
            }
        }
    }
}

// Guards against a workspace that continues from a turn whose id another one uses later.
TEST_CASE("A history with an earlier turn of another workspace is absent", "[serving][workspaces]")
{
    EncodedTurnStore store;
    TurnCache cache(store, 0);
    store.save(turnOf(WorkspaceId("birds"), "b", "a"), [](bool) {});
    store.save(turnOf(WorkspaceId("acme"), "a"), [](bool) {});
    CHECK(statusOf(cache, "b", WorkspaceId("birds")) == TurnLookup::Status::Absent);
}

// Guards against records of earlier versions that can't be decoded any more, or that a workspace takes over.
TEST_CASE("A turn's record without a workspace is as before and belongs to none", "[serving][workspaces]")
{
    const auto record = fromCbor(turnOf(std::nullopt, "a")->encode());
    REQUIRE(record);
    CHECK_FALSE(record->contains("workspace"));
    CHECK_FALSE(TurnRecord::decode(RequestId("a"), toCbor(*record))->workspace);
    CHECK(TurnRecord::decode(RequestId("a"), turnOf(WorkspaceId("acme"), "a")->encode())->workspace == WorkspaceId("acme"));
}

// Guards against a home that doesn't learn from which workspace a turn comes.
TEST_CASE("A home is told the caller's workspace", "[serving][workspaces]")
{
    BeginTurnRequest request;
    request.program = ProgramId("p");
    request.previousTurn = RequestId("a");
    CHECK_FALSE(BeginTurnRequest::decode(request.encode())->workspace);
    request.workspace = WorkspaceId("acme");
    CHECK(BeginTurnRequest::decode(request.encode())->workspace == request.workspace);
}

// Guards against work that loses its place, since it is taken for the beginning of a program.
TEST_CASE("A request that names the turn before, resumes a stream or is a program's tool call continues a program", "[serving][workspaces]")
{
    RequestMetadata request;
    CHECK_FALSE(request.continuesProgram());
    request.program = ProgramId("p");
    CHECK(request.continuesProgram());
    request.promptTokens = Tokens(10);
    CHECK_FALSE(request.continuesProgram());
    request.previousTurn = RequestId("t");
    CHECK(request.continuesProgram());
    request.previousTurn.reset();
    request.lastEventId = "3";
    CHECK(request.continuesProgram());
}

#include "core/percentcoding.h"
#include "http/eventsplitter.h"
#include "http/messageparser.h"
#include "instance/homeservice.h"
#include "instance/registrymessages.h"
#include "journal/journalentry.h"
#include "membership/memberinfo.h"
#include "peerlink/messages.h"
#include "persistence/splitrecord.h"
#include "persistence/storedid.h"
#include "persistence/turnindex.h"
#include "platform/headercodec.h"
#include "platform/recordcodec.h"
#include "serving/archivemessages.h"
#include "serving/budgetledger.h"
#include "serving/cleanshutdownmarker.h"
#include "serving/memberdirectory.h"
#include "serving/originmessages.h"
#include "serving/quotamessages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <random>

using namespace flamingo;

// Bytes from outside never end a process: no decoder throws, whatever it gets. FUZZ_SECONDS and FUZZ_SEED make it last longer and
// begin elsewhere.

namespace
{
using Json = nlohmann::json;

struct Decoder {
    std::string name;
    std::string sample; ///< A valid message.
    std::function<void(const std::string &bytes)> decode;
};

Json sampleConfiguration()
{
    return Json::parse(R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/a/","type":"streaming","timeout-ms":10.5,"slo-ms":2,"target-gap-ms":3,
        "priority":1,"max-attempts":2,"resumable":true,"stateful":true,"sticky":true,"retention-s":60.0,"split":[{"service":"s","weight":2}]},
        {"name":"q","host":"h","prefix":"/b/","type":"idempotent","service":"s"}],
        "services":[{"name":"s","health-path":"/h","max-conns":3,"backend":{"slots":2,"chunk-tokens":4}}],
        "limits":{"max-header-bytes":1,"max-body-bytes":2,"header-timeout-ms":3,"idle-timeout-ms":4},
        "tenants":[{"name":"w","api-keys":["k"],"priority":1,"rate-per-s":2.5,"burst":3}]})");
}

std::vector<Decoder> decoders()
{
    const Json endpoint = {{"service", "s"}, {"address", "1.2.3.4:5"}, {"zone", "z"}, {"slots", 4}, {"state", "ready"}, {"born", 12}};
    const MemberRecord member{InstanceId("i"), DomainId("d"), SocketAddress{"1.2.3.4", 5}, IncarnationId("i:1")};
    BudgetRecord budget;
    budget.budget = Tokens(100);
    budget.granted[IncarnationId("i:1")] = Tokens(7);
    TurnIndex index;
    index.writer = IncarnationId("i:1");
    index.turns = index.conversations = {StoredId("t")};
    index.parts = {1};
    TurnRecord turn;
    turn.id = RequestId("t");
    turn.ancestors = {RequestId("a")};
    turn.input = "in";
    turn.workspace = WorkspaceId("w");
    BeginTurnRequest begin;
    begin.previousTurn = RequestId("a");
    begin.budget = Tokens(3);
    begin.workspace = WorkspaceId("w");
    BeginTurnResponse begun;
    begun.history.sinceRenewal = Milliseconds(3);
    begun.cachedPrefix = CachedPrefix{EndpointId("e"), Tokens(2)};
    const EndTurnRequest end{ProgramId("p"), SessionId("s"), Tokens(1), Tokens(1), std::nullopt, std::make_shared<TurnRecord>(turn)};
    RegistryUpdate update;
    update.items.push_back({"servers/i", "x", 2, 2});
    JournalEntry entry;
    entry.records.push_back(Json::array({1, {{"x", 2}}}));
    GossipMessage gossip;
    return {
        {"configuration", sampleConfiguration().dump(), [](const std::string &it) { platform::decodeConfiguration(it); }},
        {"endpoint", endpoint.dump(), [](const std::string &it) { platform::decodeEndpoint("servers/i", it); }},
        {"member", member.encode(), [](const std::string &it) { MemberRecord::decode(InstanceId("i"), it); }},
        {"budget", budget.encode(), [](const std::string &it) { BudgetRecord::decode(it); }},
        {"index", index.encode(), [](const std::string &it) { TurnIndex::decode(it); }},
        {"marker", CleanShutdownMarker::now().encode(), [](const std::string &it) { CleanShutdownMarker::decode(it); }},
        {"turn", turn.encode(), [](const std::string &it) { TurnRecord::decode(RequestId("t"), it); }},
        {"split", SplitRecordHead{3}.encode(), [](const std::string &it) { SplitRecordHead::decode(it); }},
        {"keep", ArchiveKeepRequest{RequestId("t"), "r", true, {"1.2.3.4:5"}}.encode(), [](const std::string &it) { ArchiveKeepRequest::decode(it); }},
        {"forget", ArchiveForgetRequest{{RequestId("t")}}.encode(), [](const std::string &it) { ArchiveForgetRequest::decode(it); }},
        {"begin", begin.encode(), [](const std::string &it) { BeginTurnRequest::decode(it); }},
        {"begun", begun.encode(), [](const std::string &it) { BeginTurnResponse::decode(it); }},
        {"end", end.encode(), [](const std::string &it) { EndTurnRequest::decode(it); }},
        {"origin-note", OriginNote{RequestId("a"), {PoolId("p"), SoftwareVersion("v1")}}.encode(), [](const std::string &it) { OriginNote::decode(it); }},
        {"origin-query", OriginQuery{RequestId("a"), PoolId("p")}.encode(), [](const std::string &it) { OriginQuery::decode(it); }},
        {"origin-answer", OriginAnswer{}.encode(), [](const std::string &it) { OriginAnswer::decode(it); }},
        {"poll", RegistryPoll().encode(), [](const std::string &it) { RegistryPoll::decode(it); }},
        {"update", update.encode(), [](const std::string &it) { RegistryUpdate::decode(it); }},
        {"versions", RegistryVersions().encode(), [](const std::string &it) { RegistryVersions::decode(it); }},
        {"quota-request",
         QuotaLeaseRequest{IncarnationId("i:1:1"), {WorkspaceId("w"), 1}, {ConfigurationVersion(1), 2.5, 3}, 1, 2, {{7, 1}}}.encode(),
         [](const std::string &it) { QuotaLeaseRequest::decode(it); }},
        {"quota-lease", QuotaLease().encode(), [](const std::string &it) { QuotaLease::decode(it); }},
        {"quota-transfer",
         QuotaTransfer{IncarnationId("i:1:1"), IncarnationId("j:1:1"), {{{WorkspaceId("w"), 1}, {}, {{Milliseconds(5), 2}}}}}.encode(),
         [](const std::string &it) { QuotaTransfer::decode(it); }},
        {"journal", encodeEntry(entry), [](const std::string &it) { decodeEntry(it); }},
        {"gossip", encodeGossip(gossip), [](const std::string &it) { decodeGossip(it); }},
        {"peer", "[]", [](const std::string &it) { decodeMessage(it); }},
        {"events", "id: 1\ndata: x\n\n", [](const std::string &it) { EventSplitter().feed(it); }},
        {"percent", "a%20b", [](const std::string &it) { percentDecode(it); }},
    };
}

class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::size_t below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

    /// Changes some bytes, or cuts or repeats the end.
    std::string changeBytes(std::string bytes)
    {
        for (std::size_t n = below(4) + 1; n > 0 && !bytes.empty(); --n) {
            bytes[below(bytes.size())] = static_cast<char>(below(256));
        }
        switch (below(4)) {
        case 0:
            return bytes.substr(0, below(bytes.size() + 1));
        case 1:
            return bytes + bytes.substr(below(bytes.size() + 1));
        default:
            return bytes;
        }
    }

    /// Replaces a value somewhere inside by one of another type or size.
    void changeValue(Json &json)
    {
        const bool goesDeeper = json.is_structured() && !json.empty() && below(5) != 0;
        if (!goesDeeper) {
            json = oddValue();
            return;
        }
        const auto it = std::next(json.begin(), static_cast<std::ptrdiff_t>(below(json.size())));
        if (json.is_object() && below(8) == 0) {
            json.erase(it);
        } else {
            changeValue(*it);
        }
    }

private:
    Json oddValue()
    {
        Json deep = Json::array();
        for (int n = 0; n < 200; ++n) {
            deep = Json::array({std::move(deep)});
        }
        const std::vector<Json> values = {
            nullptr,
            true,
            -1,
            0,
            1e300,
            -1e300,
            std::numeric_limits<std::int64_t>::min(),
            std::numeric_limits<std::uint64_t>::max(),
            "",
            "\xff\xfe text",
            std::string(5000, 'x'),
            Json::array(),
            Json::object(),
            Json::array({1, "a", nullptr}),
            Json{{"x", 1}},
            Json::binary({1, 2, 3}),
            deep,
        };
        return values[below(values.size())];
    }

    std::mt19937_64 m_random;
};

double fuzzSeconds()
{
    constexpr double InContinuousIntegration = 3;
    const char *text = std::getenv("FUZZ_SECONDS");
    return text ? std::atof(text) : InContinuousIntegration;
}

std::uint64_t fuzzSeed()
{
    const char *text = std::getenv("FUZZ_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
}
} // namespace

TEST_CASE("No decoder throws, whatever bytes it gets", "[fuzz]")
{
    const std::vector<Decoder> all = decoders();
    Mutator mutator(fuzzSeed());
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(fuzzSeconds());
    for (std::uint64_t round = 0; std::chrono::steady_clock::now() < end; ++round) {
        for (const Decoder &it : all) {
            INFO(it.name << ", round " << round);
            REQUIRE_NOTHROW(it.decode(it.sample));
            REQUIRE_NOTHROW(it.decode(mutator.changeBytes(it.sample)));
            Json json = Json::parse(it.sample, nullptr, false);
            const bool isText = !json.is_discarded();
            json = isText ? json : Json::from_cbor(it.sample, true, false);
            if (!json.is_structured()) {
                continue;
            }
            mutator.changeValue(json);
            std::string bytes;
            if (isText) {
                bytes = json.dump(-1, ' ', false, Json::error_handler_t::replace);
            } else {
                Json::to_cbor(json, bytes);
            }
            REQUIRE_NOTHROW(it.decode(bytes));
        }
    }
}

// Guards against a stack that nested containers use up.
TEST_CASE("Containers that are nested deeply end no decoder", "[fuzz]")
{
    constexpr std::size_t Depth = 400000;
    const std::string cbor(Depth, '\x81');
    const std::string json = std::string(Depth, '[') + std::string(Depth, ']');
    for (const Decoder &it : decoders()) {
        INFO(it.name);
        REQUIRE_NOTHROW(it.decode(cbor));
        REQUIRE_NOTHROW(it.decode(json));
    }
}

TEST_CASE("No head throws, whatever its fields hold", "[fuzz]")
{
    const std::vector<std::string> names = {"X-Attempt-Id",
                                            "X-Deadline-Ms",
                                            "X-Program-Id",
                                            "X-Session-Id",
                                            "X-Program-Deadline-Ms",
                                            "X-Token-Budget",
                                            "X-Token-Usage",
                                            "X-Prompt-Prefix",
                                            "Last-Event-Id",
                                            "X-Previous-Turn",
                                            "Cookie",
                                            "X-Server-Load",
                                            "Keep-Alive",
                                            "Content-Type",
                                            "X-Not-Executed"};
    const std::vector<std::string> values = {"",
                                             "1",
                                             "-9223372036854775808",
                                             "9223372036854775807",
                                             "99999999999999999999999999",
                                             "1,2",
                                             "1,2,3,4",
                                             ",,,,",
                                             "a:1,b:2",
                                             ":",
                                             "X-Affinity-Key=;",
                                             "\xff\xfe",
                                             "timeout=99999999999999",
                                             "timeout=-1",
                                             "  1 , 2  ",
                                             std::string(9000, ',')};
    Mutator mutator(fuzzSeed());
    for (int round = 0; round < 20000; ++round) {
        MessageHead head;
        head.target = mutator.below(2) == 0 ? "/a" : "?";
        head.status = static_cast<int>(mutator.below(700));
        for (std::size_t n = mutator.below(6); n > 0; --n) {
            const std::string value = values[mutator.below(values.size())];
            head.fields.add(names[mutator.below(names.size())], mutator.below(3) == 0 ? mutator.changeBytes(value + "x") : value);
        }
        REQUIRE_NOTHROW(platform::decodeRequest(head));
        REQUIRE_NOTHROW(platform::decodeResponse(head));
    }
}

// Guards against ids that can't be written into the store, or that are written under each other's key.
TEST_CASE("Any id makes a short key of plain text, and different ids different keys", "[serving]")
{
    constexpr std::size_t MaxKeyBytes = 200;
    const std::vector<std::string> ids = {"a",
                                          "a/b",
                                          "a%2Fb",
                                          "%",
                                          "t\xff"
                                          "1",
                                          "t\xfe"
                                          "1",
                                          "",
                                          " ",
                                          "a b",
                                          "a+b",
                                          std::string(400, 'x'),
                                          std::string(401, 'x'),
                                          std::string(100, '\xff'),
                                          "%hash-"};
    std::set<std::string> keys;
    for (const std::string &id : ids) {
        const std::string key = turnPartKey(storedId(id), 9999);
        CHECK(key.size() <= MaxKeyBytes);
        CHECK(std::all_of(key.begin(), key.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; }));
        keys.insert(key);
        CHECK(percentDecode(percentEncode(id)) == id);
    }
    CHECK(keys.size() == ids.size());
    CHECK(storedId(std::string("9c41d07be2a35f68")).value() == "9c41d07be2a35f68");
    CHECK_FALSE(percentDecode("%4"));
    CHECK_FALSE(percentDecode("%zz"));
}

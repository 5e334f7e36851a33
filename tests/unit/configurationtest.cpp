#include "configuration/configurationreplica.h"
#include "unit/fakestore.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <memory>

using namespace flamingo;

namespace
{
Ticket poolTicket(std::uint64_t number, const std::string &id, bool isModel = true)
{
    const nlohmann::json object = {{"kind", "pool"}, {"id", id}, {"spec", {{"serves", isModel ? "model" : "service"}}}};
    return *parseTicket({{"ticket", number}, {"objects", {object}}});
}

JournalSettings fastJournalSettings()
{
    JournalSettings settings;
    settings.ringSize = 32;
    settings.appendsPerSecond = 1000;
    settings.appendBurst = 1000;
    settings.retryDelay = Milliseconds(10);
    return settings;
}

void runReplicas(std::vector<ConfigurationReplica *> replicas, FakeStore &store, Instant &now, int steps = 600)
{
    std::map<std::uint64_t, std::pair<ConfigurationReplica *, std::uint64_t>> operations;
    std::uint64_t lastOperation = 0;
    for (int n = 0; n < steps; ++n) {
        now += Milliseconds(3);
        for (ConfigurationReplica *replica : replicas) {
            replica->advance(now);
            for (auto operation : replica->takeOperations()) {
                operations[++lastOperation] = {replica, operation.id};
                operation.id = lastOperation;
                store.submit(operation);
            }
        }
        for (StoreReply reply : store.performNext()) {
            const auto it = operations.find(reply.id);
            if (it != operations.end()) {
                reply.id = it->second.second;
                it->second.first->onReply(reply, now);
            }
        }
    }
}
} // namespace

TEST_CASE("A malformed ticket is rejected with TicketMalformed")
{
    const auto kindOf = [](const char *text) { return parseTicket(nlohmann::json::parse(text)).error().kind; };
    REQUIRE(kindOf(R"({"ticket":0,"objects":[]})") == ErrorKind::TicketMalformed);
    REQUIRE(kindOf(R"({"ticket":1,"objects":[]})") == ErrorKind::TicketMalformed);
    REQUIRE(kindOf(R"({"ticket":1,"objects":[{"kind":"pool","id":"a","spec":{"serves":"cake"}}]})") == ErrorKind::TicketMalformed);
    REQUIRE(kindOf(R"({"ticket":1,"objects":[{"kind":"pool","id":"a","spec":{"serves":"model","colour":1}}]})") == ErrorKind::TicketMalformed);
    REQUIRE(kindOf(R"({"ticket":1,"objects":[{"kind":"hat","id":"a","spec":null}]})") == ErrorKind::TicketMalformed);
}

TEST_CASE("An older ticket is rejected, and resubmitting the applied ticket succeeds", "[promises]")
{
    Configuration configuration;
    for (const ConfigObject &object : poolTicket(5, "llm").objects) {
        REQUIRE(configuration.merge(object));
    }
    REQUIRE(configuration.validate(poolTicket(4, "llm", false)).error().kind == ErrorKind::TicketSuperseded);
    REQUIRE(configuration.validate(poolTicket(5, "llm", false)).error().kind == ErrorKind::TicketSuperseded);
    REQUIRE(configuration.validate(poolTicket(5, "llm")));
    REQUIRE(configuration.validate(poolTicket(6, "llm", false)));
    REQUIRE_FALSE(configuration.merge(poolTicket(4, "llm", false).objects[0]));
    REQUIRE(configuration.pool(PoolId("llm"))->isModel);
}

TEST_CASE("A ticket that refers to unknown objects is rejected")
{
    Configuration configuration;
    const nlohmann::json agent = {{"kind", "agent"}, {"id", "a"}, {"spec", {{"pool", "nowhere"}}}};
    const auto ticket = parseTicket({{"ticket", 1U}, {"objects", {agent}}});
    REQUIRE(configuration.validate(*ticket).error().kind == ErrorKind::TicketUnknownObject);
}

TEST_CASE("Configurations merged in any order are equal")
{
    Configuration a;
    Configuration b;
    const std::vector<Ticket> tickets{poolTicket(1, "x"), poolTicket(3, "x", false), poolTicket(2, "y"), poolTicket(9, "z")};
    for (auto it = tickets.begin(); it != tickets.end(); ++it) {
        a.merge(it->objects[0]);
    }
    for (auto it = tickets.rbegin(); it != tickets.rend(); ++it) {
        b.merge(it->objects[0]);
    }
    REQUIRE(a.bucketSums() == b.bucketSums());
    REQUIRE(a.fingerprint() == b.fingerprint());
    b.merge(poolTicket(10, "z").objects[0]);
    REQUIRE(a.fingerprint() != b.fingerprint());
}

TEST_CASE("An accepted ticket is read from the store by another replica")
{
    FakeStore store(1);
    Instant now{};
    ConfigurationReplica first(InstanceId("a"), "1", fastJournalSettings());
    first.submit(poolTicket(1, "llm"), now);
    runReplicas({&first}, store, now);
    REQUIRE(first.takeDecisions().at(0).result);
    ConfigurationReplica second(InstanceId("b"), "1", fastJournalSettings());
    second.readAll(now);
    runReplicas({&second}, store, now);
    REQUIRE(second.hasReadAll());
    REQUIRE(second.configuration().pool(PoolId("llm")) != nullptr);
}

// The watch of a starting control process reports keys before the process has read the whole configuration. The keys hold
// old and new tickets, and applying them one by one would expose an outdated object.
TEST_CASE("A starting replica never exposes an outdated ticket", "[promises]")
{
    FakeStore store(1);
    Instant now{};
    ConfigurationReplica first(InstanceId("a"), "1", fastJournalSettings());
    for (std::uint64_t number = 1; number <= 3; ++number) {
        first.submit(poolTicket(number, "llm"), now);
        runReplicas({&first}, store, now);
    }
    const std::string prefix = ConfigurationReplica::watchPrefix();
    ConfigurationReplica second(InstanceId("b"), "1", fastJournalSettings());
    const auto appliedTicket = [&] {
        const auto it = second.configuration().objects().find({ObjectKind::Pool, "llm"});
        return it == second.configuration().objects().end() ? std::uint64_t(0) : it->second.ticket.value();
    };
    const auto writtenValues = [&] {
        std::vector<StoreValue> values;
        for (const std::string &key : store.state().keys(prefix)) {
            values.push_back({key, store.state().read(key)->bytes});
        }
        return values;
    };
    for (const StoreValue &value : writtenValues()) {
        second.onKeysWritten({value});
        runReplicas({&second}, store, now, 20);
        REQUIRE((appliedTicket() == 0 || appliedTicket() == 3));
    }
    second.readAll(now);
    // A change during the read must not be missed.
    first.submit(poolTicket(4, "llm"), now);
    runReplicas({&first}, store, now);
    second.onKeysWritten(writtenValues());
    runReplicas({&second}, store, now);
    REQUIRE(second.hasReadAll());
    REQUIRE(appliedTicket() == 4);
}

TEST_CASE("A ticket fails with StoreUnavailable while the store is unreachable")
{
    StoreFaults faults;
    faults.requestLossRate = 1;
    FakeStore store(1, faults);
    Instant now{};
    ConfigurationReplica replica(InstanceId("a"), "1", fastJournalSettings());
    replica.submit(poolTicket(1, "llm"), now);
    runReplicas({&replica}, store, now, 4000);
    REQUIRE(replica.takeDecisions().at(0).result.error().kind == ErrorKind::StoreUnavailable);
    REQUIRE(replica.configuration().pool(PoolId("llm")) == nullptr);
}

// Operators change the same objects through three control processes while store calls are lost, delayed or unanswered.
// A ticket reported as accepted must not be lost: a replica that starts later reads at least the newest accepted ticket of
// each object. No replica may ever go back to an older ticket of an object.
TEST_CASE("Concurrent tickets: accepted ones are kept and no object reverts", "[promises]")
{
    const auto seed = GENERATE(range(1, 21));
    StoreFaults faults;
    faults.requestLossRate = 0.05;
    faults.replyLossRate = 0.1;
    faults.delayRate = 0.05;
    FakeStore store(static_cast<std::uint64_t>(seed), faults);
    std::mt19937 random(static_cast<unsigned>(seed));
    Instant now{};
    std::vector<std::unique_ptr<ConfigurationReplica>> replicas;
    std::vector<ConfigurationReplica *> all;
    for (const char *name : {"a", "b", "c"}) {
        replicas.push_back(std::make_unique<ConfigurationReplica>(InstanceId(name), "1", fastJournalSettings()));
        all.push_back(replicas.back().get());
    }
    std::map<std::string, std::uint64_t> accepted;
    std::map<std::pair<ConfigurationReplica *, SubmissionId>, Ticket> submitted;
    std::map<ConfigurationReplica *, std::map<std::string, std::uint64_t>> highestTicket;
    for (std::uint64_t number = 1; number <= 61; ++number) {
        ConfigurationReplica *replica = all[random() % all.size()];
        const std::uint64_t ticketNumber = number + random() % 5;
        const Ticket ticket = poolTicket(ticketNumber, "p" + std::to_string(random() % 3), random() % 2 == 0);
        submitted[{replica, replica->submit(ticket, now)}] = ticket;
        const bool isLast = number == 61;
        runReplicas(all, store, now, isLast ? 3000 : static_cast<int>(random() % 40));
        for (ConfigurationReplica *each : all) {
            for (const auto &decision : each->takeDecisions()) {
                if (decision.result) {
                    const ConfigObject &object = submitted.at({each, decision.id}).objects[0];
                    accepted[object.key.id] = std::max(accepted[object.key.id], object.ticket.value());
                }
            }
            for (const auto &[key, object] : each->configuration().objects()) {
                std::uint64_t &seen = highestTicket[each][key.id];
                REQUIRE(object.ticket.value() >= seen);
                seen = object.ticket.value();
            }
        }
    }
    FakeStore faultlessStore(1);
    faultlessStore.state() = store.state();
    ConfigurationReplica lateReplica(InstanceId("n"), "1", fastJournalSettings());
    lateReplica.readAll(now);
    runReplicas({&lateReplica}, faultlessStore, now);
    REQUIRE(accepted.size() == 3);
    for (const auto &[id, number] : accepted) {
        REQUIRE(lateReplica.configuration().objects().at({ObjectKind::Pool, id}).ticket.value() >= number);
    }
}

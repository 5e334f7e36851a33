#include "harness/recordeddisk.h"
#include "persistence/storedid.h"
#include "platform/testinstance.h"
#include "serving/memberdirectory.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iterator>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

using namespace flamingo;

namespace
{
constexpr int Machines = 3;
constexpr int Callers = 6;
constexpr int TurnsPerProgram = 12;
constexpr Milliseconds TurnDuration{5};
constexpr Milliseconds RetryDelay{100};
/// From the first request that continues a turn to the end of its response.
constexpr Milliseconds ContinuationTimeout{12000};
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;

/// Seeds to run instead of the given ones, separated by spaces.
constexpr const char *SeedsVariable = "FLAMINGO_POWER_LOSS_SEEDS";

std::vector<std::uint64_t> seeds(std::vector<std::uint64_t> usual)
{
    const char *text = std::getenv(SeedsVariable);
    if (!text) {
        return usual;
    }
    std::istringstream stream(text);
    return {std::istream_iterator<std::uint64_t>(stream), std::istream_iterator<std::uint64_t>()};
}

std::string outputOf(const std::string &attemptId)
{
    return "out of " + attemptId;
}

void respondWithTurn(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    const std::string output = outputOf(request.head.fields.value("X-Attempt-Id"));
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    connection.writeLater(TurnDuration, ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, output)) + "0\r\n\r\n");
}

/// A turn that a caller has got whole.
struct ServedTurn {
    std::string attemptId;
    std::string programId;
    std::string history; ///< What an endpoint has to receive ahead of the next turn's input.
};

struct SentTurn {
    ServedTurn turn;
    CallerResponse response;

    bool isServed() const
    {
        return response.status == StatusOk && response.isComplete;
    }
};

/// What happens to the machines of a run.
struct PowerLoss {
    explicit PowerLoss(std::uint64_t seed)
        : random(seed)
        , unsyncedBytes(pick(2) == 0 ? RecordedDisk::UnsyncedBytes::Lost : RecordedDisk::UnsyncedBytes::Torn)
        , lostDisk(pick(Machines))
        , timeWithStore(300 + pick(1000))
        , timeWithoutStore(pick(4) == 0 ? 0 : 300 + pick(1200))
    {
    }

    std::size_t pick(std::size_t count)
    {
        return random() % count;
    }

    std::mt19937_64 random;
    RecordedDisk::UnsyncedBytes unsyncedBytes;
    std::size_t lostDisk;
    Milliseconds timeWithStore;
    Milliseconds timeWithoutStore;
};

/// Three instances and three archives, whose disks are recorded, with callers that run programs of stateful turns.
class Deployment
{
public:
    Deployment(std::uint64_t seed, int toleratedMachines)
        : m_seed(seed)
    {
        m_store.put("op/config", testConfiguration(1));
        registerEndpoint(m_store, "i-1", m_endpoint);
        for (int n = 1; n <= Machines; ++n) {
            m_disks.emplace_back(TestArchive::diskFolder(n), TestArchive::folder(n) / "synced");
            m_archives.push_back(std::make_unique<TestArchive>(m_store, n, m_disks.back().variables()));
        }
        REQUIRE(eventually([this] { return m_store.keys(MemberDirectory::KeyPrefix).size() == Machines; }));
        for (int n = 1; n <= Machines; ++n) {
            m_instances.push_back(std::make_unique<TestInstance>(m_store, n, toleratedMachines));
        }
        awaitReady();
    }

    ~Deployment()
    {
        stopCallers();
    }

    void startCallers()
    {
        for (int n = 0; n < Callers; ++n) {
            m_callers.emplace_back([this, n] { runCaller(n); });
        }
    }

    void setStoreFault(KvStandIn::Fault fault)
    {
        m_store.setFault(fault);
    }

    /// Kills an archive, and starts it again with an empty disk.
    void replaceDisk(std::size_t archive)
    {
        m_archives[archive]->process().kill();
        m_disks[archive].wipe();
        m_archives[archive]->start();
    }

    /// Ends all processes and puts all disks back to what was synced.
    void losePower(PowerLoss &loss)
    {
        for (const auto &it : m_archives) {
            it->process().sendSignal(SIGKILL);
        }
        for (const auto &it : m_instances) {
            it->process().sendSignal(SIGKILL);
        }
        stopCallers();
        for (std::size_t n = 0; n < m_archives.size(); ++n) {
            m_archives[n]->process().kill();
            m_unsyncedBytes += m_disks[n].losePower(loss.unsyncedBytes, loss.random);
        }
        m_turnsOutsideStore = countTurnsOutsideStore();
    }

    void wipeDisk(std::size_t archive)
    {
        m_disks[archive].wipe();
    }

    void restart()
    {
        for (const auto &it : m_archives) {
            it->start();
        }
        for (const auto &it : m_instances) {
            it->killAndRestart();
        }
    }

    /// Continues each turn that a caller has got whole. Returns what was wrong, a line for each turn.
    std::vector<std::string> continueAll()
    {
        std::atomic<std::size_t> next{0};
        std::vector<std::thread> threads;
        for (int n = 0; n < Callers; ++n) {
            threads.emplace_back([&] {
                for (std::size_t at = next++; at < m_served.size(); at = next++) {
                    continueTurn(m_served[at], at);
                }
            });
        }
        for (std::thread &it : threads) {
            it.join();
        }
        return m_failures;
    }

    /// The requests that reached the endpoint with another history than that of the turn they continue.
    std::vector<std::string> mixedHistories() const
    {
        std::vector<std::string> mixed;
        for (const ReceivedRequest &it : m_endpoint.requests()) {
            const std::string attemptId = it.head.fields.value("X-Attempt-Id");
            const auto expected = m_expectedBodies.find(attemptId);
            if (expected == m_expectedBodies.end() || expected->second != it.body) {
                mixed.push_back(attemptId + " was sent to the endpoint as: " + it.body);
            }
        }
        return mixed;
    }

    std::size_t servedTurns() const
    {
        return m_served.size();
    }

    /// The turns got whole by callers that only archives held when the power was lost.
    std::size_t turnsOutsideStore() const
    {
        return m_turnsOutsideStore;
    }

    std::uintmax_t unsyncedBytes() const
    {
        return m_unsyncedBytes;
    }

private:
    void awaitReady() const
    {
        for (const auto &it : m_instances) {
            REQUIRE(it->awaitReady());
        }
    }

    std::size_t countTurnsOutsideStore()
    {
        const std::vector<std::string> stored = m_store.keys(TurnKeyPrefix);
        const std::set<std::string> keys(stored.begin(), stored.end());
        return static_cast<std::size_t>(
            std::count_if(m_served.begin(), m_served.end(), [&](const ServedTurn &it) { return keys.count(TurnKeyPrefix + it.attemptId) == 0; }));
    }

    void stopCallers()
    {
        m_isStopping = true;
        for (std::thread &it : m_callers) {
            it.join();
        }
        m_callers.clear();
    }

    void runCaller(int number)
    {
        std::mt19937_64 random(m_seed * Callers + static_cast<std::uint64_t>(number));
        int attempts = 0;
        for (int n = 0; !m_isStopping; ++n) {
            ServedTurn last{{}, fmt::format("p{}-{}", number, n), {}};
            for (int served = 0; served < TurnsPerProgram && !m_isStopping;) {
                const SentTurn sent = send(last, fmt::format("{}-{}", last.programId, ++attempts), random() % m_instances.size());
                if (sent.isServed()) {
                    last = sent.turn;
                    ++served;
                    const std::lock_guard lock(m_mutex);
                    m_served.push_back(last);
                }
            }
        }
    }

    SentTurn send(const ServedTurn &previous, const std::string &attemptId, std::size_t instance)
    {
        const std::string input = "in " + attemptId + ' ';
        std::string lines = fmt::format("X-Program-Id: {}\r\nX-Session-Id: s\r\n", previous.programId);
        lines += previous.attemptId.empty() ? std::string() : "X-Previous-Turn: " + previous.attemptId + "\r\n";
        {
            const std::lock_guard lock(m_mutex);
            m_expectedBodies[attemptId] = previous.history + input;
        }
        const CallerResponse response = m_instances[instance]->send(callerRequest("/chat/a", attemptId, lines, input));
        return {{attemptId, previous.programId, previous.history + input + outputOf(attemptId) + '\n'}, response};
    }

    void continueTurn(const ServedTurn &turn, std::size_t number)
    {
        const Instant start = std::chrono::steady_clock::now();
        for (std::size_t attempt = 0;; ++attempt) {
            const SentTurn sent = send(turn, fmt::format("{}-next-{}", turn.attemptId, attempt), (number + attempt) % m_instances.size());
            const bool isLate = std::chrono::steady_clock::now() - start > ContinuationTimeout;
            const int status = sent.response.status;
            if (status == StatusNotFound || status == StatusGone || isLate) {
                const std::lock_guard lock(m_mutex);
                m_failures.push_back(fmt::format("{} of {} can't be continued: status {}{}", turn.attemptId, turn.programId, status, isLate ? ", late" : ""));
                return;
            }
            if (sent.isServed()) {
                return;
            }
            std::this_thread::sleep_for(RetryDelay);
        }
    }

    std::uint64_t m_seed;
    KvStandIn m_store;
    ScriptedEndpoint m_endpoint{respondWithTurn};
    std::vector<RecordedDisk> m_disks;
    std::vector<std::unique_ptr<TestArchive>> m_archives;
    std::vector<std::unique_ptr<TestInstance>> m_instances;
    std::vector<std::thread> m_callers;
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::vector<ServedTurn> m_served;
    std::map<std::string, std::string> m_expectedBodies; ///< By attempt id.
    std::vector<std::string> m_failures;
    std::size_t m_turnsOutsideStore = 0;
    std::uintmax_t m_unsyncedBytes = 0;
};

void checkAllContinued(Deployment &it, std::uint64_t seed)
{
    const std::size_t servedTurns = it.servedTurns();
    INFO("seed " << seed << ", turns served before the loss of power: " << servedTurns);
    CHECK(it.turnsOutsideStore() > 0);
    const Instant start = std::chrono::steady_clock::now();
    CHECK(it.continueAll() == std::vector<std::string>());
    CHECK(it.mixedHistories() == std::vector<std::string>());
    const auto duration = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start);
    fmt::print("power loss: seed {}, {} turns served, {} of them held by archives only, {} bytes not synced, continued in {} ms\n",
               seed,
               servedTurns,
               it.turnsOutsideStore(),
               it.unsyncedBytes(),
               duration.count());
}
} // namespace

// Guards against a turn that a caller got whole before it was synced, and that a loss of power takes.
TEST_CASE("Turns that callers got whole survive a loss of power on all machines and the loss of a disk", "[platform][power]")
{
    for (const std::uint64_t seed : seeds({1, 2})) {
        PowerLoss loss(seed);
        Deployment it(seed, 1);
        it.startCallers();
        std::this_thread::sleep_for(loss.timeWithStore);
        it.setStoreFault(loss.timeWithoutStore.count() > 0 ? KvStandIn::Fault::Unavailable : KvStandIn::Fault::None);
        std::this_thread::sleep_for(loss.timeWithoutStore);
        it.losePower(loss);
        it.wipeDisk(loss.lostDisk);
        it.setStoreFault(KvStandIn::Fault::None);
        it.restart();
        checkAllContinued(it, seed);
    }
}

// Guards against an archive that counts for turns it lost with its disk. As many disks are lost as may be, the replaced one included.
TEST_CASE("Turns that callers got whole survive a loss of power just after a disk was replaced by an empty one", "[platform][power]")
{
    constexpr std::size_t MaxTimeAfter = 1500; // ms
    for (const std::uint64_t seed : seeds({3, 4})) {
        PowerLoss loss(seed);
        const int lostDisks = 1 + static_cast<int>(seed % 2);
        const Milliseconds timeAfter(loss.pick(MaxTimeAfter));
        Deployment it(seed, lostDisks);
        it.startCallers();
        std::this_thread::sleep_for(loss.timeWithStore);
        it.setStoreFault(loss.timeWithoutStore.count() > 0 ? KvStandIn::Fault::Unavailable : KvStandIn::Fault::None);
        std::this_thread::sleep_for(loss.timeWithoutStore);
        it.replaceDisk((loss.lostDisk + 1) % Machines);
        std::this_thread::sleep_for(timeAfter);
        it.losePower(loss);
        if (lostDisks > 1) {
            it.wipeDisk(loss.lostDisk);
        }
        it.setStoreFault(KvStandIn::Fault::None);
        it.restart();
        checkAllContinued(it, seed);
    }
}

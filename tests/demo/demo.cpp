// Runs real programs of both users' kinds on a three-instance deployment and closes with one line.

#include "harness/deployment.h"
#include "harness/programclient.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <atomic>
#include <cstdio>
#include <exception>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace
{
using namespace flamingo;

struct Tally {
    std::atomic<int> programs{0};
    std::atomic<int> finished{0};
    std::atomic<int> lost{0};
    std::atomic<int> refused{0};
    std::mutex mutex;
    std::set<std::string> booked; ///< Keys of bookings that were answered as done.
    std::set<std::string> notRun; ///< Keys of bookings that were refused as not run.
};

class Workload
{
public:
    Workload(Deployment &deployment, Tally &tally, unsigned seed)
        : m_deployment(deployment)
        , m_tally(tally)
        , m_client("caller")
        , m_random(seed)
    {
        for (std::size_t n = 0; n < deployment.plan().instanceDomains.size(); ++n) {
            m_entries.push_back(deployment.entryPort(static_cast<int>(n)));
        }
        std::shuffle(m_entries.begin(), m_entries.end(), m_random);
    }

    void run(int programs)
    {
        for (int n = 0; n < programs; ++n) {
            ++m_tally.programs;
            const bool isFinished = n % 4 == 0 ? urgentQuery() : (n % 4 == 1 ? order() : (n % 4 == 2 ? sighting() : seasonList()));
            m_tally.finished += isFinished ? 1 : 0;
            m_tally.lost += isFinished ? 0 : 1;
        }
    }

private:
    ProgramClient makeClient(const std::string &caller)
    {
        return {m_client, m_entries, Deployment::callerKey(caller)};
    }

    void toolPause()
    {
        std::this_thread::sleep_for(Milliseconds(m_random() % 30));
    }

    bool settle(ProgramClient &client, bool isOk)
    {
        const std::lock_guard<std::mutex> lock(m_tally.mutex);
        for (const auto &effect : client.effects()) {
            if (effect.answer.isOk()) {
                m_tally.booked.insert(effect.key);
            } else if (effect.answer.runState == "not-run") {
                m_tally.notRun.insert(effect.key);
                ++m_tally.refused;
            }
        }
        return isOk && client.wrongAnswers() == 0 && client.end().isOk();
    }

    // Omaruru: an urgent power query, one short call.
    bool urgentQuery()
    {
        auto client = makeClient("omaruru");
        return client.start("urgent") && settle(client, client.ask("Power for a hospital tent now?", 16).isOk());
    }

    // Omaruru: a quote, a dispatch that must not be repeated, and a confirmation.
    bool order()
    {
        auto client = makeClient("omaruru");
        bool isOk = client.start("normal") && client.ask("Quote a genset for a camp near Arandis.", 40).isOk();
        toolPause();
        isOk = isOk && client.operate("book", "fuel bowser").isOk();
        toolPause();
        return settle(client, isOk && client.ask("Confirm to the crew.", 24).isOk());
    }

    // Kitaezo: a quick sighting question with a look-up.
    bool sighting()
    {
        auto client = makeClient("kitaezo");
        bool isOk = client.start("normal") && client.operate("lookup", "crane").isOk();
        return settle(client, isOk && client.ask("Which crane is this?", 20).isOk());
    }

    // Kitaezo: a long conversation with a sub-agent and a submission.
    bool seasonList()
    {
        auto client = makeClient("kitaezo");
        bool isOk = client.start("batch");
        for (int n = 0; isOk && n < 4; ++n) {
            isOk = client.ask(fmt::format("Entry {} of my season list.", n), 30).isOk();
            toolPause();
        }
        auto child = makeClient("kitaezo");
        isOk = isOk && child.start("normal", client.program()) && child.ask("Check the rare ones.", 20).isOk();
        isOk = isOk && settle(child, true);
        return settle(client, isOk && client.operate("book", "checklist").isOk());
    }

    Deployment &m_deployment;
    Tally &m_tally;
    HttpClient m_client;
    std::vector<std::uint16_t> m_entries;
    std::mt19937 m_random;
};

std::map<std::string, int> recordedEffects(Deployment &deployment)
{
    std::map<std::string, int> counts;
    for (int n = 0; n < deployment.plan().services; ++n) {
        const auto effects = deployment.get(deployment.servicePort(n), "/effects");
        for (auto it = effects.begin(); it != effects.end(); ++it) {
            counts[it.key()] += it.value().get<int>();
        }
    }
    return counts;
}

int runDemo(const std::string &binaries, const std::string &folder, int callers, int programsEach)
{
    DeploymentPlan plan;
    plan.binaries = binaries;
    plan.folder = folder;
    Deployment deployment(plan);
    deployment.start();
    Tally tally;
    std::vector<std::thread> threads;
    for (int n = 0; n < callers; ++n) {
        threads.emplace_back([&, n] { Workload(deployment, tally, static_cast<unsigned>(n)).run(programsEach); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const auto effects = recordedEffects(deployment);
    int repeated = 0;
    int lost = tally.lost;
    for (const std::string &key : tally.booked) {
        const auto it = effects.find(key);
        repeated += it != effects.end() && it->second > 1 ? 1 : 0;
        lost += it == effects.end() ? 1 : 0;
    }
    for (const std::string &key : tally.notRun) {
        repeated += effects.count(key) != 0 ? 1 : 0;
    }
    fmt::print("demo: {} programs, {} finished, {} lost, {} repeated, {} refused as not run\n",
               tally.programs.load(),
               tally.finished.load(),
               lost,
               repeated,
               tally.refused.load());
    return tally.finished == tally.programs && lost == 0 && repeated == 0 ? 0 : 1;
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("demo", "A short run of the whole system");
    options.add_options()("binaries", "Build folder", cxxopts::value<std::string>());
    options.add_options()("folder", "Folder for settings and logs", cxxopts::value<std::string>());
    options.add_options()("callers", "Callers at once", cxxopts::value<int>()->default_value("16"));
    options.add_options()("programs", "Programs of each caller", cxxopts::value<int>()->default_value("20"));
    const auto arguments = options.parse(argc, argv);
    try {
        return runDemo(
            arguments["binaries"].as<std::string>(), arguments["folder"].as<std::string>(), arguments["callers"].as<int>(), arguments["programs"].as<int>());
    } catch (const std::exception &error) {
        fmt::print(stderr, "demo: {}\n", error.what());
        return 1;
    }
}

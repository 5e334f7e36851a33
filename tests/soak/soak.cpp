// Runs the programs of both users under random faults, then compares what callers received with what services recorded.

#include "harness/deployment.h"
#include "harness/workload.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <random>
#include <thread>

namespace
{
using namespace flamingo;

class FaultInjector
{
public:
    FaultInjector(Deployment &deployment, std::uint64_t seed)
        : m_deployment(deployment)
        , m_random(seed)
    {
    }

    /// Injects a random fault and ends it after a random time.
    void injectFault()
    {
        const int instance = static_cast<int>(m_random() % 3);
        const int durationMs = 500 + static_cast<int>(m_random() % 5000);
        switch (m_random() % 8) {
        case 0:
            killDaemon(instance, "scheduler", durationMs);
            break;
        case 1:
            killDaemon(instance, "entry", durationMs);
            break;
        case 2:
            killDaemon(instance, "control", durationMs);
            break;
        case 3:
            printFault("pause", instance);
            m_deployment.daemon(instance, "scheduler").sendSignal(SIGSTOP);
            sleepFor(durationMs);
            m_deployment.daemon(instance, "scheduler").sendSignal(SIGCONT);
            break;
        case 4:
            degradeStore("store-down", {{"down", true}}, durationMs, {{"down", false}});
            break;
        case 5:
            degradeStore("store-lossy", {{"lose_answers", 0.2}, {"delay_ms", 20}}, durationMs, {{"lose_answers", 0.0}, {"delay_ms", 0}});
            break;
        case 6:
            printFault("cut", 2);
            m_deployment.setRoutes(m_deployment.routesBetween("d1", "d2"), "cut");
            sleepFor(durationMs);
            m_deployment.setRoutes(m_deployment.routesBetween("d1", "d2"), "pass");
            break;
        default:
            printFault("cut-store", instance);
            m_deployment.setRoutes(m_deployment.routesToStore(instance), "silent");
            sleepFor(durationMs);
            m_deployment.setRoutes(m_deployment.routesToStore(instance), "pass");
        }
    }

private:
    static void sleepFor(int ms)
    {
        std::this_thread::sleep_for(Milliseconds(ms));
    }

    static void printFault(const std::string &fault, int instance)
    {
        fmt::print("fault: {} i{}\n", fault, instance);
        std::fflush(stdout);
    }

    void killDaemon(int instance, const std::string &daemon, int durationMs)
    {
        printFault("kill-" + daemon, instance);
        m_deployment.daemon(instance, daemon).kill();
        sleepFor(durationMs);
        m_deployment.startDaemon(instance, daemon);
    }

    void degradeStore(const std::string &name, const nlohmann::json &faultSettings, int durationMs, const nlohmann::json &normalSettings)
    {
        printFault(name, 0);
        m_deployment.postAdmin(m_deployment.storePort(), faultSettings);
        sleepFor(durationMs);
        m_deployment.postAdmin(m_deployment.storePort(), normalSettings);
    }

    Deployment &m_deployment;
    std::mt19937_64 m_random;
};
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("soak", "Checks all guarantees under random faults");
    options.add_options()("binaries", "Build folder", cxxopts::value<std::string>());
    options.add_options()("folder", "Folder for settings and logs", cxxopts::value<std::string>());
    options.add_options()("seconds", "Duration in seconds", cxxopts::value<int>()->default_value("60"));
    options.add_options()("seed", "Seed of the faults", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);
    DeploymentPlan plan;
    plan.buildFolder = arguments["binaries"].as<std::string>();
    plan.folder = arguments["folder"].as<std::string>();
    plan.usesProxy = true;
    const auto seed = arguments["seed"].as<std::uint64_t>();
    plan.seed = seed;
    Deployment deployment(plan);
    deployment.start();
    Workload workload(deployment, 8, seed);
    workload.start();
    FaultInjector injector(deployment, seed);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(arguments["seconds"].as<int>());
    while (std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(1500));
        injector.injectFault();
    }
    const bool hasConverged = Deployment::waitFor(Milliseconds(40000), [&] { return deployment.isConverged({0, 1, 2}); });
    const WorkloadResult workloadResult = workload.finish();
    fmt::print("soak: seed {}, settled {}, {}\n", seed, hasConverged, workloadResult.summary());
    return workloadResult.hasNoViolations() && hasConverged ? 0 : 1;
}

// Runs the programs of both users on a deployment of three instances and prints one line with the result.

#include "harness/deployment.h"
#include "harness/workload.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <exception>

int main(int argc, char **argv)
{
    using namespace flamingo;
    cxxopts::Options options("demo", "Runs programs on a local deployment and reports lost and repeated calls");
    options.add_options()("binaries", "Build folder", cxxopts::value<std::string>());
    options.add_options()("folder", "Folder where settings and logs are written", cxxopts::value<std::string>());
    options.add_options()("callers", "Number of concurrent callers", cxxopts::value<int>()->default_value("16"));
    options.add_options()("programs", "Programs that each caller runs", cxxopts::value<int>()->default_value("20"));
    const auto arguments = options.parse(argc, argv);
    try {
        DeploymentPlan plan;
        plan.buildFolder = arguments["binaries"].as<std::string>();
        plan.folder = arguments["folder"].as<std::string>();
        Deployment deployment(plan);
        deployment.start();
        Workload workload(deployment, arguments["callers"].as<int>(), 1);
        workload.start(arguments["programs"].as<int>());
        const WorkloadResult workloadResult = workload.wait();
        if (!workloadResult.hasNoViolations() || workloadResult.finished != workloadResult.programs) {
            fmt::print(stderr, "{}\n", workloadResult.summary());
        }
        const int lost = workloadResult.lost + workloadResult.wrongAnswers;
        const int repeated = workloadResult.repeated + workloadResult.ranDespiteNotRun;
        fmt::print("demo: {} programs, {} finished, {} lost, {} repeated, {} refused as not run\n",
                   workloadResult.programs,
                   workloadResult.finished,
                   lost,
                   repeated,
                   workloadResult.notRun);
        return workloadResult.finished == workloadResult.programs && lost == 0 && repeated == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        fmt::print(stderr, "demo: {}\n", error.what());
        return 1;
    }
}

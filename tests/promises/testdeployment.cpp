#include "promises/testdeployment.h"

#include <fmt/format.h>

#include <cstdio>
#include <filesystem>

namespace flamingo
{

namespace
{
constexpr std::uint16_t FirstPort = 21000;
constexpr std::uint16_t PortsPerTest = 400;
} // namespace

DeploymentPlan testPlan(const std::string &name)
{
    static std::uint16_t count = 0;
    DeploymentPlan plan;
    plan.folder = std::filesystem::temp_directory_path() / ("flamingo-" + name);
    std::filesystem::remove_all(plan.folder);
    plan.buildFolder = BINARY_FOLDER;
    plan.basePort = static_cast<std::uint16_t>(FirstPort + PortsPerTest * (count++ % 20));
    return plan;
}

void printMeasurement(const std::string &text)
{
    fmt::print("measured: {}\n", text);
    std::fflush(stdout);
}

} // namespace flamingo

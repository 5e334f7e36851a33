// Measures the latency that the system adds to a call when there is no other load. The same look-up is sent alternately to
// a service directly and through an entry. For comparison, reads of one key, about the size of a journal entry, measure the
// latency of the store.

#include "harness/deployment.h"
#include "harness/programclient.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <thread>
#include <vector>

namespace
{
using namespace flamingo;

constexpr Milliseconds PauseBetweenCalls{100};

double elapsedMs(const std::function<void()> &action)
{
    const auto start = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

void printPercentiles(const std::string &name, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const auto percentile = [&](double fraction) { return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))]; };
    fmt::print("{}: n={} p50={:.2f} ms p95={:.2f} ms p99={:.2f} ms\n", name, values.size(), percentile(0.5), percentile(0.95), percentile(0.99));
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("idle", "Measures the latency that the system adds to a call when there is no other load");
    options.add_options()("binaries", "Build folder", cxxopts::value<std::string>());
    options.add_options()("folder", "Folder for settings and logs", cxxopts::value<std::string>());
    options.add_options()("calls", "Number of calls", cxxopts::value<int>()->default_value("200"));
    const auto arguments = options.parse(argc, argv);
    DeploymentPlan plan;
    plan.buildFolder = arguments["binaries"].as<std::string>();
    plan.folder = arguments["folder"].as<std::string>();
    plan.serviceDelayMs = 0;
    plan.basePort = 24000;
    Deployment deployment(plan);
    deployment.start();
    HttpClient http;
    ProgramClient client(http, {deployment.entryPort(0)}, Deployment::callerKey("omaruru"));
    if (!client.start("normal")) {
        return 1;
    }
    std::vector<double> directMs;
    std::vector<double> throughEntryMs;
    std::vector<double> storeMs;
    for (int n = 0; n < arguments["calls"].as<int>(); ++n) {
        std::this_thread::sleep_for(PauseBetweenCalls);
        directMs.push_back(elapsedMs([&] {
            HttpRequest request;
            request.method = "POST";
            request.url = fmt::format("http://127.0.0.1:{}/v1/operations/lookup", deployment.servicePort(n % 2));
            request.body = R"({"what":"crane"})";
            (void)http.sendAndWait(std::move(request));
        }));
        throughEntryMs.push_back(elapsedMs([&] { (void)client.callService("lookup", "crane"); }));
        storeMs.push_back(elapsedMs([&] {
            HttpRequest request;
            request.url = fmt::format("http://127.0.0.1:{}/kv-key?key=shard/0/journal/0", deployment.storePort());
            (void)http.sendAndWait(std::move(request));
        }));
    }
    printPercentiles("direct", directMs);
    printPercentiles("through the system, durable", throughEntryMs);
    printPercentiles("one store call", storeMs);
    return 0;
}

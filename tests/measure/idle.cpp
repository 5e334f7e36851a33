// Measures what the path adds to one call when nothing else goes on: the same look-up at a plain service directly and
// through an entry, in turn. The store's own time is measured beside it, by reads of one key of about an entry's size.

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

constexpr Milliseconds Pause{100};

double timed(const std::function<void()> &action)
{
    const auto start = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

void print(const std::string &name, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) { return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]; };
    fmt::print("{}: n={} p50={:.2f} ms p95={:.2f} ms p99={:.2f} ms\n", name, values.size(), at(0.5), at(0.95), at(0.99));
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("idle", "What the path adds when idle");
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
    std::vector<double> direct;
    std::vector<double> through;
    std::vector<double> store;
    for (int n = 0; n < arguments["calls"].as<int>(); ++n) {
        std::this_thread::sleep_for(Pause);
        direct.push_back(timed([&] {
            HttpRequest request;
            request.method = "POST";
            request.url = fmt::format("http://127.0.0.1:{}/v1/operations/lookup", deployment.servicePort(n % 2));
            request.body = R"({"what":"crane"})";
            (void)http.sendAndWait(std::move(request));
        }));
        through.push_back(timed([&] { (void)client.callService("lookup", "crane"); }));
        store.push_back(timed([&] {
            HttpRequest request;
            request.url = fmt::format("http://127.0.0.1:{}/kv-key?key=shard/0/journal/0", deployment.storePort());
            (void)http.sendAndWait(std::move(request));
        }));
    }
    print("direct", direct);
    print("through the system, durable", through);
    print("one store call", store);
    return 0;
}

// Runs one deployment's workload against the policy and the baseline in turn (A B A B) and prints what the brief asks to
// be measured. Arrivals are open-loop: they come at their times whatever has happened to the ones before.

#include "harness/deployment.h"
#include "harness/programclient.h"
#include "measure/loadplan.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

namespace
{
using namespace flamingo;

constexpr Milliseconds CallDeadline{20000};

/// One program's fate.
struct Sample {
    ProgramShape shape = ProgramShape::ShortTask;
    Milliseconds arrivedAt{0};
    double latencyMs = 0;
    bool isFinished = false;
    bool wasRefused = false;
    bool isWrong = false;
    double firstCallMs = 0;
};

struct RunResult {
    std::vector<Sample> samples;
    double promptTokens = 0;
    double cachedTokens = 0;
    double returningTokens = 0; ///< Prompt tokens that had been part of the program's history.
    double hedges = 0;
    double attempts = 0;
};

double percentile(std::vector<double> values, double p)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(p / 100 * static_cast<double>(values.size() - 1) + 0.5);
    return values[index];
}

class Run
{
public:
    Run(Deployment &deployment, const LoadPlan &plan, std::uint64_t seed)
        : m_deployment(deployment)
        , m_arrivals(makeArrivals(plan, seed))
    {
    }

    RunResult execute()
    {
        const double promptBefore = sum("flamingo_prompt_tokens_total");
        const double cachedBefore = sum("flamingo_cached_tokens_total");
        std::vector<std::thread> threads;
        m_start = std::chrono::steady_clock::now();
        for (std::size_t n = 0; n < m_arrivals.size(); ++n) {
            std::this_thread::sleep_until(m_start + m_arrivals[n].at);
            threads.emplace_back([this, n] { program(n); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        m_result.promptTokens = sum("flamingo_prompt_tokens_total") - promptBefore;
        m_result.cachedTokens = sum("flamingo_cached_tokens_total") - cachedBefore;
        m_result.hedges = sum("flamingo_hedges_total");
        m_result.attempts = sum("flamingo_attempts_total");
        return m_result;
    }

private:
    double sum(const std::string &counter)
    {
        double total = 0;
        for (std::size_t n = 0; n < m_deployment.plan().instanceDomains.size(); ++n) {
            total += m_deployment.counterSum(m_deployment.schedulerHttpPort(static_cast<int>(n)), counter);
        }
        return total;
    }

    void program(std::size_t n)
    {
        const Arrival &arrival = m_arrivals[n];
        const std::size_t count = m_deployment.plan().instanceDomains.size();
        std::vector<std::uint16_t> entries;
        for (std::size_t k = 0; k < count; ++k) {
            entries.push_back(m_deployment.entryPort(static_cast<int>((n + k) % count)));
        }
        ProgramClient client(m_client, entries, Deployment::callerKey(n % 2 == 0 ? "omaruru" : "kitaezo"));
        Sample sample;
        sample.shape = arrival.shape;
        sample.arrivedAt = arrival.at;
        const auto start = std::chrono::steady_clock::now();
        double history = 0;
        double returning = 0;
        sample.isFinished = live(client, sample, history, returning);
        sample.latencyMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
        sample.isWrong = client.wrongAnswers() > 0;
        if (!client.programId().empty()) {
            (void)client.end();
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_result.samples.push_back(sample);
        m_result.returningTokens += returning;
    }

    bool live(ProgramClient &client, Sample &sample, double &history, double &returning)
    {
        const bool isUrgent = sample.shape == ProgramShape::UrgentQuery;
        const bool isStraggler = sample.shape == ProgramShape::Straggler;
        if (!client.start(isUrgent ? "urgent" : (isStraggler ? "batch" : "normal"))) {
            sample.wasRefused = true;
            return false;
        }
        const int turns = sample.shape == ProgramShape::Conversation ? 6 : 1;
        const std::int64_t tokens = isStraggler ? 500 : (isUrgent ? 12 : 30);
        // A conversation carries a long history, so that its prefix is worth something.
        const std::string text = sample.shape == ProgramShape::Conversation ? longText(300) : longText(30);
        for (int turn = 0; turn < turns; ++turn) {
            const auto start = std::chrono::steady_clock::now();
            const auto answer = client.callModel(text, tokens, CallDeadline);
            if (turn == 0) {
                sample.firstCallMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
            }
            if (!answer.isOk()) {
                sample.wasRefused = answer.runState == "not-run";
                return false;
            }
            returning += history;
            history = answer.body.value("cost_tokens", 0.0);
            if (turn + 1 < turns) {
                std::this_thread::sleep_for(Milliseconds(50));
            }
        }
        return true;
    }

    static std::string longText(int words)
    {
        std::string text;
        for (int n = 0; n < words; ++n) {
            text += "word ";
        }
        return text;
    }

    Deployment &m_deployment;
    const std::vector<Arrival> m_arrivals;
    HttpClient m_client;
    Instant m_start;
    std::mutex m_mutex;
    RunResult m_result;
};

DeploymentPlan planFor(const std::string &deployment, bool isBaseline, const std::string &switchedOff, std::uint64_t seed)
{
    DeploymentPlan plan;
    const bool isOmaruru = deployment == "omaruru";
    plan.domains = isOmaruru ? std::vector<std::string>{"d1", "d2", "d3", "d4"} : std::vector<std::string>{"d1", "d2", "d3"};
    plan.instanceDomains =
        isOmaruru ? std::vector<std::string>{"d1", "d1", "d2", "d2", "d3", "d3", "d4"} : std::vector<std::string>{"d1", "d1", "d1", "d2", "d2", "d3", "d3"};
    plan.engines = 10;
    plan.services = isOmaruru ? 4 : 3;
    plan.engineSlots = 4;
    plan.endpointSlots = 4;
    plan.engineCacheTokens = 16000;
    plan.shards = 14;
    plan.seed = seed;
    plan.extraSettings = "[policy]\n";
    if (isBaseline) {
        plan.extraSettings += "baseline = true\n";
    } else if (!switchedOff.empty()) {
        plan.extraSettings += fmt::format("switched_off = [\"{}\"]\n", switchedOff);
    }
    return plan;
}

struct Summary {
    std::string name;
    std::vector<RunResult> runs;
};

std::vector<double> latencies(const Summary &summary, const LoadPlan &plan, std::optional<ProgramShape> shape, bool onlyCrest, bool onlyCalm)
{
    std::vector<double> values;
    for (const RunResult &run : summary.runs) {
        for (const Sample &sample : run.samples) {
            const bool isCrest = isAtCrest(plan, sample.arrivedAt);
            if ((shape && sample.shape != *shape) || (onlyCrest && !isCrest) || (onlyCalm && isCrest) || !sample.isFinished) {
                continue;
            }
            values.push_back(sample.latencyMs);
        }
    }
    return values;
}

void print(const Summary &summary, const LoadPlan &plan, nlohmann::json &json)
{
    int programs = 0;
    int finished = 0;
    int urgentRefused = 0;
    int refused = 0;
    int wrong = 0;
    double prompt = 0;
    double cached = 0;
    double returning = 0;
    for (const RunResult &run : summary.runs) {
        for (const Sample &sample : run.samples) {
            ++programs;
            finished += sample.isFinished ? 1 : 0;
            wrong += sample.isWrong ? 1 : 0;
            const bool isUrgent = sample.shape == ProgramShape::UrgentQuery;
            urgentRefused += !sample.isFinished && isUrgent ? 1 : 0;
            refused += !sample.isFinished && !isUrgent ? 1 : 0;
        }
        prompt += run.promptTokens;
        cached += run.cachedTokens;
        returning += run.returningTokens;
    }
    const auto all = latencies(summary, plan, std::nullopt, false, false);
    const auto urgentCrest = latencies(summary, plan, ProgramShape::UrgentQuery, true, false);
    const auto shortCrest = latencies(summary, plan, ProgramShape::ShortTask, true, false);
    const auto shortCalm = latencies(summary, plan, ProgramShape::ShortTask, false, true);
    const auto talk = latencies(summary, plan, ProgramShape::Conversation, false, false);
    const auto straggler = latencies(summary, plan, ProgramShape::Straggler, false, false);
    const double wasted = returning > 0 ? std::max(0.0, returning - cached) / returning : 0;
    const nlohmann::json row = {{"name", summary.name},
                                {"programs", programs},
                                {"finished", finished},
                                {"urgent_unfinished", urgentRefused},
                                {"other_unfinished", refused},
                                {"wrong_answers", wrong},
                                {"program_ms", {percentile(all, 50), percentile(all, 95), percentile(all, 99)}},
                                {"urgent_crest_ms", {percentile(urgentCrest, 50), percentile(urgentCrest, 95), percentile(urgentCrest, 99)}},
                                {"short_crest_ms", {percentile(shortCrest, 50), percentile(shortCrest, 95), percentile(shortCrest, 99)}},
                                {"short_calm_ms", {percentile(shortCalm, 50), percentile(shortCalm, 95), percentile(shortCalm, 99)}},
                                {"conversation_ms", {percentile(talk, 50), percentile(talk, 95), percentile(talk, 99)}},
                                {"straggler_ms", {percentile(straggler, 50), percentile(straggler, 95), percentile(straggler, 99)}},
                                {"wasted_cache", wasted}};
    json.push_back(row);
    fmt::print("{:<22} {:>5} {:>5} {:>4}/{:<4} {:>6.0f} {:>6.0f} {:>6.0f}  {:>6.0f} {:>6.0f}  {:>6.0f} {:>6.0f}  {:>6.0f} {:>6.0f}  {:>6.0f}  {:>5.2f}\n",
               summary.name,
               programs,
               finished,
               urgentRefused,
               refused,
               percentile(all, 50),
               percentile(all, 95),
               percentile(all, 99),
               percentile(urgentCrest, 50),
               percentile(urgentCrest, 99),
               percentile(shortCrest, 95),
               percentile(shortCalm, 95),
               percentile(talk, 95),
               percentile(talk, 99),
               percentile(straggler, 95),
               wasted);
    std::fflush(stdout);
}

void printHeader()
{
    fmt::print("{:<22} {:>5} {:>5} {:>9} {:>6} {:>6} {:>6}  {:>13}  {:>13}  {:>13}  {:>6}  {:>5}\n",
               "milliseconds",
               "prog",
               "done",
               "not done",
               "p50",
               "p95",
               "p99",
               "urgent@crest",
               "short p95",
               "conversation",
               "strag",
               "waste");
    fmt::print("{:<22} {:>5} {:>5} {:>9} {:>6} {:>6} {:>6}  {:>6} {:>6}  {:>6} {:>6}  {:>6} {:>6}  {:>6}\n",
               "",
               "",
               "",
               "urg/other",
               "",
               "",
               "",
               "p50",
               "p99",
               "crest",
               "calm",
               "p95",
               "p99",
               "p95");
}

RunResult runOnce(const DeploymentPlan &base, const LoadPlan &plan, std::uint64_t seed, bool isSlowed, const std::string &folder, const std::string &binaries)
{
    DeploymentPlan deploymentPlan = base;
    deploymentPlan.folder = folder;
    deploymentPlan.buildFolder = binaries;
    deploymentPlan.basePort = 23000;
    Deployment deployment(deploymentPlan);
    deployment.start();
    if (isSlowed) {
        for (int n = 0; n < deploymentPlan.engines; n += 3) {
            deployment.postAdmin(deployment.enginePort(n), {{"slowdown", 4.0}});
        }
    }
    return Run(deployment, plan, seed).execute();
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("measure", "Policy against baseline under an open-loop load");
    options.add_options()("binaries", "Build folder", cxxopts::value<std::string>());
    options.add_options()("folder", "Folder for settings and logs", cxxopts::value<std::string>());
    options.add_options()("deployment", "omaruru or kitaezo", cxxopts::value<std::string>()->default_value("omaruru"));
    options.add_options()("seed", "Seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("quick", "One round instead of two");
    options.add_options()("rules", "Also switch off each rule alone");
    options.add_options()("crest", "Programs a second at the crest", cxxopts::value<double>()->default_value("40"));
    options.add_options()("rows", "Which rows, of 0 to 3", cxxopts::value<std::vector<int>>()->default_value("0,1,2,3"));
    options.add_options()("json", "File for the figures", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = options.parse(argc, argv);
    const auto deployment = arguments["deployment"].as<std::string>();
    const auto seed = arguments["seed"].as<std::uint64_t>();
    LoadPlan plan;
    plan.crestPerSecond = arguments["crest"].as<double>();
    nlohmann::json json = nlohmann::json::array();
    const auto once = [&](bool isBaseline, const std::string &switchedOff, bool isSlowed, std::uint64_t runSeed) {
        return runOnce(planFor(deployment, isBaseline, switchedOff, runSeed),
                       plan,
                       runSeed,
                       isSlowed,
                       arguments["folder"].as<std::string>(),
                       arguments["binaries"].as<std::string>());
    };
    fmt::print("deployment {}, seed {}, crest {} programs/s\n", deployment, seed, plan.crestPerSecond);
    printHeader();
    Summary rows[] = {{"baseline", {}}, {"policy", {}}, {"baseline, third slowed", {}}, {"policy, third slowed", {}}};
    const std::uint64_t rounds = arguments.count("quick") != 0 ? 1 : 2;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        for (const int n : arguments["rows"].as<std::vector<int>>()) {
            rows[n].runs.push_back(once(n % 2 == 0, "", n >= 2, seed + round));
        }
    }
    for (const Summary &row : rows) {
        if (!row.runs.empty()) {
            print(row, plan, json);
        }
    }
    if (arguments.count("rules") != 0) {
        for (const char *rule :
             {"priority", "least-service", "urgent-reserve", "long-share", "adaptive-limits", "affinity", "avoid-slow", "early-refusal", "moves", "hedges"}) {
            Summary row{fmt::format("without {}", rule), {once(false, rule, false, seed)}};
            print(row, plan, json);
        }
    }
    const auto file = arguments["json"].as<std::string>();
    if (!file.empty()) {
        std::ofstream(file) << json.dump(2) << "\n";
    }
    return 0;
}

// Runs the workload of one deployment alternately with the baseline and the scheduling policy (A B A B), and prints program
// latencies, unfinished programs and the share of reusable prompt tokens that missed the cache. The load is open-loop:
// programs arrive at planned times, regardless of the progress of earlier ones.

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

/// The outcome of one program.
struct ProgramResult {
    ProgramKind kind = ProgramKind::ShortTask;
    Milliseconds arrivedAt{0};
    double latencyMs = 0;
    bool hasFinished = false;
    bool wasRefused = false;
    bool hasWrongAnswers = false;
    double firstCallMs = 0;
};

struct RunResult {
    std::vector<ProgramResult> programs;
    double promptTokens = 0;
    double cachedTokens = 0;
    double reusableTokens = 0; ///< Prompt tokens that were already part of the program's history.
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

class LoadRun
{
public:
    LoadRun(Deployment &deployment, const LoadPlan &plan, std::uint64_t seed)
        : m_deployment(deployment)
        , m_arrivals(makeArrivals(plan, seed))
    {
    }

    RunResult run()
    {
        const double promptBefore = sumCounter("flamingo_prompt_tokens_total");
        const double cachedBefore = sumCounter("flamingo_cached_tokens_total");
        std::vector<std::thread> threads;
        m_start = std::chrono::steady_clock::now();
        for (std::size_t n = 0; n < m_arrivals.size(); ++n) {
            std::this_thread::sleep_until(m_start + m_arrivals[n].at);
            threads.emplace_back([this, n] { runProgram(n); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        m_result.promptTokens = sumCounter("flamingo_prompt_tokens_total") - promptBefore;
        m_result.cachedTokens = sumCounter("flamingo_cached_tokens_total") - cachedBefore;
        m_result.hedges = sumCounter("flamingo_hedges_total");
        m_result.attempts = sumCounter("flamingo_attempts_total");
        return m_result;
    }

private:
    double sumCounter(const std::string &counter)
    {
        double total = 0;
        for (std::size_t n = 0; n < m_deployment.plan().instanceDomains.size(); ++n) {
            total += m_deployment.counterSum(m_deployment.schedulerHttpPort(static_cast<int>(n)), counter);
        }
        return total;
    }

    void runProgram(std::size_t n)
    {
        const Arrival &arrival = m_arrivals[n];
        const std::size_t instanceCount = m_deployment.plan().instanceDomains.size();
        std::vector<std::uint16_t> entryPorts;
        for (std::size_t k = 0; k < instanceCount; ++k) {
            entryPorts.push_back(m_deployment.entryPort(static_cast<int>((n + k) % instanceCount)));
        }
        ProgramClient client(m_client, entryPorts, Deployment::callerKey(n % 2 == 0 ? "omaruru" : "kitaezo"));
        ProgramResult result;
        result.kind = arrival.kind;
        result.arrivedAt = arrival.at;
        const auto start = std::chrono::steady_clock::now();
        double historyTokens = 0;
        double reusableTokens = 0;
        result.hasFinished = runTurns(client, result, historyTokens, reusableTokens);
        result.latencyMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
        result.hasWrongAnswers = client.wrongAnswers() > 0;
        if (!client.programId().empty()) {
            (void)client.end();
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_result.programs.push_back(result);
        m_result.reusableTokens += reusableTokens;
    }

    bool runTurns(ProgramClient &client, ProgramResult &result, double &historyTokens, double &reusableTokens)
    {
        const bool isUrgent = result.kind == ProgramKind::UrgentQuery;
        const bool isLongTask = result.kind == ProgramKind::LongTask;
        if (!client.start(isUrgent ? "urgent" : (isLongTask ? "batch" : "normal"))) {
            result.wasRefused = true;
            return false;
        }
        const int turns = result.kind == ProgramKind::Conversation ? 6 : 1;
        const std::int64_t tokens = isLongTask ? 500 : (isUrgent ? 12 : 30);
        // A conversation has a long history, so that a cached prefix saves a noticeable amount of work.
        const std::string text = result.kind == ProgramKind::Conversation ? makeText(300) : makeText(30);
        for (int turn = 0; turn < turns; ++turn) {
            const auto start = std::chrono::steady_clock::now();
            const auto answer = client.callModel(text, tokens, CallDeadline);
            if (turn == 0) {
                result.firstCallMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
            }
            if (!answer.isOk()) {
                result.wasRefused = answer.runState == "not-run";
                return false;
            }
            reusableTokens += historyTokens;
            historyTokens = answer.body.value("cost_tokens", 0.0);
            if (turn + 1 < turns) {
                std::this_thread::sleep_for(Milliseconds(50));
            }
        }
        return true;
    }

    static std::string makeText(int words)
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

DeploymentPlan makeDeploymentPlan(const std::string &deployment, bool isBaseline, const std::string &disabledRule, std::uint64_t seed)
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
    } else if (!disabledRule.empty()) {
        plan.extraSettings += fmt::format("switched_off = [\"{}\"]\n", disabledRule);
    }
    return plan;
}

struct TableRow {
    std::string name;
    std::vector<RunResult> runs;
};

std::vector<double> latencies(const TableRow &row, const LoadPlan &plan, std::optional<ProgramKind> kind, bool onlyPeak, bool onlyOffPeak)
{
    std::vector<double> values;
    for (const RunResult &run : row.runs) {
        for (const ProgramResult &program : run.programs) {
            const bool isPeak = isInPeak(plan, program.arrivedAt);
            if ((kind && program.kind != *kind) || (onlyPeak && !isPeak) || (onlyOffPeak && isPeak) || !program.hasFinished) {
                continue;
            }
            values.push_back(program.latencyMs);
        }
    }
    return values;
}

void printRow(const TableRow &row, const LoadPlan &plan, nlohmann::json &jsonRows)
{
    int programs = 0;
    int finished = 0;
    int urgentUnfinished = 0;
    int otherUnfinished = 0;
    int wrongAnswers = 0;
    double promptTokens = 0;
    double cachedTokens = 0;
    double reusableTokens = 0;
    for (const RunResult &run : row.runs) {
        for (const ProgramResult &program : run.programs) {
            ++programs;
            finished += program.hasFinished ? 1 : 0;
            wrongAnswers += program.hasWrongAnswers ? 1 : 0;
            const bool isUrgent = program.kind == ProgramKind::UrgentQuery;
            urgentUnfinished += !program.hasFinished && isUrgent ? 1 : 0;
            otherUnfinished += !program.hasFinished && !isUrgent ? 1 : 0;
        }
        promptTokens += run.promptTokens;
        cachedTokens += run.cachedTokens;
        reusableTokens += run.reusableTokens;
    }
    const auto allMs = latencies(row, plan, std::nullopt, false, false);
    const auto urgentPeakMs = latencies(row, plan, ProgramKind::UrgentQuery, true, false);
    const auto shortPeakMs = latencies(row, plan, ProgramKind::ShortTask, true, false);
    const auto shortOffPeakMs = latencies(row, plan, ProgramKind::ShortTask, false, true);
    const auto conversationMs = latencies(row, plan, ProgramKind::Conversation, false, false);
    const auto longTaskMs = latencies(row, plan, ProgramKind::LongTask, false, false);
    const double wastedShare = reusableTokens > 0 ? std::max(0.0, reusableTokens - cachedTokens) / reusableTokens : 0;
    const nlohmann::json jsonRow = {{"name", row.name},
                                    {"programs", programs},
                                    {"finished", finished},
                                    {"urgent_unfinished", urgentUnfinished},
                                    {"other_unfinished", otherUnfinished},
                                    {"wrong_answers", wrongAnswers},
                                    {"program_ms", {percentile(allMs, 50), percentile(allMs, 95), percentile(allMs, 99)}},
                                    {"urgent_crest_ms", {percentile(urgentPeakMs, 50), percentile(urgentPeakMs, 95), percentile(urgentPeakMs, 99)}},
                                    {"short_crest_ms", {percentile(shortPeakMs, 50), percentile(shortPeakMs, 95), percentile(shortPeakMs, 99)}},
                                    {"short_calm_ms", {percentile(shortOffPeakMs, 50), percentile(shortOffPeakMs, 95), percentile(shortOffPeakMs, 99)}},
                                    {"conversation_ms", {percentile(conversationMs, 50), percentile(conversationMs, 95), percentile(conversationMs, 99)}},
                                    {"straggler_ms", {percentile(longTaskMs, 50), percentile(longTaskMs, 95), percentile(longTaskMs, 99)}},
                                    {"wasted_cache", wastedShare}};
    jsonRows.push_back(jsonRow);
    fmt::print("{:<22} {:>5} {:>5} {:>4}/{:<4} {:>6.0f} {:>6.0f} {:>6.0f}  {:>6.0f} {:>6.0f}  {:>6.0f} {:>6.0f}  {:>6.0f} {:>6.0f}  {:>6.0f}  {:>5.2f}\n",
               row.name,
               programs,
               finished,
               urgentUnfinished,
               otherUnfinished,
               percentile(allMs, 50),
               percentile(allMs, 95),
               percentile(allMs, 99),
               percentile(urgentPeakMs, 50),
               percentile(urgentPeakMs, 99),
               percentile(shortPeakMs, 95),
               percentile(shortOffPeakMs, 95),
               percentile(conversationMs, 95),
               percentile(conversationMs, 99),
               percentile(longTaskMs, 95),
               wastedShare);
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

RunResult runOnce(const DeploymentPlan &baseDeploymentPlan,
                  const LoadPlan &plan,
                  std::uint64_t seed,
                  bool hasSlowEngines,
                  const std::string &folder,
                  const std::string &binaries)
{
    DeploymentPlan deploymentPlan = baseDeploymentPlan;
    deploymentPlan.folder = folder;
    deploymentPlan.buildFolder = binaries;
    deploymentPlan.basePort = 23000;
    Deployment deployment(deploymentPlan);
    deployment.start();
    if (hasSlowEngines) {
        for (int n = 0; n < deploymentPlan.engines; n += 3) {
            deployment.postAdmin(deployment.enginePort(n), {{"slowdown", 4.0}});
        }
    }
    return LoadRun(deployment, plan, seed).run();
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("measure", "Compares the scheduling policy with the baseline under an open-loop load");
    options.add_options()("binaries", "Build folder", cxxopts::value<std::string>());
    options.add_options()("folder", "Folder for settings and logs", cxxopts::value<std::string>());
    options.add_options()("deployment", "omaruru or kitaezo", cxxopts::value<std::string>()->default_value("omaruru"));
    options.add_options()("seed", "Seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("quick", "One round instead of two");
    options.add_options()("rules", "Also run with each rule of the policy switched off alone");
    options.add_options()("crest", "Programs per second at the peaks", cxxopts::value<double>()->default_value("40"));
    options.add_options()("rows", "Rows to measure, from 0 to 3", cxxopts::value<std::vector<int>>()->default_value("0,1,2,3"));
    options.add_options()("json", "File to which the figures are written as JSON", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = options.parse(argc, argv);
    const auto deployment = arguments["deployment"].as<std::string>();
    const auto seed = arguments["seed"].as<std::uint64_t>();
    LoadPlan plan;
    plan.peakProgramsPerSecond = arguments["crest"].as<double>();
    nlohmann::json jsonRows = nlohmann::json::array();
    const auto runWith = [&](bool isBaseline, const std::string &disabledRule, bool hasSlowEngines, std::uint64_t runSeed) {
        return runOnce(makeDeploymentPlan(deployment, isBaseline, disabledRule, runSeed),
                       plan,
                       runSeed,
                       hasSlowEngines,
                       arguments["folder"].as<std::string>(),
                       arguments["binaries"].as<std::string>());
    };
    fmt::print("deployment {}, seed {}, crest {} programs/s\n", deployment, seed, plan.peakProgramsPerSecond);
    printHeader();
    TableRow rows[] = {{"baseline", {}}, {"policy", {}}, {"baseline, third slowed", {}}, {"policy, third slowed", {}}};
    const std::uint64_t rounds = arguments.count("quick") != 0 ? 1 : 2;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        for (const int n : arguments["rows"].as<std::vector<int>>()) {
            rows[n].runs.push_back(runWith(n % 2 == 0, "", n >= 2, seed + round));
        }
    }
    for (const TableRow &row : rows) {
        if (!row.runs.empty()) {
            printRow(row, plan, jsonRows);
        }
    }
    if (arguments.count("rules") != 0) {
        for (const char *rule :
             {"priority", "least-service", "urgent-reserve", "long-share", "adaptive-limits", "affinity", "avoid-slow", "early-refusal", "moves", "hedges"}) {
            TableRow row{fmt::format("without {}", rule), {runWith(false, rule, false, seed)}};
            printRow(row, plan, jsonRows);
        }
    }
    const auto file = arguments["json"].as<std::string>();
    if (!file.empty()) {
        std::ofstream(file) << jsonRows.dump(2) << "\n";
    }
    return 0;
}

#pragma once

#include "harness/deployment.h"
#include "harness/programclient.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace flamingo
{

/// What callers have seen, to be compared with what the services recorded.
struct WorkloadRecord {
    std::atomic<int> programs{0};
    std::atomic<int> finished{0};
    std::atomic<int> wrongAnswers{0};
    std::mutex mutex;
    std::map<std::string, int> failuresByKind; ///< Programs that ended early, by the error's kind.
    std::set<std::string> completedKeys; ///< Keys of operations that must not be repeated and were answered as done.
    std::set<std::string> notRunKeys; ///< Keys of such operations that were refused as not run, for good.
    std::set<std::string> nonRepeatableKeys; ///< Keys of all such operations.
};

/// The comparison.
struct WorkloadResult {
    int programs = 0;
    int finished = 0;
    int lost = 0; ///< Operations answered as done of which there is no effect, and programs that got lost.
    int repeated = 0; ///< Operations with more than one effect.
    int ranDespiteNotRun = 0; ///< Operations refused as not run that have an effect.
    int notRun = 0; ///< Operations refused as not run.
    int wrongAnswers = 0;
    std::map<std::string, int> failuresByKind;

    /// Whether no promise was broken; programs may have ended early with a true answer.
    bool hasNoViolations() const;
    std::string summary() const;
};

/// Callers of both users' kinds, each on a thread of its own.
class Workload
{
public:
    Workload(Deployment &deployment, int callerCount, std::uint64_t seed);
    ~Workload();

    /// Starts the callers; they stop after so many programs each, or when finish() is called when it is 0.
    void start(int programsPerCaller = 0);

    /// Lets programs under way end and compares.
    WorkloadResult finish();

    /// Waits for callers that stop by themselves and compares.
    WorkloadResult wait();

    int finishedProgramCount() const;

private:
    class Caller;

    WorkloadResult compareWithServices();

    Deployment &m_deployment;
    const int m_callerCount;
    const std::uint64_t m_seed;
    WorkloadRecord m_record;
    std::atomic<bool> m_isStopping{false};
    std::vector<std::thread> m_threads;
};

} // namespace flamingo

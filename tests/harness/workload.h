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

/// What callers observed, to be compared with the effects that the services recorded. Keys are idempotency keys.
struct WorkloadRecord {
    std::atomic<int> programs{0};
    std::atomic<int> finished{0};
    std::atomic<int> wrongAnswers{0};
    std::mutex mutex;
    std::map<std::string, int> failuresByKind; ///< Programs that ended early, by error kind.
    std::set<std::string> completedKeys; ///< Non-repeatable operations that were reported as completed.
    std::set<std::string> notRunKeys; ///< Non-repeatable operations that were finally refused as not run.
    std::set<std::string> nonRepeatableKeys; ///< All non-repeatable operations that were sent.
};

/// The comparison of a WorkloadRecord with the services' effects.
struct WorkloadResult {
    int programs = 0;
    int finished = 0;
    int lost = 0; ///< Operations reported as completed without an effect, and programs whose state was lost.
    int repeated = 0; ///< Operations with more than one effect.
    int ranDespiteNotRun = 0; ///< Operations refused as not run that had an effect.
    int notRun = 0; ///< Operations refused as not run.
    int wrongAnswers = 0;
    std::map<std::string, int> failuresByKind;

    /// Whether no guarantee was violated. Programs that ended early with a correct error aren't violations.
    bool hasNoViolations() const;
    std::string summary() const;
};

/// Simulated callers of both users (Omaruru and Kitaezo), each on its own thread.
class Workload
{
public:
    Workload(Deployment &deployment, int callerCount, std::uint64_t seed);
    ~Workload();

    /// Starts the callers. Each stops after `programsPerCaller` programs; with 0 they run until finish().
    void start(int programsPerCaller = 0);

    /// Lets running programs end, then compares.
    WorkloadResult finish();

    /// Waits until every caller has run its programs, then compares.
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

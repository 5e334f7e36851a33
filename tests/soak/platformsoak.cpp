// Runs programs on instances and archives under two concurrent sequences of random faults, then compares the responses that
// callers received with the requests that endpoints received.

#include "platform/testinstance.h"
#include "platform/versionedendpoint.h"
#include "soak/callerrecord.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <random>
#include <thread>

namespace
{
using namespace flamingo;

constexpr int InstanceCount = 3;
constexpr int ArchiveCount = 2;
constexpr int CallerCount = 6;
constexpr int TurnsPerProgram = 14; ///< Exceeds the budget, so that some requests are refused.
constexpr Milliseconds CallerPause{30};
constexpr Milliseconds RecoveryTimeout{15000};
constexpr std::array<const char *, 2> Workspaces{"acme", "birds"};
/// One request in this many uses a key that has been removed.
constexpr std::uint64_t RemovedKeyPeriod = 10;
/// In a series of configurations: their number, and how long after one of them is accepted an undisturbed instance has it.
constexpr int SeriesLength = 60;
constexpr Milliseconds ConfigurationLimit{3000};
/// How long a fault at an instance counts as a disturbance after its end.
constexpr Milliseconds CatchUpTime{4000};
/// Versions whose routes the newest one still has.
constexpr int KeptRoutes = 2 * SeriesLength;
/// Endpoints of two software versions serve streams that are taken up again; now and then one of an older version is replaced by one of a newer.
constexpr int VersionedCallerCount = 2;
constexpr int VersionCount = 12;
constexpr int EndpointsPerVersion = 2;
constexpr std::size_t ServingEndpoints = 2 * EndpointsPerVersion;
constexpr Milliseconds StreamTime{60};
constexpr int TakeUpTries = 3;
/// Time for the other archive to upload to the store the turns of which it holds the only copy.
constexpr Milliseconds PauseAfterWipe{5000};

void respond(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request)
{
    const std::string text = CallerRecord::responseText(request.head.fields.value("X-Attempt-Id"));
    if (request.head.target.rfind("/book/", 0) == 0 || request.head.target.rfind("/v", 0) == 0) {
        connection.write(ScriptedEndpoint::response(request, text));
        return;
    }
    connection.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    connection.writeLater(Milliseconds(20), ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, text)) + "0\r\n\r\n");
}

struct TestSystem {
    explicit TestSystem(bool hasWorkspaces)
        : hasWorkspaces(hasWorkspaces)
        , endpoint(respond)
    {
        putConfiguration(1);
        registerEndpoint(store, "i-1", endpoint);
        for (int n = 0; n < VersionCount * EndpointsPerVersion; ++n) {
            const bool breaksOff = n % 3 == 0;
            versionedEndpoints.push_back(std::make_unique<VersionedEndpoint>(fmt::format("v{}", n / EndpointsPerVersion), breaksOff));
        }
        for (std::size_t n = 0; n < ServingEndpoints; ++n) {
            registerVersioned(n);
        }
        for (int n = 0; n < ArchiveCount; ++n) {
            archives.push_back(std::make_unique<TestArchive>(store, n + 1));
        }
        for (int n = 0; n < InstanceCount; ++n) {
            instances.push_back(std::make_unique<TestInstance>(store, n + 1));
        }
    }

    static std::string key(const std::string &workspace, int number)
    {
        return fmt::format("{}-key-{}", workspace, number);
    }

    /// Each version has two keys for each workspace: the newest and the one before.
    void putConfiguration(int version)
    {
        std::map<std::string, std::vector<std::string>> keys;
        for (const std::string workspace : Workspaces) {
            keys[workspace] = {key(workspace, version), key(workspace, version - 1)};
        }
        std::string routes;
        for (int n = std::max(1, version - KeptRoutes); n <= version; ++n) {
            routes += fmt::format(R"(,{{"name":"r-v{0}","host":"h.example","prefix":"/v{0}/","type":"non_idempotent","timeout-ms":3000,"service":"app"}})", n);
        }
        routes +=
            R"(,{"name":"r-resume","host":"h.example","prefix":"/resume/","type":"streaming","resumable":true,"timeout-ms":3000,"max-attempts":2,"service":"versions"})";
        const std::string configuration = testConfiguration(version, routes);
        store.put("op/config", hasWorkspaces ? withWorkspaces(configuration, keys) : configuration);
        newestKey = version;
    }

    void registerVersioned(std::size_t n)
    {
        registerEndpoint(store, fmt::format("version-{}", n), versionedEndpoints[n]->endpoint(), "ready", versionedEndpoints[n]->version(), "versions");
    }

    /// Replaces endpoints of older versions by newer ones, one at a time, until there are no more or the end has come.
    void releaseVersions(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        for (std::size_t n = ServingEndpoints; n < versionedEndpoints.size() && !isStopping; ++n) {
            std::this_thread::sleep_for(Milliseconds(500 + random() % 2500));
            registerVersioned(n);
            store.remove(fmt::format("servers/version-{}", n - ServingEndpoints));
        }
    }

    const bool hasWorkspaces;
    std::atomic<int> newestKey{0};
    KvStandIn store;
    ScriptedEndpoint endpoint;
    std::vector<std::unique_ptr<VersionedEndpoint>> versionedEndpoints;
    std::vector<std::unique_ptr<TestArchive>> archives;
    std::vector<std::unique_ptr<TestInstance>> instances;
    std::array<std::atomic<bool>, InstanceCount> isDisturbed{};
    std::array<std::atomic<Instant>, InstanceCount> disturbedUntil{}; ///< The end of the last fault at the instance.
    std::atomic<int> lateConfigurations{0};
    std::atomic<bool> isStopping{false};
};

/// Injects random faults one after the other; each ends before the next one begins.
class FaultInjector
{
public:
    FaultInjector(TestSystem &system, CallerRecord &record, std::uint64_t seed)
        : m_system(system)
        , m_record(record)
        , m_random(seed)
    {
    }

    void injectStoreFault()
    {
        static constexpr std::array<std::pair<KvStandIn::Fault, const char *>, 4> faults{{{KvStandIn::Fault::Unavailable, "store-refuses"},
                                                                                          {KvStandIn::Fault::Unresponsive, "store-silent"},
                                                                                          {KvStandIn::Fault::StalledWatches, "store-deaf"},
                                                                                          {KvStandIn::Fault::LostResponses, "store-loses-answers"}}};
        const auto &[fault, name] = faults[m_random() % faults.size()];
        printFault(name, 0);
        m_system.store.setFault(fault);
        sleepForFaultDuration();
        m_system.store.setFault(KvStandIn::Fault::None);
        m_system.putConfiguration(++m_configurationVersion);
        m_record.addKeyRemoval(m_configurationVersion - 2, std::chrono::steady_clock::now());
    }

    /// Configurations in quick succession. Instances without a fault have to serve each in time.
    void injectConfigurationSeries()
    {
        printFault("configuration-series", 0);
        std::vector<Instant> acceptedAt;
        const int first = m_configurationVersion + 1;
        for (int n = 0; n < SeriesLength; ++n) {
            m_system.putConfiguration(++m_configurationVersion);
            acceptedAt.push_back(std::chrono::steady_clock::now());
            std::this_thread::sleep_for(Milliseconds(40 + m_random() % 80));
            const auto isDue = [](Instant at) { return at + ConfigurationLimit < std::chrono::steady_clock::now(); };
            const auto due = std::count_if(acceptedAt.begin(), acceptedAt.end(), isDue);
            if (due > 0) {
                checkConfiguration(first + static_cast<int>(due) - 1);
            }
        }
    }

    void injectStoreFaultOrSeries()
    {
        // Only callers without keys are checked for late configurations.
        m_random() % 3 == 0 && !m_system.hasWorkspaces ? injectConfigurationSeries() : injectStoreFault();
    }

    void injectProcessFault()
    {
        const std::size_t n = m_random() % InstanceCount;
        m_system.isDisturbed[n] = true;
        injectProcessFault(n);
        m_system.disturbedUntil[n] = std::chrono::steady_clock::now();
        m_system.isDisturbed[n] = false;
    }

private:
    bool isUndisturbed(std::size_t n) const
    {
        return !m_system.isDisturbed[n] && m_system.disturbedUntil[n].load() + CatchUpTime < std::chrono::steady_clock::now();
    }

    void checkConfiguration(int version)
    {
        constexpr int StatusNotFound = 404;
        for (std::size_t n = 0; n < InstanceCount; ++n) {
            if (!isUndisturbed(n)) {
                continue;
            }
            SentRequest request;
            request.kind = SentRequest::Kind::NonRepeatable;
            request.attemptId = fmt::format("series-{}-{}-{}", n, version, ++m_lastProbe);
            request.instance = n;
            request.input = "in " + request.attemptId;
            request.sentAt = std::chrono::steady_clock::now();
            const std::string bytes = callerRequest(fmt::format("/v{}/a", version), request.attemptId, {}, request.input);
            const CallerResponse response = m_system.instances[n]->send(bytes, Milliseconds(1000));
            request.status = response.status;
            request.isComplete = response.isComplete;
            request.body = response.body;
            m_record.add(request);
            if (response.status == StatusNotFound && isUndisturbed(n)) {
                fmt::print("broken: instance {} doesn't have configuration {} in time\n", n + 1, version);
                ++m_system.lateConfigurations;
            }
        }
    }

    void injectProcessFault(std::size_t n)
    {
        TestInstance &instance = *m_system.instances[n];
        switch (m_random() % 5) {
        case 0:
            printFault("kill", n);
            instance.process().kill();
            sleepForFaultDuration();
            instance.killAndRestart();
            break;
        case 1:
            printFault("freeze", n);
            instance.process().sendSignal(SIGSTOP);
            sleepForFaultDuration();
            instance.process().sendSignal(SIGCONT);
            break;
        case 2:
            printFault("planned-stop", n);
            instance.process().terminate(10);
            instance.killAndRestart();
            break;
        case 3:
            crashArchive(false);
            break;
        default:
            crashArchive(true);
        }
    }

    void crashArchive(bool wipesDisk)
    {
        const std::size_t n = m_random() % ArchiveCount;
        printFault(wipesDisk ? "wipe-archive" : "kill-archive", n);
        m_system.archives[n]->process().kill();
        if (wipesDisk) {
            m_system.archives[n]->wipeDisk();
        }
        sleepForFaultDuration();
        m_system.archives[n]->start();
        std::this_thread::sleep_for(wipesDisk ? PauseAfterWipe : Milliseconds(0));
    }

    void sleepForFaultDuration()
    {
        std::this_thread::sleep_for(Milliseconds(300 + m_random() % 4000));
    }

    static void printFault(const char *fault, std::size_t n)
    {
        fmt::print("fault: {} {}\n", fault, n + 1);
        std::fflush(stdout);
    }

    TestSystem &m_system;
    CallerRecord &m_record;
    std::mt19937_64 m_random;
    int m_configurationVersion = 1;
    int m_lastProbe = 0;
};

/// Runs programs one after the other, and sends each request to a random instance. Two callers of different workspaces use the same
/// program ids.
class Caller
{
public:
    Caller(TestSystem &system, CallerRecord &record, int number, std::uint64_t seed)
        : m_system(system)
        , m_record(record)
        , m_callerNumber(number)
        , m_workspace(Workspaces[static_cast<std::size_t>(number) % Workspaces.size()])
        , m_random(seed * 100 + static_cast<std::uint64_t>(number))
    {
    }

    void run()
    {
        for (int n = 0; !m_system.isStopping; ++n) {
            m_programId = fmt::format("p{}-{}", m_system.hasWorkspaces ? m_callerNumber / static_cast<int>(Workspaces.size()) : m_callerNumber, n);
            std::string lastStatefulTurn;
            for (int turn = 0; turn < TurnsPerProgram && !m_system.isStopping; ++turn) {
                send(SentRequest::Kind::ResumableStream, {});
                send(SentRequest::Kind::NonRepeatable, {});
                const SentRequest statefulTurn = send(SentRequest::Kind::StatefulTurn, lastStatefulTurn);
                lastStatefulTurn = statefulTurn.status == 200 && statefulTurn.isComplete ? statefulTurn.attemptId : lastStatefulTurn;
                std::this_thread::sleep_for(CallerPause);
            }
        }
    }

    SentRequest send(SentRequest::Kind kind, const std::string &previousAttemptId)
    {
        SentRequest request;
        request.kind = kind;
        request.attemptId = fmt::format("{}-{}-{}", m_workspace, m_programId, ++m_lastAttemptNumber);
        request.programId = m_programId;
        request.previousAttemptId = previousAttemptId;
        request.input = "in " + request.attemptId + ' ';
        const char *path = kind == SentRequest::Kind::NonRepeatable ? "/book/a" : kind == SentRequest::Kind::ResumableStream ? "/stream/a" : "/chat/a";
        std::string headerLines = fmt::format("X-Program-Id: {}\r\nX-Session-Id: s\r\n", m_programId);
        if (m_system.hasWorkspaces) {
            request.workspace = m_workspace;
            request.keyNumber = chooseKey();
            headerLines += fmt::format("X-Tenant: other\r\nAuthorization: Token {}\r\n", TestSystem::key(m_workspace, *request.keyNumber));
        }
        if (kind == SentRequest::Kind::ResumableStream) {
            headerLines += fmt::format("X-Token-Budget: {}\r\nX-Token-Usage: 110,{}\r\nX-Prompt-Prefix: aa:100,{:x}:10\r\n",
                                       CallerRecord::TokenBudget,
                                       CallerRecord::MaxTokensPerStream,
                                       m_lastAttemptNumber);
        }
        headerLines += previousAttemptId.empty() ? std::string() : "X-Previous-Turn: " + previousAttemptId + "\r\n";
        request.instance = m_random() % InstanceCount;
        request.sentAt = std::chrono::steady_clock::now();
        const CallerResponse response = m_system.instances[request.instance]->send(callerRequest(path, request.attemptId, headerLines, request.input));
        request.status = response.status;
        request.isComplete = response.isComplete;
        request.body = response.body;
        m_record.add(request);
        return request;
    }

private:
    /// Usually the key before the newest one, which an instance knows that hasn't got the newest configuration yet.
    int chooseKey()
    {
        const int validKey = m_system.newestKey - 1;
        const bool usesRemovedKey = validKey > 0 && m_random() % RemovedKeyPeriod == 0;
        return usesRemovedKey ? static_cast<int>(m_random() % static_cast<std::uint64_t>(validKey)) : validKey;
    }

    TestSystem &m_system;
    CallerRecord &m_record;
    int m_callerNumber;
    std::string m_workspace;
    std::mt19937_64 m_random;
    std::string m_programId = "last";
    int m_lastAttemptNumber = 0;
};

/// Leaves streams in the middle and takes them up again, each at a random instance.
class VersionedCaller
{
public:
    VersionedCaller(TestSystem &system, int number, std::uint64_t seed)
        : m_system(system)
        , m_number(number)
        , m_random(seed * 100 + static_cast<std::uint64_t>(number))
    {
    }

    void run()
    {
        for (int n = 0; !m_system.isStopping; ++n) {
            const std::string id = fmt::format("resume-{}-{}", m_number, n);
            m_system.instances[m_random() % InstanceCount]->sendAndDisconnect(callerRequest("/resume/a", id), StreamTime);
            const auto began = versionsThatReceived(m_system.versionedEndpoints, id);
            // A request that was sent again before its first event may have reached two versions; which one began the stream isn't known here.
            const bool isBegun = began.size() == 1;
            bool isContinued = !isBegun;
            for (int k = 0; k < TakeUpTries && !isContinued; ++k) {
                const std::string tryId = fmt::format("{}-{}", id, k);
                const std::string fields = fmt::format("Last-Event-Id: 2\r\nResumes: {}\r\n", id);
                isContinued = m_system.instances[m_random() % InstanceCount]->send(callerRequest("/resume/a", tryId, fields), Milliseconds(3500)).isComplete;
                checkVersions(tryId, began);
            }
            m_continued += isContinued && isBegun ? 1 : 0;
        }
    }

    int continuedStreams() const
    {
        return m_continued;
    }

    int joinedStreams() const
    {
        return m_joined;
    }

private:
    void checkVersions(const std::string &id, const std::set<std::string> &began)
    {
        std::set<std::string> versions = versionsThatReceived(m_system.versionedEndpoints, id);
        if (versions.empty()) {
            return;
        }
        versions.insert(began.begin(), began.end());
        if (versions.size() > 1) {
            fmt::print("broken: {} is joined from versions {} and {}\n", id, *versions.begin(), *versions.rbegin());
            ++m_joined;
        }
    }

    TestSystem &m_system;
    int m_number;
    std::mt19937_64 m_random;
    int m_continued = 0;
    int m_joined = 0;
};

/// Writes the logs of the instances to the working directory.
void writeLogs(const TestSystem &system, std::uint64_t seed)
{
    for (std::size_t n = 0; n < system.instances.size(); ++n) {
        const std::string name = fmt::format("platform-soak-{}-instance-{}.log", seed, n + 1);
        std::ofstream(name) << system.instances[n]->log();
        fmt::print("log: {}\n", name);
    }
}

/// Waits until a request of each kind gets a complete response. Returns false if one doesn't within the timeout.
bool awaitRecovery(TestSystem &system, CallerRecord &record, std::uint64_t seed)
{
    Caller caller(system, record, CallerCount, seed);
    for (const auto kind : {SentRequest::Kind::NonRepeatable, SentRequest::Kind::ResumableStream, SentRequest::Kind::StatefulTurn}) {
        const bool isCompleted = eventually([&] { return caller.send(kind, {}).isComplete; }, RecoveryTimeout);
        if (!isCompleted) {
            return false;
        }
    }
    return true;
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("platform-soak", "Checks all guarantees under random faults, on the platform's interfaces");
    options.add_options()("seconds", "Duration in seconds", cxxopts::value<int>()->default_value("60"));
    options.add_options()("seed", "Seed of the faults and of the callers", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("workspaces", "Callers have keys of workspaces, which change with each fault of the store", cxxopts::value<bool>());
    const auto arguments = options.parse(argc, argv);
    const auto seed = arguments["seed"].as<std::uint64_t>();
    const Instant end = std::chrono::steady_clock::now() + std::chrono::seconds(arguments["seconds"].as<int>());
    TestSystem system(arguments.count("workspaces") != 0);
    const bool isStarted = std::all_of(system.instances.begin(), system.instances.end(), [](const auto &it) { return it->awaitReady(); });
    CallerRecord record;
    std::vector<std::thread> callers;
    for (int n = 0; n < CallerCount; ++n) {
        callers.emplace_back([&, n] { Caller(system, record, n, seed).run(); });
    }
    std::vector<VersionedCaller> versionedCallers;
    for (int n = 0; n < VersionedCallerCount && !system.hasWorkspaces; ++n) {
        versionedCallers.emplace_back(system, n, seed);
    }
    for (VersionedCaller &it : versionedCallers) {
        callers.emplace_back([&it] { it.run(); });
    }
    std::thread releases([&] { system.releaseVersions(seed + 3000); });
    const auto injectFaultsUntilEnd = [&](std::uint64_t offset, void (FaultInjector::*injectFault)()) {
        FaultInjector injector(system, record, seed + offset);
        while (std::chrono::steady_clock::now() < end) {
            (injector.*injectFault)();
            std::this_thread::sleep_for(Milliseconds(1000));
        }
    };
    std::thread storeFaults([&] { injectFaultsUntilEnd(1000, &FaultInjector::injectStoreFaultOrSeries); });
    injectFaultsUntilEnd(2000, &FaultInjector::injectProcessFault);
    storeFaults.join();
    system.isStopping = true;
    releases.join();
    for (std::thread &caller : callers) {
        caller.join();
    }
    int continuedStreams = 0;
    int joinedStreams = 0;
    for (const VersionedCaller &it : versionedCallers) {
        continuedStreams += it.continuedStreams();
        joinedStreams += it.joinedStreams();
    }
    const bool areStreamsSound = joinedStreams == 0 && (system.hasWorkspaces || continuedStreams > 0);
    const bool isRecovered = awaitRecovery(system, record, seed);
    const auto violations = record.findViolations(system.endpoint.requests());
    for (const std::string &violation : violations) {
        fmt::print("broken: {}\n", violation);
    }
    if (!violations.empty() || system.lateConfigurations != 0 || !areStreamsSound) {
        writeLogs(system, seed);
    }
    const auto [completed, total] = record.completedAndTotal();
    fmt::print("soak: seed {}, started {}, recovered {}, {} of {} served, {} with a removed key, {} late configurations, {} streams continued, {} joined, {} "
               "promises broken\n",
               seed,
               isStarted,
               isRecovered,
               completed,
               total,
               record.countWithRemovedKey(),
               system.lateConfigurations.load(),
               continuedStreams,
               joinedStreams,
               violations.size());
    return isStarted && isRecovered && violations.empty() && system.lateConfigurations == 0 && areStreamsSound ? 0 : 1;
}

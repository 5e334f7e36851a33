#include "harness/workload.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

bool WorkloadResult::hasNoViolations() const
{
    return lost == 0 && repeated == 0 && ranDespiteNotRun == 0 && wrongAnswers == 0;
}

std::string WorkloadResult::summary() const
{
    std::string failureText;
    for (const auto &[kind, count] : failuresByKind) {
        failureText += fmt::format(" {}={}", kind.empty() ? "no-answer" : kind, count);
    }
    return fmt::format("{} programs, {} finished, {} lost, {} repeated, {} refused as not run ({} falsely), {} wrong answers; ended early:{}",
                       programs,
                       finished,
                       lost,
                       repeated,
                       notRun,
                       ranDespiteNotRun,
                       wrongAnswers,
                       failureText.empty() ? " none" : failureText);
}

class Workload::Caller
{
public:
    Caller(Deployment &deployment, WorkloadRecord &record, std::uint64_t seed)
        : m_record(record)
        , m_random(seed)
    {
        for (std::size_t n = 0; n < deployment.plan().instanceDomains.size(); ++n) {
            m_entryPorts.push_back(deployment.entryPort(static_cast<int>(n)));
        }
        std::shuffle(m_entryPorts.begin(), m_entryPorts.end(), m_random);
    }

    void runProgram(std::uint64_t n)
    {
        ++m_record.programs;
        m_failure.reset();
        switch (n % 4) {
        case 0:
            runUrgentQuery();
            break;
        case 1:
            runOrder();
            break;
        case 2:
            runLookup();
            break;
        default:
            runConversation();
        }
        if (!m_failure) {
            ++m_record.finished;
            return;
        }
        const std::lock_guard<std::mutex> lock(m_record.mutex);
        ++m_record.failuresByKind[*m_failure];
    }

private:
    ProgramClient makeClient(const std::string &caller)
    {
        return {m_client, m_entryPorts, Deployment::callerKey(caller)};
    }

    bool startProgram(ProgramClient &client, const std::string &agent, const std::string &parent = {})
    {
        const bool isStarted = client.start(agent, parent);
        if (!isStarted) {
            m_failure = "not-started";
        }
        return isStarted;
    }

    bool checkResult(const CallResult &result)
    {
        if (!result.isOk() && !m_failure) {
            m_failure = result.errorKind;
        }
        return result.isOk();
    }

    void pauseRandomly()
    {
        std::this_thread::sleep_for(Milliseconds(m_random() % 30));
    }

    // Sends an operation that must not be repeated and records what the response claims about its effect.
    bool bookOnce(ProgramClient &client, const std::string &what)
    {
        const std::string key = fmt::format("{}/{}", client.programId(), client.nextCallNumber());
        const auto result = client.callService("book", what);
        const std::lock_guard<std::mutex> lock(m_record.mutex);
        m_record.nonRepeatableKeys.insert(key);
        if (result.isOk()) {
            m_record.completedKeys.insert(key);
        } else if (result.runState == "not-run") {
            m_record.notRunKeys.insert(key);
        }
        return checkResult(result);
    }

    void endProgram(ProgramClient &client)
    {
        m_record.wrongAnswers += client.wrongAnswers();
        (void)client.end();
    }

    // Omaruru: one short, urgent model call.
    void runUrgentQuery()
    {
        auto client = makeClient("omaruru");
        if (startProgram(client, "urgent")) {
            checkResult(client.callModel("Power for a hospital tent now?", 16));
            endProgram(client);
        }
    }

    // Omaruru: a model call, an operation that must not be repeated, and a second model call.
    void runOrder()
    {
        auto client = makeClient("omaruru");
        if (!startProgram(client, "normal")) {
            return;
        }
        if (checkResult(client.callModel("Quote a genset for a camp near Arandis.", 40))) {
            pauseRandomly();
            if (bookOnce(client, "fuel bowser")) {
                pauseRandomly();
                checkResult(client.callModel("Confirm to the crew.", 24));
            }
        }
        endProgram(client);
    }

    // Kitaezo: a repeatable operation and a short model call.
    void runLookup()
    {
        auto client = makeClient("kitaezo");
        if (startProgram(client, "normal")) {
            if (checkResult(client.callService("lookup", "crane"))) {
                checkResult(client.callModel("Which crane is this?", 20));
            }
            endProgram(client);
        }
    }

    // Kitaezo: several model calls, a child program, and an operation that must not be repeated.
    void runConversation()
    {
        auto client = makeClient("kitaezo");
        if (!startProgram(client, "batch")) {
            return;
        }
        bool isOk = true;
        for (int n = 0; isOk && n < 4; ++n) {
            isOk = checkResult(client.callModel(fmt::format("Entry {} of my season list.", n), 30));
            pauseRandomly();
        }
        auto child = makeClient("kitaezo");
        if (isOk && startProgram(child, "normal", client.programId())) {
            checkResult(child.callModel("Check the rare ones.", 20));
            endProgram(child);
        }
        if (!m_failure) {
            bookOnce(client, "checklist");
        }
        endProgram(client);
    }

    WorkloadRecord &m_record;
    HttpClient m_client;
    std::vector<std::uint16_t> m_entryPorts;
    std::mt19937_64 m_random;
    std::optional<std::string> m_failure;
};

Workload::Workload(Deployment &deployment, int callerCount, std::uint64_t seed)
    : m_deployment(deployment)
    , m_callerCount(callerCount)
    , m_seed(seed)
{
}

Workload::~Workload()
{
    m_isStopping = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void Workload::start(int programsPerCaller)
{
    for (int n = 0; n < m_callerCount; ++n) {
        m_threads.emplace_back([this, n, programsPerCaller] {
            Caller caller(m_deployment, m_record, m_seed * 1000 + static_cast<std::uint64_t>(n));
            for (int k = 0; !m_isStopping && (programsPerCaller == 0 || k < programsPerCaller); ++k) {
                caller.runProgram(static_cast<std::uint64_t>(n + k));
            }
        });
    }
}

WorkloadResult Workload::finish()
{
    m_isStopping = true;
    return wait();
}

WorkloadResult Workload::wait()
{
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return compareWithServices();
}

int Workload::finishedProgramCount() const
{
    return m_record.finished;
}

// Compares against the effects that the services recorded themselves.
WorkloadResult Workload::compareWithServices()
{
    std::map<std::string, int> effects;
    for (int n = 0; n < m_deployment.plan().services; ++n) {
        const auto recorded = m_deployment.getJson(m_deployment.servicePort(n), "/effects");
        for (auto it = recorded.begin(); it != recorded.end(); ++it) {
            effects[it.key()] += it.value().get<int>();
        }
    }
    WorkloadResult result;
    result.programs = m_record.programs;
    result.finished = m_record.finished;
    result.wrongAnswers = m_record.wrongAnswers;
    result.failuresByKind = m_record.failuresByKind;
    result.notRun = static_cast<int>(m_record.notRunKeys.size());
    for (const std::string &key : m_record.nonRepeatableKeys) {
        result.repeated += effects[key] > 1 ? 1 : 0;
    }
    for (const std::string &key : m_record.completedKeys) {
        result.lost += effects[key] == 0 ? 1 : 0;
    }
    for (const std::string &key : m_record.notRunKeys) {
        result.ranDespiteNotRun += effects[key] != 0 ? 1 : 0;
    }
    for (const char *kind : {"unknown-program", "call-conflict", "call-out-of-order"}) {
        const auto it = m_record.failuresByKind.find(kind);
        result.lost += it == m_record.failuresByKind.end() ? 0 : it->second;
    }
    return result;
}

} // namespace flamingo

#include "harness/workload.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

bool Verdict::isClean() const
{
    return lost == 0 && repeated == 0 && falselyNotRun == 0 && wrongAnswers == 0;
}

std::string Verdict::text() const
{
    std::string early;
    for (const auto &[kind, count] : failures) {
        early += fmt::format(" {}={}", kind.empty() ? "no-answer" : kind, count);
    }
    return fmt::format("{} programs, {} finished, {} lost, {} repeated, {} refused as not run ({} falsely), {} wrong answers; ended early:{}",
                       programs,
                       finished,
                       lost,
                       repeated,
                       refused,
                       falselyNotRun,
                       wrongAnswers,
                       early.empty() ? " none" : early);
}

class Workload::Caller
{
public:
    Caller(Deployment &deployment, Tally &tally, std::uint64_t seed)
        : m_tally(tally)
        , m_random(seed)
    {
        for (std::size_t n = 0; n < deployment.plan().instanceDomains.size(); ++n) {
            m_entries.push_back(deployment.entryPort(static_cast<int>(n)));
        }
        std::shuffle(m_entries.begin(), m_entries.end(), m_random);
    }

    void runProgram(std::uint64_t n)
    {
        ++m_tally.programs;
        m_failure.reset();
        switch (n % 4) {
        case 0:
            urgentQuery();
            break;
        case 1:
            order();
            break;
        case 2:
            sighting();
            break;
        default:
            seasonList();
        }
        if (!m_failure) {
            ++m_tally.finished;
            return;
        }
        const std::lock_guard<std::mutex> lock(m_tally.mutex);
        ++m_tally.failures[*m_failure];
    }

private:
    ProgramClient makeClient(const std::string &caller)
    {
        return {m_client, m_entries, Deployment::callerKey(caller)};
    }

    bool start(ProgramClient &client, const std::string &agent, const std::string &parent = {})
    {
        const bool isStarted = client.start(agent, parent);
        if (!isStarted) {
            m_failure = "not-started";
        }
        return isStarted;
    }

    bool check(const CallerAnswer &answer)
    {
        if (!answer.isOk() && !m_failure) {
            m_failure = answer.errorKind;
        }
        return answer.isOk();
    }

    void pause()
    {
        std::this_thread::sleep_for(Milliseconds(m_random() % 30));
    }

    // Books once and notes what the answer claims about the effect.
    bool book(ProgramClient &client, const std::string &what)
    {
        const std::string key = fmt::format("{}/{}", client.program(), client.nextNumber());
        const auto answer = client.operate("book", what);
        const std::lock_guard<std::mutex> lock(m_tally.mutex);
        m_tally.once.insert(key);
        if (answer.isOk()) {
            m_tally.done.insert(key);
        } else if (answer.runState == "not-run") {
            m_tally.notRun.insert(key);
        }
        return check(answer);
    }

    void end(ProgramClient &client)
    {
        m_tally.wrongAnswers += client.wrongAnswers();
        (void)client.end();
    }

    // Omaruru: an urgent power query, one short call.
    void urgentQuery()
    {
        auto client = makeClient("omaruru");
        if (start(client, "urgent")) {
            check(client.ask("Power for a hospital tent now?", 16));
            end(client);
        }
    }

    // Omaruru: a quote, a dispatch that must not be repeated, and a confirmation.
    void order()
    {
        auto client = makeClient("omaruru");
        if (!start(client, "normal")) {
            return;
        }
        if (check(client.ask("Quote a genset for a camp near Arandis.", 40))) {
            pause();
            if (book(client, "fuel bowser")) {
                pause();
                check(client.ask("Confirm to the crew.", 24));
            }
        }
        end(client);
    }

    // Kitaezo: a quick sighting question with a look-up.
    void sighting()
    {
        auto client = makeClient("kitaezo");
        if (start(client, "normal")) {
            if (check(client.operate("lookup", "crane"))) {
                check(client.ask("Which crane is this?", 20));
            }
            end(client);
        }
    }

    // Kitaezo: a long conversation with a sub-agent and a submission.
    void seasonList()
    {
        auto client = makeClient("kitaezo");
        if (!start(client, "batch")) {
            return;
        }
        bool isOk = true;
        for (int n = 0; isOk && n < 4; ++n) {
            isOk = check(client.ask(fmt::format("Entry {} of my season list.", n), 30));
            pause();
        }
        auto child = makeClient("kitaezo");
        if (isOk && start(child, "normal", client.program())) {
            check(child.ask("Check the rare ones.", 20));
            end(child);
        }
        if (!m_failure) {
            book(client, "checklist");
        }
        end(client);
    }

    Tally &m_tally;
    HttpClient m_client;
    std::vector<std::uint16_t> m_entries;
    std::mt19937_64 m_random;
    std::optional<std::string> m_failure;
};

Workload::Workload(Deployment &deployment, int callers, std::uint64_t seed)
    : m_deployment(deployment)
    , m_callers(callers)
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

void Workload::start(int programsEach)
{
    for (int n = 0; n < m_callers; ++n) {
        m_threads.emplace_back([this, n, programsEach] {
            Caller caller(m_deployment, m_tally, m_seed * 1000 + static_cast<std::uint64_t>(n));
            for (int k = 0; !m_isStopping && (programsEach == 0 || k < programsEach); ++k) {
                caller.runProgram(static_cast<std::uint64_t>(n + k));
            }
        });
    }
}

Verdict Workload::finish()
{
    m_isStopping = true;
    return wait();
}

Verdict Workload::wait()
{
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return compare();
}

int Workload::programsFinished() const
{
    return m_tally.finished;
}

// The services' own record of effects is the judge.
Verdict Workload::compare()
{
    std::map<std::string, int> effects;
    for (int n = 0; n < m_deployment.plan().services; ++n) {
        const auto recorded = m_deployment.get(m_deployment.servicePort(n), "/effects");
        for (auto it = recorded.begin(); it != recorded.end(); ++it) {
            effects[it.key()] += it.value().get<int>();
        }
    }
    Verdict verdict;
    verdict.programs = m_tally.programs;
    verdict.finished = m_tally.finished;
    verdict.wrongAnswers = m_tally.wrongAnswers;
    verdict.failures = m_tally.failures;
    verdict.refused = static_cast<int>(m_tally.notRun.size());
    for (const std::string &key : m_tally.once) {
        verdict.repeated += effects[key] > 1 ? 1 : 0;
    }
    for (const std::string &key : m_tally.done) {
        verdict.lost += effects[key] == 0 ? 1 : 0;
    }
    for (const std::string &key : m_tally.notRun) {
        verdict.falselyNotRun += effects[key] != 0 ? 1 : 0;
    }
    for (const char *kind : {"unknown-program", "call-conflict", "call-out-of-order"}) {
        const auto it = m_tally.failures.find(kind);
        verdict.lost += it == m_tally.failures.end() ? 0 : it->second;
    }
    return verdict;
}

} // namespace flamingo

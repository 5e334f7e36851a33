// Measures the slopes that docs/CAPACITY.md uses: how memory, CPU time, bytes and store calls grow with the size of the
// system. Each printed line has the figures of one measurement at one size.

#include "configuration/configuration.h"
#include "core/crypto.h"
#include "policy/dispatcher.h"
#include "programs/programtable.h"
#include "scheduler/schedulercore.h"
#include "slopes/controlsimulation.h"
#include "unit/fakestore.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <random>
#include <string>
#include <unistd.h>

namespace
{
using namespace flamingo;

void printLine(const std::string &text)
{
    fmt::print("{}\n", text);
    std::fflush(stdout);
}

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double residentBytes()
{
    malloc_trim(0);
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

ProgramStarted makeProgramStarted(const ProgramId &id)
{
    ProgramStarted start;
    start.program = id;
    start.caller = CallerId("omaruru");
    start.agent = AgentId("quote");
    start.budget = Tokens(1000000);
    return start;
}

void addTurn(ProgramTable &table, const ProgramId &id, std::uint32_t number, std::size_t inputBytes, std::size_t answerBytes)
{
    Outcome outcome;
    outcome.text = std::string(answerBytes, 'a');
    outcome.cost = Tokens(100);
    const TurnCommitted turn{id, CallNumber(number), digestOf(std::to_string(number)), table.find(id)->historyDigest, std::string(inputBytes, 'q'), outcome};
    (void)table.apply(turn);
}

void fillTable(ProgramTable &table, int programs, std::uint32_t turns, std::size_t inputBytes, std::size_t answerBytes)
{
    for (int n = 0; n < programs; ++n) {
        const ProgramId id(fmt::format("0-{:016x}", n));
        (void)table.apply(makeProgramStarted(id));
        for (std::uint32_t turn = 1; turn <= turns; ++turn) {
            addTurn(table, id, turn, inputBytes, answerBytes);
        }
    }
}

void measureProgramMemory()
{
    for (const int programs : {50000, 200000, 780000}) {
        const double before = residentBytes();
        ProgramTable table;
        fillTable(table, programs, 0, 0, 0);
        printLine(fmt::format("program-memory programs={} turns=0 bytes_per_program={:.0f}", programs, (residentBytes() - before) / programs));
    }
    for (const std::uint32_t turns : {10U, 45U, 180U}) {
        constexpr int Programs = 2000;
        const double before = residentBytes();
        ProgramTable table;
        fillTable(table, Programs, turns, 400, 1200);
        printLine(fmt::format(
            "turn-memory programs={} turns={} text_bytes=1600 bytes_per_turn={:.0f}", Programs, turns, (residentBytes() - before) / Programs / turns));
    }
}

void measureRecords()
{
    Outcome outcome;
    outcome.text = std::string(1200, 'a');
    const ProgramId id("17-0123456789abcdef");
    const Digest digest = digestOf("x");
    const TurnCommitted turn{id, CallNumber(90), digest, digest, std::string(400, 'q'), outcome};
    const auto encodedSize = [](const Record &record) { return toCbor(encodeRecord(record)).size(); };
    printLine(fmt::format("record-bytes turn_with_1600_bytes_of_text={} claim={} reservation={} start={} end={}",
                          encodedSize(turn),
                          encodedSize(CallClaimed{id, CallNumber(90), digest}),
                          encodedSize(BudgetReserved{id, Tokens(123456)}),
                          encodedSize(makeProgramStarted(id)),
                          encodedSize(ProgramEnded{id, "caller"})));
}

void measureTakeover()
{
    for (const int programs : {500, 2000, 8000}) {
        ProgramTable table;
        fillTable(table, programs, 10, 400, 1200);
        const double encodeStart = cpuSeconds();
        const auto chunks = table.encodeSnapshot(700 * 1024);
        const double encodeSeconds = cpuSeconds() - encodeStart;
        std::size_t bytes = 0;
        for (const std::string &chunk : chunks) {
            bytes += chunk.size();
        }
        const double restoreStart = cpuSeconds();
        ProgramTable copy;
        for (const std::string &chunk : chunks) {
            (void)copy.restoreSnapshotChunk(chunk);
        }
        printLine(fmt::format("takeover programs={} turns_each=10 snapshot_mb={:.1f} store_values={} encode_ms={:.0f} rebuild_ms={:.0f}",
                              programs,
                              static_cast<double>(bytes) / 1e6,
                              chunks.size(),
                              encodeSeconds * 1e3,
                              (cpuSeconds() - restoreStart) * 1e3));
    }
}

/// Counts the store calls of one scheduler in simulated time. Calls arrive at a constant rate, and endpoints answer
/// immediately.
class StoreLoadSimulation
{
public:
    StoreLoadSimulation(std::uint32_t shards, double callsPerSecond)
        : m_core(settings(shards), m_metrics)
        , m_shards(shards)
        , m_callsPerSecond(callsPerSecond)
    {
        ConfigurationUpdate update;
        const auto add = [&](ObjectKind kind, const std::string &id, nlohmann::json spec) {
            update.objects.push_back({{kind, id}, TicketNumber(1), std::move(spec)});
        };
        add(ObjectKind::Pool, "llm", {{"serves", "model"}});
        add(ObjectKind::Endpoint, "e0", {{"pool", "llm"}, {"address", "127.0.0.1:1"}, {"domain", "d"}, {"slots", 100000}});
        add(ObjectKind::Agent, "a", {{"pool", "llm"}, {"budget_tokens", 100000000}});
        MemberInfo self;
        self.instance = InstanceId("i");
        self.domain = DomainId("d");
        self.incarnation = 1;
        self.hasScheduler = true;
        setTime();
        m_core.onMessage(1, update);
        m_core.onMessage(1, MembershipUpdate{{self}});
    }

    void run(Milliseconds time)
    {
        const Instant end = m_now + time;
        double dueCalls = 0;
        while (m_now < end) {
            m_now += Milliseconds(5);
            setTime();
            m_core.onTimer();
            performActions();
            dueCalls += m_callsPerSecond * 0.005;
            for (; dueCalls >= 1; dueCalls -= 1) {
                runProgram();
            }
        }
    }

    std::uint64_t storeCalls() const
    {
        return m_storeCalls;
    }

    std::uint64_t storeBytes() const
    {
        return m_storeBytes;
    }

    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    static SchedulerSettings settings(std::uint32_t shards)
    {
        SchedulerSettings settings;
        settings.instance = InstanceId("i");
        settings.domain = DomainId("d");
        settings.domains = {DomainId("d")};
        settings.incarnation = "1";
        settings.shardCount = shards;
        settings.startupDelay = Milliseconds(0);
        settings.rules = PolicyRules::baseline();
        return settings;
    }

    void setTime()
    {
        m_core.setTime(m_now, 1000000 + toMilliseconds(m_now.time_since_epoch()));
    }

    // Each call belongs to a new program, so that the journal receives the program's start, turn and end.
    void runProgram()
    {
        ++m_calls;
        const ProgramId id(fmt::format("{}-{:016x}", m_calls % m_shards, m_calls));
        StartProgram start;
        start.request = m_calls;
        start.caller = CallerId("c");
        start.agent = AgentId("a");
        start.program = id;
        m_core.onMessage(2, start);
        performActions();
        SubmitCall call;
        call.request = m_calls;
        call.caller = CallerId("c");
        call.program = id;
        call.number = CallNumber(1);
        call.input = R"([{"role":"user","content":"hello"}])";
        m_core.onMessage(2, call);
        performActions();
        m_core.onMessage(2, EndProgram{m_calls, CallerId("c"), id, "caller"});
        performActions();
    }

    void performActions()
    {
        for (auto actions = m_core.takeActions(); !actions.empty(); actions = m_core.takeActions()) {
            for (Action &action : actions) {
                if (auto *storeAction = std::get_if<PerformStoreOperation>(&action)) {
                    ++m_storeCalls;
                    m_storeBytes += storeAction->operation.value.size();
                    m_core.onStoreReply(storeAction->shard, FakeStore::perform(m_state, storeAction->operation));
                } else if (auto *attempt = std::get_if<StartAttempt>(&action)) {
                    EndpointResult result;
                    result.attempt = attempt->request.attempt;
                    result.endpoint = attempt->request.endpoint;
                    result.status = EndpointResult::Status::Answered;
                    result.text = std::string(1200, 'a');
                    result.promptTokens = Tokens(10);
                    result.completionTokens = Tokens(300);
                    m_core.onAttemptResult(result);
                }
            }
        }
    }

    Metrics m_metrics;
    SchedulerCore m_core;
    StoreState m_state;
    Instant m_now{std::chrono::seconds(1000)};
    const std::uint32_t m_shards;
    const double m_callsPerSecond;
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_storeBytes = 0;
    std::uint64_t m_calls = 0;
};

void measureStoreCalls()
{
    for (const std::uint32_t shards : {1U, 2U, 8U}) {
        for (const double rate : {10.0, 40.0, 160.0, 640.0}) {
            StoreLoadSimulation load(shards, rate);
            load.run(Milliseconds(500));
            const auto storeCallsBefore = load.storeCalls();
            const auto storeBytesBefore = load.storeBytes();
            const auto callsBefore = load.calls();
            const double cpu = cpuSeconds();
            constexpr double Seconds = 5;
            load.run(Milliseconds(5000));
            printLine(fmt::format(
                "store-load shards={} calls_per_second={} store_calls_per_second={:.1f} journal_bytes_per_call={:.0f} scheduler_cpu_us_per_call={:.0f}",
                shards,
                rate,
                static_cast<double>(load.storeCalls() - storeCallsBefore) / Seconds,
                static_cast<double>(load.storeBytes() - storeBytesBefore) / static_cast<double>(load.calls() - callsBefore),
                (cpuSeconds() - cpu) * 1e6 / static_cast<double>(load.calls() - callsBefore)));
        }
    }
}

void measurePolicy()
{
    for (const int endpoints : {10, 100, 800, 12000}) {
        for (const int queued : {10, 200, 2000}) {
            Dispatcher dispatcher(PolicyRules(), DomainId("d"));
            std::vector<EndpointInfo> infos;
            for (int n = 0; n < endpoints; ++n) {
                infos.push_back({EndpointId(fmt::format("e{}", n)), PoolId("llm"), DomainId("d"), 2, false});
            }
            dispatcher.setEndpoints(infos, 1);
            Instant now{std::chrono::seconds(1000)};
            std::uint64_t lastCallId = 0;
            const auto enqueue = [&] {
                DispatchRequest call;
                call.id = CallId(++lastCallId);
                call.program = ProgramId(fmt::format("0-{}", lastCallId));
                call.pool = PoolId("llm");
                call.priority = PriorityClass::Urgent;
                call.arrivedAt = now;
                call.deadline = now + std::chrono::hours(1);
                call.promptTokens = Tokens(1000);
                call.expectedAnswerTokens = Tokens(100);
                (void)dispatcher.enqueue(call, now);
                return call;
            };
            // Fills the slots (only some of them for more than 1000 endpoints), then the queue. In each round one call ends, a
            // queued call is dispatched and a new call arrives.
            std::vector<std::pair<DispatchRequest, EndpointId>> runningCalls;
            std::map<CallId, DispatchRequest> callsById;
            while (static_cast<int>(runningCalls.size()) < endpoints * 2 && lastCallId < 30000) {
                const auto call = enqueue();
                callsById[call.id] = call;
                const auto decisions = dispatcher.nextDecisions(now);
                for (const DispatchDecision &decision : decisions) {
                    runningCalls.emplace_back(callsById[decision.call], decision.endpoint);
                }
                if (decisions.empty()) {
                    break;
                }
                if (endpoints > 1000 && runningCalls.size() > 400) {
                    break;
                }
            }
            for (int n = 0; n < queued; ++n) {
                const auto call = enqueue();
                callsById[call.id] = call;
            }
            constexpr int Rounds = 200;
            const double start = cpuSeconds();
            int decisionCount = 0;
            for (int n = 0; n < Rounds && !runningCalls.empty(); ++n) {
                now += Milliseconds(1);
                const auto [call, endpoint] = runningCalls.back();
                runningCalls.pop_back();
                dispatcher.onAttemptFinished(call, endpoint, {Milliseconds(50), Milliseconds(500), Tokens(100), Tokens(100)}, now);
                for (const DispatchDecision &decision : dispatcher.nextDecisions(now)) {
                    runningCalls.emplace_back(callsById[decision.call], decision.endpoint);
                    ++decisionCount;
                }
                const auto next = enqueue();
                callsById[next.id] = next;
            }
            printLine(fmt::format(
                "policy endpoints={} queued={} us_per_decision={:.1f}", endpoints, queued, (cpuSeconds() - start) * 1e6 / std::max(1, decisionCount)));
        }
    }
}

ConfigObject agentObject(int n, std::uint64_t ticket)
{
    const nlohmann::json spec = {{"pool", "llm"}, {"services", {"dispatch", "booking"}}, {"budget_tokens", 100000}, {"system_prompt", std::string(200, 'p')}};
    return {{ObjectKind::Agent, fmt::format("workspace-{}", n)}, TicketNumber(ticket), spec};
}

void measureConfiguration()
{
    for (const int workspaces : {2000, 22000}) {
        const double before = residentBytes();
        const double start = cpuSeconds();
        Configuration configuration;
        for (int n = 0; n < workspaces; ++n) {
            configuration.merge(agentObject(n, 1));
            const nlohmann::json caller = {{"key_sha256", sha256Hex(std::to_string(n))}, {"agents", {fmt::format("workspace-{}", n)}}};
            configuration.merge({{ObjectKind::Caller, fmt::format("workspace-{}", n)}, TicketNumber(1), caller});
        }
        for (int n = 0; n < workspaces * 12 / 22; ++n) {
            const nlohmann::json endpoint = {{"pool", "llm"}, {"address", "10.0.0.1:8000"}, {"domain", "d"}, {"slots", 16}};
            configuration.merge({{ObjectKind::Endpoint, fmt::format("e{}", n)}, TicketNumber(1), endpoint});
        }
        printLine(fmt::format("configuration objects={} mb={:.0f} us_per_merge={:.1f}",
                              configuration.objects().size(),
                              (residentBytes() - before) / 1e6,
                              (cpuSeconds() - start) * 1e6 / static_cast<double>(configuration.objects().size())));
    }
}

// Measures the bytes that tickets cost at one number of members, given the interval of the tickets and the number of their
// objects.
void measureTickets(int members, int objects, int periodMs)
{
    ControlSimulation simulation(members, std::min(members, 15));
    simulation.run(Milliseconds(30000));
    (void)simulation.takePeerBytes();
    constexpr int WindowMs = 60000;
    simulation.run(Milliseconds(WindowMs));
    const auto idleBytes = static_cast<double>(simulation.takePeerBytes());
    int ticket = 0;
    for (int ms = 0; ms < WindowMs; ms += periodMs) {
        ++ticket;
        for (int n = 0; n < objects; ++n) {
            simulation.addObject(ticket % members, agentObject(ticket * 100 + n, static_cast<std::uint64_t>(ticket)));
        }
        simulation.run(Milliseconds(periodMs));
    }
    const double ticketBytes = static_cast<double>(simulation.takePeerBytes()) - idleBytes;
    printLine(fmt::format("tickets members={} objects_each={} one_every_ms={} bytes_per_object_and_member={:.0f}",
                          members,
                          objects,
                          periodMs,
                          ticketBytes / members / ticket / objects));
}

void measureControl(int members)
{
    const double before = residentBytes();
    ControlSimulation simulation(members, std::min(members, 15));
    simulation.run(Milliseconds(30000));
    const int fullView = simulation.membersWithFullView();
    (void)simulation.takeGossipBytes();
    (void)simulation.takePeerBytes();
    constexpr int Seconds = 60;
    double cpu = cpuSeconds();
    simulation.run(Milliseconds(Seconds * 1000));
    const double idleCpu = cpuSeconds() - cpu;
    const double gossipBytesPerSecond = static_cast<double>(simulation.takeGossipBytes()) / members / Seconds;
    const double comparisonBytesPerSecond = static_cast<double>(simulation.takePeerBytes()) / members / Seconds;
    // Tickets arrive at the mean rate of the capacity target, one every 2.88 s, each at one random member.
    std::mt19937 random(1);
    int slowestMs = 0;
    constexpr int Tickets = 21;
    for (int n = 1; n <= Tickets; ++n) {
        const ConfigObject object = agentObject(n, static_cast<std::uint64_t>(n));
        simulation.addObject(static_cast<int>(random() % static_cast<unsigned>(members)), object);
        int ms = 0;
        for (; simulation.membersWithObject(object.key, object.ticket) < members && ms < 20000; ms += 10) {
            simulation.run(Milliseconds(10));
        }
        slowestMs = std::max(slowestMs, ms);
        simulation.run(Milliseconds(std::max(10, 2880 - ms)));
    }
    const double ticketBytesPerSecond = static_cast<double>(simulation.takePeerBytes()) / members / (Tickets * 2.88) - comparisonBytesPerSecond;
    printLine(fmt::format("control members={} full_view={} gossip_bytes_per_second={:.0f} comparison_bytes_per_second={:.0f} ticket_bytes_per_second={:.0f} "
                          "slowest_ticket_ms={} idle_cpu_percent={:.3f} kb_per_member={:.0f}",
                          members,
                          fullView,
                          gossipBytesPerSecond,
                          comparisonBytesPerSecond,
                          ticketBytesPerSecond,
                          slowestMs,
                          idleCpu / Seconds / members * 100,
                          (residentBytes() - before) / members / 1e3));
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("slopes", "Measures the slopes of docs/CAPACITY.md");
    options.add_options()(
        "only", "Part to measure: program, record, takeover, store, policy, configuration or control", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = options.parse(argc, argv);
    const auto only = arguments["only"].as<std::string>();
    const std::vector<std::pair<std::string, std::function<void()>>> parts = {
        {"record", measureRecords},
        {"program", measureProgramMemory},
        {"takeover", measureTakeover},
        {"store", measureStoreCalls},
        {"policy", measurePolicy},
        {"configuration", measureConfiguration},
        {"control",
         [] {
             for (const int members : {7, 50, 150, 460}) {
                 measureControl(members);
             }
             for (const int periodMs : {500, 2880, 10000}) {
                 measureTickets(150, 1, periodMs);
             }
             for (const int objects : {5, 20}) {
                 measureTickets(150, objects, 2880);
             }
         }},
    };
    for (const auto &[name, measure] : parts) {
        if (only.empty() || only == name) {
            measure();
        }
    }
    return 0;
}

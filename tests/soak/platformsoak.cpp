// Plays programs against instances and archives under two overlapping series of random faults, then compares what callers
// got with what endpoints received.

#include "platform/testinstance.h"
#include "soak/callerrecord.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

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

constexpr int Instances = 3;
constexpr int Archives = 2;
constexpr int Callers = 6;
constexpr int TurnsOfProgram = 14; ///< More than a budget allows, so that some are refused.
constexpr Milliseconds CallerPause{30};
constexpr Milliseconds RecoveryLimit{15000};
/// Until what only the wiped disk's neighbour holds has been brought to the store.
constexpr Milliseconds AfterWipe{5000};

void answer(ScriptedEndpoint::Connection &peer, const ReceivedRequest &request)
{
    const std::string text = CallerRecord::answerTo(request.head.fields.value("X-Attempt-Id"));
    if (request.head.target.rfind("/book/", 0) == 0) {
        peer.write(ScriptedEndpoint::response(request, text));
        return;
    }
    peer.write(ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    peer.writeLater(Milliseconds(20), ScriptedEndpoint::chunk(ScriptedEndpoint::event(1, text)) + "0\r\n\r\n");
}

struct System {
    System()
        : endpoint(answer)
    {
        store.put("op/config", testConfiguration(1));
        registerEndpoint(store, "i-1", endpoint);
        for (int n = 0; n < Archives; ++n) {
            archives.push_back(std::make_unique<TestArchive>(store, n + 1));
        }
        for (int n = 0; n < Instances; ++n) {
            instances.push_back(std::make_unique<TestInstance>(store, n + 1));
        }
    }

    KvStandIn store;
    ScriptedEndpoint endpoint;
    std::vector<std::unique_ptr<TestArchive>> archives;
    std::vector<std::unique_ptr<TestInstance>> instances;
    std::atomic<bool> isOver{false};
};

/// One series of faults; each is brought about, lasts and ends.
class Faults
{
public:
    Faults(System &system, std::uint64_t seed)
        : m_system(system)
        , m_random(seed)
    {
    }

    void strikeStore()
    {
        static constexpr std::array<std::pair<KvStandIn::Fault, const char *>, 4> troubles{{{KvStandIn::Fault::Unavailable, "store-refuses"},
                                                                                            {KvStandIn::Fault::Unresponsive, "store-silent"},
                                                                                            {KvStandIn::Fault::StalledWatches, "store-deaf"},
                                                                                            {KvStandIn::Fault::LostResponses, "store-loses-answers"}}};
        const auto &[trouble, name] = troubles[m_random() % troubles.size()];
        say(name, 0);
        m_system.store.setFault(trouble);
        last();
        m_system.store.setFault(KvStandIn::Fault::None);
        m_system.store.put("op/config", testConfiguration(++m_version));
    }

    void strikeProcess()
    {
        const std::size_t n = m_random() % Instances;
        TestInstance &instance = *m_system.instances[n];
        switch (m_random() % 5) {
        case 0:
            say("kill", n);
            instance.process().kill();
            last();
            instance.killAndRestart();
            break;
        case 1:
            say("freeze", n);
            instance.process().sendSignal(SIGSTOP);
            last();
            instance.process().sendSignal(SIGCONT);
            break;
        case 2:
            say("planned-stop", n);
            instance.process().terminate(10);
            instance.killAndRestart();
            break;
        case 3:
            killArchive(false);
            break;
        default:
            killArchive(true);
        }
    }

private:
    void killArchive(bool isWiped)
    {
        const std::size_t n = m_random() % Archives;
        say(isWiped ? "wipe-archive" : "kill-archive", n);
        m_system.archives[n]->process().kill();
        if (isWiped) {
            m_system.archives[n]->wipeDisk();
        }
        last();
        m_system.archives[n]->start();
        std::this_thread::sleep_for(isWiped ? AfterWipe : Milliseconds(0));
    }

    void last()
    {
        std::this_thread::sleep_for(Milliseconds(300 + m_random() % 4000));
    }

    static void say(const char *fault, std::size_t n)
    {
        fmt::print("fault: {} {}\n", fault, n + 1);
        std::fflush(stdout);
    }

    System &m_system;
    std::mt19937_64 m_random;
    int m_version = 1;
};

/// Runs programs one after the other, each by instances chosen at random.
class Caller
{
public:
    Caller(System &system, CallerRecord &record, int number, std::uint64_t seed)
        : m_system(system)
        , m_record(record)
        , m_number(number)
        , m_random(seed * 100 + static_cast<std::uint64_t>(number))
    {
    }

    void run()
    {
        for (int n = 0; !m_system.isOver; ++n) {
            m_program = fmt::format("p{}-{}", m_number, n);
            std::string lastChat;
            for (int turn = 0; turn < TurnsOfProgram && !m_system.isOver; ++turn) {
                send(SentRequest::Kind::Turn, {});
                send(SentRequest::Kind::Booking, {});
                const SentRequest chat = send(SentRequest::Kind::Chat, lastChat);
                lastChat = chat.status == 200 && chat.isWhole ? chat.attempt : lastChat;
                std::this_thread::sleep_for(CallerPause);
            }
        }
    }

    SentRequest send(SentRequest::Kind kind, const std::string &previous)
    {
        SentRequest sent;
        sent.kind = kind;
        sent.attempt = fmt::format("{}-{}", m_program, ++m_lastAttempt);
        sent.program = m_program;
        sent.previous = previous;
        sent.input = "in " + sent.attempt + ' ';
        const char *path = kind == SentRequest::Kind::Booking ? "/book/a" : kind == SentRequest::Kind::Turn ? "/stream/a" : "/chat/a";
        std::string lines = fmt::format("X-Program-Id: {}\r\nX-Session-Id: s\r\n", m_program);
        if (kind == SentRequest::Kind::Turn) {
            lines += fmt::format("X-Token-Budget: {}\r\nX-Token-Usage: 110,{}\r\nX-Prompt-Prefix: aa:100,{:x}:10\r\n",
                                 CallerRecord::Budget,
                                 CallerRecord::MostOfTurn,
                                 m_lastAttempt);
        }
        lines += previous.empty() ? std::string() : "X-Previous-Turn: " + previous + "\r\n";
        sent.instance = m_random() % Instances;
        const CallerResponse got = m_system.instances[sent.instance]->send(callerRequest(path, sent.attempt, lines, sent.input));
        sent.status = got.status;
        sent.isWhole = got.isComplete;
        sent.body = got.body;
        m_record.add(sent);
        return sent;
    }

private:
    System &m_system;
    CallerRecord &m_record;
    int m_number;
    std::mt19937_64 m_random;
    std::string m_program = "last";
    int m_lastAttempt = 0;
};

/// Writes the instances' logs into the current folder.
void keepLogs(const System &system, std::uint64_t seed)
{
    for (std::size_t n = 0; n < system.instances.size(); ++n) {
        const std::string name = fmt::format("platform-soak-{}-instance-{}.log", seed, n + 1);
        std::ofstream(name) << system.instances[n]->log();
        fmt::print("log: {}\n", name);
    }
}

/// After the faults each kind is served again.
bool recovers(System &system, CallerRecord &record, std::uint64_t seed)
{
    Caller caller(system, record, Callers, seed);
    for (const auto kind : {SentRequest::Kind::Booking, SentRequest::Kind::Turn, SentRequest::Kind::Chat}) {
        const bool isServed = eventually([&] { return caller.send(kind, {}).isWhole; }, RecoveryLimit);
        if (!isServed) {
            return false;
        }
    }
    return true;
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("platform-soak", "All promises together under random faults, on the platform's interfaces");
    options.add_options()("seconds", "Length", cxxopts::value<int>()->default_value("60"));
    options.add_options()("seed", "Seed of the faults and of the callers", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);
    const auto seed = arguments["seed"].as<std::uint64_t>();
    const Instant end = std::chrono::steady_clock::now() + std::chrono::seconds(arguments["seconds"].as<int>());
    System system;
    const bool isStarted = std::all_of(system.instances.begin(), system.instances.end(), [](const auto &it) { return it->awaitReady(); });
    CallerRecord record;
    std::vector<std::thread> callers;
    for (int n = 0; n < Callers; ++n) {
        callers.emplace_back([&, n] { Caller(system, record, n, seed).run(); });
    }
    const auto series = [&](std::uint64_t offset, void (Faults::*strike)()) {
        Faults faults(system, seed + offset);
        while (std::chrono::steady_clock::now() < end) {
            (faults.*strike)();
            std::this_thread::sleep_for(Milliseconds(1000));
        }
    };
    std::thread storeFaults([&] { series(1000, &Faults::strikeStore); });
    series(2000, &Faults::strikeProcess);
    storeFaults.join();
    system.isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    const bool isRecovered = recovers(system, record, seed);
    const auto broken = record.brokenPromises(system.endpoint.requests());
    for (const std::string &line : broken) {
        fmt::print("broken: {}\n", line);
    }
    if (!broken.empty()) {
        keepLogs(system, seed);
    }
    const auto [served, sent] = record.served();
    fmt::print("soak: seed {}, started {}, recovered {}, {} of {} served, {} promises broken\n", seed, isStarted, isRecovered, served, sent, broken.size());
    return isStarted && isRecovered && broken.empty() ? 0 : 1;
}

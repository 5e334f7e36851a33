// An instance is removed for good, and a new one comes at another address. Programs that begin later take ten turns each.
#include "harness.h"

using namespace review;

namespace
{
constexpr int Instances = 4; ///< The last one comes in place of the one that is removed.
constexpr int Archives = 3;
constexpr int Removed = 3;
constexpr int Spare = 4;
constexpr int ReplaceMs = 2000;
constexpr int CatchUpMs = 7400;
constexpr int ContactMs = 3000;
constexpr int Programs = 40;
constexpr int Turns = 10;
constexpr int TokensOfEvent = 29;
constexpr int EventsOfTurn = 9;
constexpr int MaxTokensOfTurn = 10 * TokensOfEvent;
constexpr int Budget = Turns * MaxTokensOfTurn;
/// A turn is sent up to three times, each with one retry.
constexpr int Tries = 6;
constexpr int TimeBudgetMs = 3000;
constexpr int PauseMs = 250;
/// The rule: a turn reaches no runner in five tries or more.
constexpr int AllowedFailures = 4;

struct Callers {
    Deployment &deployment;
    Record &record;
    std::vector<int> instances;
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::size_t next = 0;

    struct Result {
        std::string id;
        int tries = 0;
        int status = 0;
    };

    Result send(const std::string &program, int turn, const std::string &previous)
    {
        Result result;
        for (int attempt = 1; attempt <= Tries; ++attempt) {
            const int instance = instances[next++ % instances.size()];
            const std::string id = format("%s-t%d-a%d", program.c_str(), turn, attempt);
            const auto channel = Channel::connect(deployment.ip(instance), Deployment::ClientPort);
            const std::string lines = previous.empty() ? "" : "X-Previous-Turn: " + previous + "\r\n";
            channel->send(format("POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Program-Id: %s\r\n"
                                 "X-Session-Id: %s-s\r\nX-Program-Deadline-Ms: 60000\r\nX-Token-Budget: %d\r\nX-Token-Usage: 100,%d\r\n%sContent-Length: 1\r\n\r\nx",
                                 id.c_str(),
                                 TimeBudgetMs,
                                 program.c_str(),
                                 program.c_str(),
                                 Budget,
                                 MaxTokensOfTurn,
                                 lines.c_str()));
            const Message response = channel->read(4000);
            result.tries = attempt;
            result.status = response.status();
            const std::string wait = response.field("Retry-After");
            const std::lock_guard<std::mutex> lock(mutex);
            record.line(format("instance %d answers %s with %d%s%s", instance, id.c_str(), response.status(), wait.empty() ? "" : ", retry after ", wait.c_str()));
            if (response.status() == 200 && response.isWhole) {
                result.id = id;
                return result;
            }
            if (response.status() == 402) {
                return result; // It ends the program.
            }
            // Clients honour Retry-After up to a third of the time that they have left. A turn is sent again after .1 to .4 s.
            const int retryAfterMs = std::min(TimeBudgetMs / 3, static_cast<int>(std::atof(wait.c_str()) * 1000));
            sleepMs(attempt % 2 == 1 ? retryAfterMs : PauseMs);
        }
        return result;
    }
};
} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record("review/10/record.txt");
    Deployment deployment(record, Instances, Archives);
    Callers callers{deployment, record, {1, 2, 3}, {}, {}, 0};
    Server runner([&](Channel &channel, const Message &request) {
        const std::string id = request.field("X-Attempt-Id");
        {
            const std::lock_guard<std::mutex> lock(callers.mutex);
            ++callers.runs[id];
        }
        std::string events;
        for (int n = 1; n <= EventsOfTurn; ++n) {
            events += format("id: %d\ndata: part\n\n", n);
        }
        channel.send(format("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%zx\r\n",
                            id.c_str(),
                            events.size())
                     + events + "\r\n0\r\n\r\n");
    });
    const std::string bounds =
        R"(,"timeout-ms":3000,"slo-ms":250,"max-attempts":2,"stateful":true,"retention-s":60.0,"sticky":true,"resumable":false,"target-gap-ms":250)";
    const std::string service = format(R"({"name":"app","health-path":"/healthz","max-conns":170,"backend":{"slots":16,"chunk-tokens":%d}})", TokensOfEvent);
    std::string configuration = manifest(1, {{"chat", "streaming", "app", bounds}}, {});
    configuration.replace(configuration.find(R"("services":[])"), 13, R"("services":[)" + service + "]");
    deployment.store().put("op/config", configuration);
    deployment.putRunner("i-a", "app", runner.port(), 16);
    deployment.start(Spare);
    sleepMs(10000);
    std::string previous;
    for (int turn = 1; turn <= Turns; ++turn) {
        previous = callers.send("earlier", turn, previous).id;
    }
    if (previous.empty()) {
        deployment.fail("the program before the disruption didn't end");
    }
    if (hasTrouble()) {
        deployment.process(Removed).kill();
        record.line(format("instance %d is removed for good", Removed));
        sleepMs(ReplaceMs);
        deployment.startSpare(Spare);
        record.line(format("instance %d comes at another address", Spare));
        callers.instances = {1, 2, Spare};
    }
    sleepMs(CatchUpMs + ContactMs);
    int broken = 0;
    int firstTurns = 0;
    for (int n = 0; n < Programs && broken < 3; ++n) {
        const std::string program = format("p%d", n);
        previous.clear();
        for (int turn = 1; turn <= Turns; ++turn) {
            const auto result = callers.send(program, turn, previous);
            firstTurns += turn == 1 && !result.id.empty() ? 1 : 0;
            if (result.id.empty()) {
                const bool isBroken = turn > 1 && result.tries > AllowedFailures;
                broken += isBroken ? 1 : 0;
                record.line(format("%s ends with %d at turn %d after %d tries, with %d of %d tokens used%s",
                                   program.c_str(),
                                   result.status,
                                   turn,
                                   result.tries,
                                   (turn - 1) * EventsOfTurn * TokensOfEvent,
                                   Budget,
                                   isBroken ? ", broken" : ""));
                break;
            }
            previous = result.id;
        }
    }
    record.line(format("result: %d turns reached no runner in five tries, while the first turns of %d programs did", broken, firstTurns));
    return broken > 0 ? 1 : 0;
}

// One runner fails part of its requests after it has worked on them, with a 503 that doesn't say that the request has not run.
#include "harness.h"

using namespace review;

namespace
{
constexpr int Runners = 7;
constexpr int FaultyRunner = 0; ///< One of seven, a share of 0.14.
constexpr int Requests = 400;
constexpr int WorkMs = 25;
} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record("review/10/record.txt");
    Deployment deployment(record, 2, 0);
    std::mutex mutex;
    std::map<std::string, int> runs;
    int answers = 0;
    std::vector<std::unique_ptr<Server>> runners;
    for (int n = 0; n < Runners; ++n) {
        runners.push_back(std::make_unique<Server>([&, n](Channel &channel, const Message &request) {
            const std::string id = request.field("X-Attempt-Id");
            bool isFailing = false;
            {
                const std::lock_guard<std::mutex> lock(mutex);
                ++runs[id];
                // Two of five, a share of 0.4.
                isFailing = hasTrouble() && n == FaultyRunner && ++answers % 5 < 2;
            }
            record.line(format("runner %d runs %s", n, id.c_str()));
            sleepMs(WorkMs);
            channel.send(answer(request, isFailing ? 503 : 200, "", isFailing ? "failed " + id : "done " + id));
        }));
    }
    const std::string bounds = R"(,"timeout-ms":2000,"slo-ms":250,"max-attempts":1)";
    deployment.store().put("op/config", manifest(1, {{"book", "non_idempotent", "app", bounds}}, {"app"}));
    for (int n = 0; n < Runners; ++n) {
        deployment.putRunner(format("i-%d", n), "app", runners[static_cast<std::size_t>(n)]->port(), 6);
    }
    deployment.start();
    sleepMs(1000);
    int broken = 0;
    for (int n = 1; n <= Requests; ++n) {
        const std::string id = format("order-%d", n);
        const auto channel = Channel::connect(deployment.ip(1 + n % 2), Deployment::ClientPort);
        record.line("client sends " + id);
        channel->send(format("POST /book/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx", id.c_str()));
        const Message response = channel->read(4000);
        const std::lock_guard<std::mutex> lock(mutex);
        const bool isBroken = (response.status() == 503 || response.status() == 429) && runs[id] > 0;
        broken += isBroken ? 1 : 0;
        record.line(format("client gets %d for %s%s", response.status(), id.c_str(), isBroken ? ", broken: it has run" : ""));
    }
    record.line(format("result: %d requests were answered as not run and have run", broken));
    return broken > 0 ? 1 : 0;
}

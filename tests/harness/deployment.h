#pragma once

#include "core/codec.h"
#include "harness/childprocess.h"
#include "http/httpclient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingo
{

/// What a test deployment looks like.
struct DeploymentPlan {
    std::string folder; ///< For settings, secrets and logs.
    std::string buildFolder; ///< The build folder.
    std::uint16_t basePort = 20000;
    std::vector<std::string> domains{"d1", "d2"};
    std::vector<std::string> instanceDomains{"d1", "d1", "d2"}; ///< The domain of each instance.
    int engines = 4;
    int services = 2;
    int engineSlots = 8;
    int endpointSlots = 8;
    std::int64_t engineCacheTokens = 40000;
    bool enginesCheckFencing = true;
    bool usesProxy = false; ///< Links between instances, and to the store, go through the fault proxy.
    int peerDelayMs = 0; ///< One way, between domains; needs the proxy.
    std::uint32_t shards = 8;
    std::string extraSettings; ///< TOML appended to each instance's file.
    std::uint64_t seed = 1;
    int serviceDelayMs = 5;
};

/// A whole deployment of real processes on loopback: stand-ins, the fault proxy if wanted, and the instances' daemons.
class Deployment
{
public:
    explicit Deployment(DeploymentPlan plan);
    ~Deployment();

    /// Starts everything, waits until the daemons serve and applies the first ticket.
    void start();

    void startInstance(int n);
    void startDaemon(int n, const std::string &daemon);
    ChildProcess &daemon(int n, const std::string &daemon);
    ChildProcess &engine(int n);

    /// Applies a ticket at an instance's control; returns the HTTP status, 0 when there is no answer.
    int applyTicket(int n, const nlohmann::json &ticket, std::string *body = nullptr);

    /// The first ticket: pools, endpoints, agents and callers.
    nlohmann::json initialTicket(std::uint64_t number) const;
    nlohmann::json endpointObject(const std::string &id, bool isLeaving) const;

    /// Sets a fault at the store, an engine, a service (by port) or the proxy.
    void postAdmin(std::uint16_t port, const nlohmann::json &settings);

    /// Cuts, silences or opens the routes of the proxy from one instance to another or to the store ("store").
    void setRoutes(const std::vector<std::string> &routes, const std::string &mode, int delayMs = 0);
    std::vector<std::string> routesBetween(const std::string &domainA, const std::string &domainB) const;
    std::vector<std::string> routesToStore(int n) const;

    nlohmann::json getJson(std::uint16_t port, const std::string &path);
    nlohmann::json status(int n);
    std::string getText(std::uint16_t port, const std::string &path);

    /// The sum of a counter over all its labels on a metrics page.
    double counterSum(std::uint16_t port, const std::string &name);

    /// Which instance owns a shard by the status of an instance; -1 when it is unknown.
    int ownerOf(std::uint32_t shard, int askedInstance);

    /// Waits until a condition holds; returns whether it came to hold.
    template<typename Condition>
    static bool waitFor(Milliseconds limit, Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            sleepBeforeNextPoll();
        }
        return true;
    }

    /// Whether all shards have one owner and every live instance has the newest configuration.
    bool isConverged(const std::vector<int> &instances);

    std::uint16_t entryPort(int n) const;
    std::uint16_t schedulerHttpPort(int n) const;
    std::uint16_t controlHttpPort(int n) const;
    std::uint16_t enginePort(int n) const;
    std::uint16_t servicePort(int n) const;
    std::uint16_t storePort() const;
    std::string executablePath(const std::string &name) const;
    std::string settingsFile(int n) const;
    const DeploymentPlan &plan() const;
    static std::string callerKey(const std::string &caller);

private:
    static void sleepBeforeNextPoll();
    std::uint16_t port(int n, int offset) const;
    std::uint16_t proxyPort(int from, int to, int channel) const;
    std::uint16_t storeProxyPort(int n) const;
    void writeSettings(int n) const;
    void startStandIns();
    void startProxy();

    DeploymentPlan m_plan;
    HttpClient m_client;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
};

} // namespace flamingo

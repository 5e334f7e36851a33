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

/// The configuration of a test deployment.
struct DeploymentPlan {
    std::string folder; ///< Where settings, secrets and logs are written.
    std::string buildFolder; ///< Where the executables were built.
    std::uint16_t basePort = 20000;
    std::vector<std::string> domains{"d1", "d2"};
    std::vector<std::string> instanceDomains{"d1", "d1", "d2"}; ///< The domain of each instance.
    int engines = 4;
    int services = 2;
    int engineSlots = 8;
    int endpointSlots = 8;
    std::int64_t engineCacheTokens = 40000;
    bool enginesCheckFencing = true;
    bool usesProxy = false; ///< Connects instances to each other and to the store through the fault proxy.
    int peerDelayMs = 0; ///< One-way delay between instances of different domains; needs usesProxy.
    std::uint32_t shards = 8;
    std::string extraSettings; ///< TOML appended to each instance's settings file.
    std::uint64_t seed = 1;
    int serviceDelayMs = 5;
};

/// A deployment of real processes on loopback: the stand-ins for the store, engines and services, optionally the fault
/// proxy, and the daemons of each instance (control, scheduler, entry). Instances, engines and services are numbered from 0.
class Deployment
{
public:
    explicit Deployment(DeploymentPlan plan);
    ~Deployment();

    /// Starts all processes, applies the initial ticket and waits until isConverged(). Throws std::runtime_error when an
    /// instance isn't ready in time.
    void start();

    void startInstance(int n);
    void startDaemon(int n, const std::string &daemon);
    ChildProcess &daemon(int n, const std::string &daemon);
    ChildProcess &engine(int n);

    /// Sends a ticket to the control daemon of instance `n`. Returns the HTTP status, 0 when there was no response.
    int applyTicket(int n, const nlohmann::json &ticket, std::string *body = nullptr);

    /// A ticket that defines all pools, endpoints, agents and callers of the deployment.
    nlohmann::json initialTicket(std::uint64_t number) const;
    /// The ticket object of an endpoint: "e0" is the first engine, "s0" the first service.
    nlohmann::json endpointObject(const std::string &id, bool isLeaving) const;

    /// Sends fault settings to the admin interface of a stand-in or of the proxy. Throws std::runtime_error when there is no
    /// response.
    void postAdmin(std::uint16_t port, const nlohmann::json &settings);

    /// Sets the fault mode ("pass", "cut", "silent", "silent-back") and the one-way delay of proxy routes.
    void setRoutes(const std::vector<std::string> &routes, const std::string &mode, int delayMs = 0);
    /// Names of the routes, in both directions, between instances of the two domains.
    std::vector<std::string> routesBetween(const std::string &domainA, const std::string &domainB) const;
    std::vector<std::string> routesToStore(int n) const;

    /// The JSON response of a GET request; an empty object when there is none.
    nlohmann::json getJson(std::uint16_t port, const std::string &path);
    /// The deployment's status as the control daemon of instance `n` reports it.
    nlohmann::json status(int n);
    /// The body of the response to a GET request; empty when there is no response.
    std::string getText(std::uint16_t port, const std::string &path);

    /// The sum of a counter over all label values, read from /metrics on the port.
    double counterSum(std::uint16_t port, const std::string &name);

    /// The instance that owns the shard according to the status of `askedInstance`; -1 when it is unknown.
    int ownerOf(std::uint32_t shard, int askedInstance);

    /// Polls a condition until it holds or the time limit has passed. Returns whether it held.
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

    /// Whether the given instances report the same configuration and each shard has exactly one owner among them.
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

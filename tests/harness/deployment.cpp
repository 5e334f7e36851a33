#include "harness/deployment.h"

#include "core/crypto.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace flamingo
{

namespace
{
// Port layout, relative to DeploymentPlan::basePort. Each instance has PortsPerInstance ports, of which the first is the
// entry's.
constexpr int PortsPerInstance = 10;
constexpr int EnginePortOffset = 100;
constexpr int ServicePortOffset = 140;
constexpr int StorePortOffset = 180;
constexpr int ProxyControlPortOffset = 181;
constexpr int StoreProxyPortOffset = 182;
constexpr int ProxyPortOffset = 200;
// The connections that each instance has to each other instance. With the fault proxy, each has a port of its own.
constexpr int ChannelCount = 3;
constexpr int SchedulerPeerPortOffset = 1;
constexpr int SchedulerHttpPortOffset = 2;
constexpr int ControlPeerPortOffset = 3;
constexpr int ControlGossipPortOffset = 4;
constexpr int ControlHttpPortOffset = 5;
const int ChannelPortOffsets[ChannelCount] = {ControlGossipPortOffset, ControlPeerPortOffset, SchedulerPeerPortOffset};
const char *const ChannelNames[ChannelCount] = {"gossip", "control", "scheduler"};

void writeFile(const std::string &path, const std::string &content)
{
    std::ofstream(path) << content;
}

std::string loopbackAddress(std::uint16_t port)
{
    return fmt::format("127.0.0.1:{}", port);
}
} // namespace

Deployment::Deployment(DeploymentPlan plan)
    : m_plan(std::move(plan))
{
    std::filesystem::create_directories(m_plan.folder);
    writeFile(m_plan.folder + "/secret", "shared secret of a test\n");
    writeFile(m_plan.folder + "/token", "operators-token\n");
}

Deployment::~Deployment() = default;

void Deployment::sleepBeforeNextPoll()
{
    std::this_thread::sleep_for(Milliseconds(20));
}

std::uint16_t Deployment::port(int n, int offset) const
{
    return static_cast<std::uint16_t>(m_plan.basePort + n * PortsPerInstance + offset);
}

std::uint16_t Deployment::entryPort(int n) const
{
    return port(n, 0);
}

std::uint16_t Deployment::schedulerHttpPort(int n) const
{
    return port(n, SchedulerHttpPortOffset);
}

std::uint16_t Deployment::controlHttpPort(int n) const
{
    return port(n, ControlHttpPortOffset);
}

std::uint16_t Deployment::enginePort(int n) const
{
    return static_cast<std::uint16_t>(m_plan.basePort + EnginePortOffset + n);
}

std::uint16_t Deployment::servicePort(int n) const
{
    return static_cast<std::uint16_t>(m_plan.basePort + ServicePortOffset + n);
}

std::uint16_t Deployment::storePort() const
{
    return static_cast<std::uint16_t>(m_plan.basePort + StorePortOffset);
}

std::uint16_t Deployment::storeProxyPort(int n) const
{
    return static_cast<std::uint16_t>(m_plan.basePort + StoreProxyPortOffset + n);
}

std::uint16_t Deployment::proxyPort(int from, int to, int channel) const
{
    const int count = static_cast<int>(m_plan.instanceDomains.size());
    return static_cast<std::uint16_t>(m_plan.basePort + ProxyPortOffset + (from * count + to) * ChannelCount + channel);
}

std::string Deployment::executablePath(const std::string &name) const
{
    const std::string folder = name.compare(0, 8, "flamingo") == 0 ? "/src/" : "/tests/";
    return m_plan.buildFolder + folder + name;
}

std::string Deployment::settingsFile(int n) const
{
    return fmt::format("{}/i{}.toml", m_plan.folder, n);
}

const DeploymentPlan &Deployment::plan() const
{
    return m_plan;
}

std::string Deployment::callerKey(const std::string &caller)
{
    return "key-of-" + caller;
}

void Deployment::writeSettings(int n) const
{
    std::string domains;
    for (const std::string &domain : m_plan.domains) {
        domains += fmt::format("{}\"{}\"", domains.empty() ? "" : ", ", domain);
    }
    std::string text = fmt::format("[instance]\nid = \"i{0}\"\ndomain = \"{1}\"\ndomains = [{2}]\nshards = {3}\n\n"
                                   "[entry]\nhttp = \"{4}\"\n\n[scheduler]\npeer = \"{5}\"\nhttp = \"{6}\"\n\n"
                                   "[control]\npeer = \"{7}\"\ngossip = \"{8}\"\nhttp = \"{9}\"\noperator_token_file = \"{10}/token\"\n\n"
                                   "[platform]\naddress = \"{11}\"\n\n[peer_link]\nsecret_file = \"{10}/secret\"\n\n{12}\n",
                                   n,
                                   m_plan.instanceDomains[n],
                                   domains,
                                   m_plan.shards,
                                   loopbackAddress(entryPort(n)),
                                   loopbackAddress(port(n, SchedulerPeerPortOffset)),
                                   loopbackAddress(schedulerHttpPort(n)),
                                   loopbackAddress(port(n, ControlPeerPortOffset)),
                                   loopbackAddress(port(n, ControlGossipPortOffset)),
                                   loopbackAddress(controlHttpPort(n)),
                                   m_plan.folder,
                                   loopbackAddress(m_plan.usesProxy ? storeProxyPort(n) : storePort()),
                                   m_plan.extraSettings);
    for (int peer = 0; peer < static_cast<int>(m_plan.instanceDomains.size()); ++peer) {
        if (peer == n) {
            continue;
        }
        text += fmt::format("\n[[peer]]\nid = \"i{}\"\ndomain = \"{}\"\n", peer, m_plan.instanceDomains[peer]);
        for (int channel = 0; channel < ChannelCount; ++channel) {
            const auto address = m_plan.usesProxy ? proxyPort(n, peer, channel) : port(peer, ChannelPortOffsets[channel]);
            text += fmt::format("{} = \"{}\"\n", ChannelNames[channel], loopbackAddress(address));
        }
    }
    writeFile(settingsFile(n), text);
}

void Deployment::startStandIns()
{
    const std::string seed = std::to_string(m_plan.seed);
    m_processes["store"] = std::make_unique<ChildProcess>(
        std::vector<std::string>{executablePath("store-standin"), "--port", std::to_string(storePort()), "--seed", seed}, m_plan.folder + "/store.log");
    for (int n = 0; n < m_plan.engines; ++n) {
        std::vector<std::string> command{executablePath("engine-standin"),
                                         "--port",
                                         std::to_string(enginePort(n)),
                                         "--slots",
                                         std::to_string(m_plan.engineSlots),
                                         "--cache-tokens",
                                         std::to_string(m_plan.engineCacheTokens)};
        if (!m_plan.enginesCheckFencing) {
            command.emplace_back("--ignore-fencing");
        }
        m_processes[fmt::format("engine{}", n)] = std::make_unique<ChildProcess>(command, m_plan.folder + "/engines.log");
    }
    for (int n = 0; n < m_plan.services; ++n) {
        const std::vector<std::string> command{
            executablePath("service-standin"), "--port", std::to_string(servicePort(n)), "--seed", seed, "--delay-ms", std::to_string(m_plan.serviceDelayMs)};
        m_processes[fmt::format("service{}", n)] = std::make_unique<ChildProcess>(command, m_plan.folder + "/services.log");
    }
}

void Deployment::startProxy()
{
    std::vector<std::string> command{executablePath("fault-proxy"), "--control", std::to_string(m_plan.basePort + ProxyControlPortOffset)};
    const int count = static_cast<int>(m_plan.instanceDomains.size());
    for (int from = 0; from < count; ++from) {
        command.insert(command.end(), {"--route", fmt::format("i{}-store:{}:{}", from, storeProxyPort(from), storePort())});
        for (int to = 0; to < count; ++to) {
            for (int channel = 0; channel < ChannelCount && from != to; ++channel) {
                const auto target = port(to, ChannelPortOffsets[channel]);
                command.insert(command.end(),
                               {"--route", fmt::format("i{}-i{}-{}:{}:{}", from, to, ChannelNames[channel], proxyPort(from, to, channel), target)});
            }
        }
    }
    m_processes["proxy"] = std::make_unique<ChildProcess>(command, m_plan.folder + "/proxy.log");
}

void Deployment::startDaemon(int n, const std::string &daemon)
{
    const std::vector<std::string> command{executablePath("flamingo-" + daemon), "--settings", settingsFile(n)};
    m_processes[fmt::format("{}{}", daemon, n)] = std::make_unique<ChildProcess>(command, fmt::format("{}/{}{}.log", m_plan.folder, daemon, n));
}

void Deployment::startInstance(int n)
{
    for (const char *name : {"control", "scheduler", "entry"}) {
        startDaemon(n, name);
    }
}

ChildProcess &Deployment::daemon(int n, const std::string &daemon)
{
    return *m_processes.at(fmt::format("{}{}", daemon, n));
}

ChildProcess &Deployment::engine(int n)
{
    return *m_processes.at(fmt::format("engine{}", n));
}

void Deployment::start()
{
    startStandIns();
    if (m_plan.usesProxy) {
        startProxy();
    }
    std::vector<int> instances;
    for (int n = 0; n < static_cast<int>(m_plan.instanceDomains.size()); ++n) {
        writeSettings(n);
        startInstance(n);
        instances.push_back(n);
    }
    const auto ticket = initialTicket(1);
    const bool isApplied = waitFor(Milliseconds(15000), [&] { return applyTicket(0, ticket) == 200; });
    const bool isReady = isApplied && waitFor(Milliseconds(15000), [&] { return isConverged(instances); });
    if (!isReady) {
        throw std::runtime_error("deployment did not become ready in time; see the logs in " + m_plan.folder);
    }
    if (m_plan.peerDelayMs > 0) {
        for (const std::string &firstDomain : m_plan.domains) {
            for (const std::string &secondDomain : m_plan.domains) {
                if (firstDomain < secondDomain) {
                    setRoutes(routesBetween(firstDomain, secondDomain), "pass", m_plan.peerDelayMs);
                }
            }
        }
    }
}

nlohmann::json Deployment::endpointObject(const std::string &id, bool isLeaving) const
{
    const bool isEngine = id[0] == 'e';
    const int n = std::stoi(id.substr(1));
    const std::string domain = m_plan.domains[static_cast<std::size_t>(n) % m_plan.domains.size()];
    nlohmann::json spec = {{"pool", isEngine ? "llm" : "dispatch"},
                           {"address", loopbackAddress(isEngine ? enginePort(n) : servicePort(n))},
                           {"domain", domain},
                           {"slots", m_plan.endpointSlots},
                           {"checks_fencing", m_plan.enginesCheckFencing},
                           {"leaving", isLeaving}};
    return {{"kind", "endpoint"}, {"id", id}, {"spec", spec}};
}

nlohmann::json Deployment::initialTicket(std::uint64_t number) const
{
    const nlohmann::json operations = {{"book", {{"repeatable", false}}}, {"lookup", {{"repeatable", true}}}};
    nlohmann::json objects = {{{"kind", "pool"}, {"id", "llm"}, {"spec", {{"serves", "model"}}}},
                              {{"kind", "pool"}, {"id", "dispatch"}, {"spec", {{"serves", "service"}, {"operations", operations}}}}};
    for (int n = 0; n < m_plan.engines; ++n) {
        objects.push_back(endpointObject(fmt::format("e{}", n), false));
    }
    for (int n = 0; n < m_plan.services; ++n) {
        objects.push_back(endpointObject(fmt::format("s{}", n), false));
    }
    for (const char *name : {"urgent", "normal", "batch"}) {
        const nlohmann::json spec = {
            {"pool", "llm"}, {"services", {"dispatch"}}, {"priority", name}, {"budget_tokens", 400000}, {"system_prompt", "You help crews and birders."}};
        objects.push_back({{"kind", "agent"}, {"id", name}, {"spec", spec}});
    }
    const nlohmann::json tight = {{"pool", "llm"}, {"services", {"dispatch"}}, {"budget_tokens", 4000}, {"max_turns", 6}, {"idle_timeout_ms", 1500}};
    objects.push_back({{"kind", "agent"}, {"id", "tight"}, {"spec", tight}});
    for (const char *name : {"omaruru", "kitaezo"}) {
        const nlohmann::json spec = {{"key_sha256", sha256Hex(callerKey(name))}, {"agents", {"urgent", "normal", "batch", "tight"}}};
        objects.push_back({{"kind", "caller"}, {"id", name}, {"spec", spec}});
    }
    return {{"ticket", number}, {"objects", objects}};
}

int Deployment::applyTicket(int n, const nlohmann::json &ticket, std::string *body)
{
    HttpRequest request;
    request.method = "POST";
    request.url = fmt::format("http://{}/v1/tickets", loopbackAddress(controlHttpPort(n)));
    request.headers = {"Authorization: Bearer operators-token", "Content-Type: application/json"};
    request.body = dumpJson(ticket);
    request.totalTimeout = Milliseconds(12000);
    const auto outcome = m_client.sendAndWait(std::move(request));
    if (body) {
        *body = outcome ? outcome->body : "";
    }
    return outcome ? outcome->status : 0;
}

void Deployment::postAdmin(std::uint16_t port, const nlohmann::json &settings)
{
    HttpRequest request;
    request.method = "POST";
    request.url = fmt::format("http://{}/admin", loopbackAddress(port));
    request.body = dumpJson(settings);
    const auto outcome = m_client.sendAndWait(std::move(request));
    if (!outcome) {
        throw std::runtime_error("no response to POST /admin");
    }
}

void Deployment::setRoutes(const std::vector<std::string> &routes, const std::string &mode, int delayMs)
{
    postAdmin(static_cast<std::uint16_t>(m_plan.basePort + ProxyControlPortOffset), {{"routes", routes}, {"mode", mode}, {"delay_ms", delayMs}});
}

std::vector<std::string> Deployment::routesBetween(const std::string &domainA, const std::string &domainB) const
{
    std::vector<std::string> routes;
    const int count = static_cast<int>(m_plan.instanceDomains.size());
    for (int from = 0; from < count; ++from) {
        for (int to = 0; to < count; ++to) {
            const std::set<std::string> pair{m_plan.instanceDomains[from], m_plan.instanceDomains[to]};
            for (int channel = 0; channel < ChannelCount && pair == std::set<std::string>{domainA, domainB}; ++channel) {
                routes.push_back(fmt::format("i{}-i{}-{}", from, to, ChannelNames[channel]));
            }
        }
    }
    return routes;
}

std::vector<std::string> Deployment::routesToStore(int n) const
{
    return {fmt::format("i{}-store", n)};
}

std::string Deployment::getText(std::uint16_t port, const std::string &path)
{
    HttpRequest request;
    request.url = fmt::format("http://{}{}", loopbackAddress(port), path);
    request.headers = {"Authorization: Bearer operators-token"};
    request.totalTimeout = Milliseconds(4000);
    const auto outcome = m_client.sendAndWait(std::move(request));
    return outcome ? outcome->body : "";
}

nlohmann::json Deployment::getJson(std::uint16_t port, const std::string &path)
{
    return parseJson(getText(port, path)).value_or(nlohmann::json::object());
}

nlohmann::json Deployment::status(int n)
{
    return getJson(controlHttpPort(n), "/v1/status");
}

double Deployment::counterSum(std::uint16_t port, const std::string &name)
{
    std::istringstream lines(getText(port, "/metrics"));
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        const bool isMatch = line.compare(0, name.size(), name) == 0 && (line[name.size()] == ' ' || line[name.size()] == '{');
        if (isMatch) {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

int Deployment::ownerOf(std::uint32_t shard, int askedInstance)
{
    const auto report = status(askedInstance);
    int owner = -1;
    std::uint64_t highest = 0;
    for (const auto &instance : report.value("instances", nlohmann::json::array())) {
        const auto shards = instance.value("shards", nlohmann::json::object());
        const auto it = shards.find(std::to_string(shard));
        if (it != shards.end() && instance.value("scheduler", false) && it->get<std::uint64_t>() > highest) {
            highest = it->get<std::uint64_t>();
            owner = std::stoi(instance.value("instance", "i0").substr(1));
        }
    }
    return owner;
}

bool Deployment::isConverged(const std::vector<int> &instances)
{
    const auto report = status(instances.front());
    std::map<std::string, int> owners;
    std::set<std::string> configurations;
    std::set<std::string> seen;
    for (const auto &instance : report.value("instances", nlohmann::json::array())) {
        const std::string id = instance.value("instance", "");
        const bool isWanted = std::any_of(instances.begin(), instances.end(), [&](int n) { return id == fmt::format("i{}", n); });
        if (!isWanted) {
            continue;
        }
        seen.insert(id);
        configurations.insert(instance.value("configuration", ""));
        configurations.insert(instance.value("scheduler_configuration", ""));
        const auto shards = instance.value("shards", nlohmann::json::object());
        for (auto it = shards.begin(); it != shards.end(); ++it) {
            ++owners[it.key()];
        }
    }
    const bool hasOneOwner = std::all_of(owners.begin(), owners.end(), [](const auto &item) { return item.second == 1; });
    return seen.size() == instances.size() && configurations.size() == 1 && owners.size() == m_plan.shards && hasOneOwner;
}

} // namespace flamingo

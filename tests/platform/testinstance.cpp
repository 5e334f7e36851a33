#include "platform/testinstance.h"

#include "serving/memberdirectory.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace flamingo
{

namespace
{
constexpr int ReadyPort = 18141;
constexpr int MetricsPort = 9464;
constexpr int SlowReceiveBuffer = 16384;

std::string settingsText(const std::string &ip, int number, const SocketAddress &store, int toleratedMachines, const std::string &domain)
{
    return fmt::format(R"(node-name = "edge-{0}"
ip = "{1}"
zone = "{7}"
bootstrap = true
heartbeat-ms = 1200
unknown-key = 1
seed-nodes = ["{8}:{4}", "{9}:{4}"]
[listen]
frontend = "{1}:{2}"
ready = "{1}:{3}"
control-plane = "{1}:{4}"
[limits]
memory-mb = 110
[bounds]
drain-ms = 2000
grace-s = 8
[fault-tolerance]
machines = {6}
[platform]
address = "{5}"
)",
                       number,
                       ip,
                       TestInstance::CallersPort,
                       ReadyPort,
                       TestInstance::PeerPort,
                       store.text(),
                       toleratedMachines,
                       domain,
                       TestInstance::address(1),
                       TestInstance::address(2));
}

/// An address on the loopback network. FLAMINGO_TEST_NETWORK, a number up to 255, sets its second byte, so that test runs can go side
/// by side on one machine.
std::string loopbackAddress(int subnet, int number)
{
    const char *network = std::getenv("FLAMINGO_TEST_NETWORK");
    return fmt::format("127.{}.{}.{}", network ? std::atoi(network) : 0, subnet, number);
}

/// A receive buffer of 0 bytes stands for the system's default.
asio::ip::tcp::socket connectTo(asio::io_context &context, const std::string &ip, int port, int receiveBuffer = 0)
{
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    asio::error_code ec;
    if (receiveBuffer > 0) {
        socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer), ec);
    }
    socket.connect({asio::ip::make_address(ip), static_cast<std::uint16_t>(port)}, ec);
    return socket;
}
} // namespace

struct CallerConnection::Private {
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    MessageParser parser{MessageParser::Kind::Responses};
    std::array<char, 8192> buf{};
    bool wasConnected = false;
    Milliseconds readPause{0};

    void read(CallerResponse &response)
    {
        socket.async_read_some(asio::buffer(buf), [this, &response](const asio::error_code &ec, std::size_t n) {
            std::this_thread::sleep_for(readPause);
            if (!ec && onBytes(response, {buf.data(), n})) {
                read(response);
            }
        });
    }

    /// Returns whether more bytes are expected.
    bool onBytes(CallerResponse &response, std::string_view rest)
    {
        while (!rest.empty()) {
            const auto event = parser.feed(rest);
            if (event == MessageParser::Event::Head) {
                response.status = parser.head().status;
                response.fields = parser.head().fields;
            } else if (event == MessageParser::Event::Body) {
                response.body += parser.body();
            } else if (event != MessageParser::Event::NeedsMore) {
                response.isComplete = event == MessageParser::Event::Complete;
                return false;
            }
        }
        return true;
    }
};

CallerConnection::CallerConnection(const std::string &ip, Milliseconds readPause)
    : m_private(std::make_unique<Private>())
{
    m_private->readPause = readPause;
    m_private->socket = connectTo(m_private->context, ip, TestInstance::CallersPort, readPause.count() > 0 ? SlowReceiveBuffer : 0);
    asio::error_code ec;
    m_private->socket.remote_endpoint(ec);
    m_private->wasConnected = !ec;
}

CallerConnection::~CallerConnection() = default;

bool CallerConnection::send(const std::string &bytes)
{
    asio::error_code ec;
    asio::write(m_private->socket, asio::buffer(bytes), ec);
    return !ec;
}

CallerResponse CallerConnection::read(Milliseconds limit)
{
    CallerResponse response;
    response.wasConnected = m_private->wasConnected;
    m_private->read(response);
    m_private->context.restart();
    m_private->context.run_for(limit);
    m_private->socket.cancel();
    m_private->context.restart();
    m_private->context.poll();
    return response;
}

TestInstance::TestInstance(const KvStandIn &store, int number, int toleratedMachines)
    : TestInstance(store.address(), number, toleratedMachines)
{
}

TestInstance::TestInstance(const SocketAddress &store, int number, int toleratedMachines, const std::string &domain)
    : m_ip(address(number))
    , m_folder(std::filesystem::temp_directory_path() / fmt::format("flamingo-instance-{}-{}", getpid(), number))
{
    std::filesystem::create_directories(m_folder);
    std::ofstream(m_folder / "boot.toml") << settingsText(m_ip, number, store, toleratedMachines, domain.empty() ? fmt::format("zone-{}", number) : domain);
    start();
}

std::string TestInstance::address(int number)
{
    constexpr int Subnet = 1;
    return loopbackAddress(Subnet, number);
}

TestInstance::~TestInstance()
{
    m_process.reset();
    std::filesystem::remove_all(m_folder);
}

void TestInstance::start()
{
    m_process = std::make_unique<ChildProcess>(
        std::vector<std::string>{std::string(BINARY_FOLDER) + "/src/flamingo-instance", "--settings", (m_folder / "boot.toml").string()},
        (m_folder / "log").string());
}

void TestInstance::killAndRestart()
{
    m_process->kill();
    start();
}

ChildProcess &TestInstance::process()
{
    return *m_process;
}

std::string TestInstance::log() const
{
    std::stringstream text;
    text << std::ifstream(m_folder / "log").rdbuf();
    return text.str();
}

double TestInstance::metric(const std::string &name) const
{
    asio::io_context context;
    auto socket = connectTo(context, m_ip, MetricsPort);
    asio::error_code ec;
    asio::write(socket, asio::buffer(std::string("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")), ec);
    std::string page;
    asio::read(socket, asio::dynamic_buffer(page), ec);
    const auto at = page.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(page.substr(at + name.size() + 2));
}

void TestInstance::editSettings(const std::string &text, const std::string &replacement) const
{
    std::stringstream settings;
    settings << std::ifstream(m_folder / "boot.toml").rdbuf();
    std::string edited = settings.str();
    edited.replace(edited.find(text), text.size(), replacement);
    std::ofstream(m_folder / "boot.toml") << edited;
}

bool TestInstance::isReady() const
{
    asio::io_context context;
    auto socket = connectTo(context, m_ip, ReadyPort);
    asio::error_code ec;
    asio::write(socket, asio::buffer(std::string("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")), ec);
    std::string buf;
    asio::read_until(socket, asio::dynamic_buffer(buf), "\r\n", ec);
    return buf.rfind("HTTP/1.1 200", 0) == 0;
}

bool TestInstance::awaitReady() const
{
    return eventually([this] { return isReady(); });
}

CallerResponse TestInstance::send(const std::string &bytes, Milliseconds limit) const
{
    CallerConnection connection = connect();
    connection.send(bytes);
    return connection.read(limit);
}

CallerConnection TestInstance::connect(Milliseconds readPause) const
{
    return CallerConnection(m_ip, readPause);
}

void TestInstance::sendAndDisconnect(const std::string &bytes, Milliseconds after) const
{
    asio::io_context context;
    auto socket = connectTo(context, m_ip, TestInstance::CallersPort);
    asio::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
    std::this_thread::sleep_for(after);
}

TestArchive::TestArchive(const KvStandIn &store, int number, std::vector<std::string> variables)
    : m_number(number)
    , m_variables(std::move(variables))
    , m_folder(folder(number))
{
    std::filesystem::create_directories(m_folder);
    std::ofstream(m_folder / "boot.toml") << fmt::format(R"(node-name = "{0}"
ip = "{4}"
zone = "zone-{1}"
port-range = [17380, 17395]
data-dir = "{2}"
[bounds]
grace-s = 8
[platform]
address = "{3}"
)",
                                                         name(),
                                                         number,
                                                         diskFolder(number).string(),
                                                         store.address().text(),
                                                         address(number));
    start();
}

std::filesystem::path TestArchive::folder(int number)
{
    return std::filesystem::temp_directory_path() / fmt::format("flamingo-archive-{}-{}", getpid(), number);
}

std::filesystem::path TestArchive::diskFolder(int number)
{
    return folder(number) / "disk";
}

std::string TestArchive::address(int number)
{
    constexpr int Subnet = 2;
    return loopbackAddress(Subnet, number);
}

TestArchive::~TestArchive()
{
    m_process.reset();
    std::filesystem::remove_all(m_folder);
}

void TestArchive::start()
{
    m_process = std::make_unique<ChildProcess>(
        std::vector<std::string>{std::string(BINARY_FOLDER) + "/src/flamingo-archive", "--settings", (m_folder / "boot.toml").string()},
        (m_folder / "log").string(),
        m_variables);
}

void TestArchive::wipeDisk() const
{
    std::filesystem::remove_all(diskFolder(m_number));
}

void TestArchive::spoilFirstRecord() const
{
    // Behind the record's length and checksum.
    constexpr std::streamoff FirstByte = 20;
    for (const auto &file : std::filesystem::directory_iterator(diskFolder(m_number))) {
        if (file.file_size() > FirstByte) {
            std::fstream segment(file.path(), std::ios::in | std::ios::out | std::ios::binary);
            segment.seekp(FirstByte);
            segment.put('\xff');
            return;
        }
    }
}

std::string TestArchive::name() const
{
    return fmt::format("storage-{}", m_number);
}

ChildProcess &TestArchive::process()
{
    return *m_process;
}

std::string testConfiguration(int version, const std::string &extraRoutes)
{
    const auto route = [](const std::string &name, const std::string &type, const std::string &more) {
        return fmt::format(
            R"({{"name":"r-{0}","host":"h.example","prefix":"/{0}/","type":"{1}","timeout-ms":3000,"slo-ms":250,"priority":0,"service":"app","max-attempts":2{2}}})",
            name,
            type,
            more);
    };
    return fmt::format(
        R"({{"version":{},"routes":[{},{},{},{}{}],"services":[{{"name":"app","health-path":"/healthz","max-conns":100,"backend":{{"slots":16,"chunk-tokens":29}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}})",
        version,
        route("book", "non_idempotent", ""),
        route("ask", "idempotent", ""),
        route("stream", "streaming", R"(,"resumable":true,"retention-s":60.0)"),
        route("chat", "streaming", R"(,"resumable":false,"stateful":true,"retention-s":60.0)"),
        extraRoutes);
}

std::string withWorkspaces(const std::string &configuration, const std::map<std::string, std::vector<std::string>> &keysByName)
{
    nlohmann::json json = nlohmann::json::parse(configuration);
    for (nlohmann::json &route : json.at("routes")) {
        route["public"] = route.at("name") == "r-ask";
    }
    json["tenants"] = nlohmann::json::array();
    for (const auto &[name, keys] : keysByName) {
        json["tenants"].push_back({{"name", name}, {"api-keys", keys}});
    }
    return json.dump();
}

void registerEndpoint(KvStandIn &store,
                      const std::string &id,
                      const ScriptedEndpoint &endpoint,
                      const std::string &state,
                      const std::string &version,
                      const std::string &pool)
{
    store.put("servers/" + id,
              fmt::format(R"({{"service":"{}","address":"{}","zone":"zone-1","version":"{}","slots":16,"state":"{}","cold-left-ms":0,"sequence":1}})",
                          pool,
                          endpoint.address().text(),
                          version,
                          state));
}

void registerInstance(KvStandIn &store, const std::string &id, const std::string &domain, const SocketAddress &peerAddress)
{
    const MemberRecord member{InstanceId(id), DomainId(domain), peerAddress, IncarnationId(id + ".1")};
    store.put(MemberDirectory::KeyPrefix + id, member.encode());
}

std::string callerRequest(const std::string &path, const std::string &attemptId, const std::string &headerLines, const std::string &body)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: 3000\r\n{}Content-Length: {}\r\n\r\n{}",
                       path,
                       attemptId,
                       headerLines,
                       body.size(),
                       body);
}

bool eventually(const std::function<bool()> &condition, Milliseconds limit)
{
    constexpr Milliseconds Pause{20};
    const Instant end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Pause);
    }
    return condition();
}

} // namespace flamingo

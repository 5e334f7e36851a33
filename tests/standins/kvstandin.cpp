#include "standins/kvstandin.h"

#include "core/base64.h"

#include <algorithm>
#include <cstdlib>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

constexpr Milliseconds WatchCheckPeriod{5};
constexpr double DefaultWritesPerSecond = 500;
constexpr double DefaultReadsPerSecond = 2000;
constexpr std::size_t MaxValueBytes = std::size_t(1024) * 1024;

std::string percentDecoded(const std::string &text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16));
            n += 2;
        } else {
            out += text[n];
        }
    }
    return out;
}

std::string queryParameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return percentDecoded(target.substr(begin, target.find('&', begin) - begin));
}

std::uint16_t freePort(asio::io_context &context)
{
    const asio::ip::tcp::acceptor probe(context, {asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint().port();
}
} // namespace

KvStandIn::KvStandIn(std::uint16_t port, std::uint64_t seed)
    : m_port(port != 0 ? port : freePort(m_thread.loop.context()))
    , m_random(seed)
    , m_writeLimit{DefaultWritesPerSecond, DefaultWritesPerSecond}
    , m_readLimit{DefaultReadsPerSecond, DefaultReadsPerSecond}
{
    m_thread.call([this] {
        m_server = std::make_unique<ConnectionSet>(
            m_thread.loop.context(),
            asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_port),
            [this](const ServerConnectionPtr &connection, const ServerRequest &request) { onRequest(connection, request); },
            [] { return ConnectionLimits(); });
        m_thread.loop.timers().every(std::chrono::steady_clock::now(), WatchCheckPeriod, [this](Instant) { respondToWatches(); });
    });
}

KvStandIn::~KvStandIn()
{
    m_thread.stop();
}

SocketAddress KvStandIn::address() const
{
    return {"127.0.0.1", m_port};
}

std::uint64_t KvStandIn::put(const std::string &key, const std::string &value)
{
    return m_thread.call([&] {
        set(key, encodeBase64(value));
        return m_revision;
    });
}

void KvStandIn::remove(const std::string &key)
{
    m_thread.call([&] { erase(key); });
}

std::string KvStandIn::get(const std::string &key)
{
    return m_thread.call([&] {
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::string() : decodeBase64(it->second.data).value_or("");
    });
}

std::vector<std::string> KvStandIn::keys(const std::string &prefix)
{
    return m_thread.call([&] {
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) == 0) {
                keys.push_back(key);
            }
        }
        return keys;
    });
}

void KvStandIn::setFault(Fault fault)
{
    m_thread.call([&] { m_fault = fault; });
}

void KvStandIn::compact()
{
    m_thread.call([&] {
        m_compactedRevision = m_revision;
        m_history.clear();
    });
}

int KvStandIn::commitCount() const
{
    return m_commitCount;
}

void KvStandIn::set(const std::string &key, const std::string &data)
{
    Item &item = m_items[key];
    item.data = data;
    item.revision = ++m_revision;
    item.createdRevision = item.createdRevision == 0 ? item.revision : item.createdRevision;
    m_history.push_back({m_revision, key, false, item});
}

void KvStandIn::erase(const std::string &key)
{
    if (m_items.erase(key) != 0) {
        m_history.push_back({++m_revision, key, true, {}});
    }
}

Json KvStandIn::itemJson(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() ? Json{{"key", key}, {"revision", 0}} : itemJson(key, it->second);
}

Json KvStandIn::itemJson(const std::string &key, const Item &item) const
{
    return {{"key", key}, {"data", item.data}, {"revision", item.revision}, {"created", item.createdRevision}, {"lease-id", 0}, {"at", m_revision}};
}

bool KvStandIn::RateLimit::tryTake(Instant now)
{
    const std::chrono::duration<double> elapsed = now - lastRefill;
    lastRefill = now;
    tokens = std::min(perSecond, tokens + elapsed.count() * perSecond);
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

bool KvStandIn::checkRateLimit(RateLimit &limit, const char *call, const ServerConnectionPtr &connection)
{
    ++m_callCounts[call];
    if (limit.tryTake(std::chrono::steady_clock::now())) {
        return true;
    }
    ++m_callCounts["limited"];
    respond(connection, 429, Json::object());
    return false;
}

void KvStandIn::respond(const ServerConnectionPtr &connection, int status, const Json &json)
{
    const auto sendResponse = [connection, status, body = json.dump()] {
        HeaderFields fields;
        fields.add("Content-Type", "application/json");
        connection->respond(status, fields, body);
    };
    if (m_delay.count() == 0) {
        sendResponse();
    } else {
        m_thread.loop.timers().at(std::chrono::steady_clock::now() + m_delay, [sendResponse](Instant) { sendResponse(); });
    }
}

void KvStandIn::applyAdminSettings(const ServerConnectionPtr &connection, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_object()) {
        if (json.contains("down")) {
            m_fault = json["down"].get<bool>() ? Fault::Unresponsive : Fault::None;
        }
        m_delay = Milliseconds(json.value("delay_ms", m_delay.count()));
        m_lostResponseShare = json.value("lose_answers", m_lostResponseShare);
        m_listLag = Milliseconds(json.value("list_lag_ms", m_listLag.count()));
        m_writeLimit.perSecond = json.value("writes_per_second", DefaultWritesPerSecond);
        m_readLimit.perSecond = json.value("reads_per_second", DefaultReadsPerSecond);
        for (const auto &id : json.value("leaving", std::vector<std::string>())) {
            m_thread.loop.timers().at(std::chrono::steady_clock::now() + m_listLag, [this, id](Instant) { registerLeaving(id); });
        }
    }
    HeaderFields fields;
    fields.add("Content-Type", "application/json");
    connection->respond(200, fields, Json(m_callCounts).dump());
}

void KvStandIn::registerLeaving(const std::string &endpoint)
{
    const Json entry = {{"service", "any"}, {"address", "127.0.0.1:1"}, {"zone", "any"}, {"slots", 1}, {"state", "draining"}, {"sequence", 1}};
    set("servers/" + endpoint, encodeBase64(entry.dump()));
}

void KvStandIn::onRequest(const ServerConnectionPtr &connection, const ServerRequest &request)
{
    if (request.head.target == "/admin") {
        applyAdminSettings(connection, request.body);
    } else if (m_fault == Fault::Unavailable) {
        respond(connection, 503, Json::object());
    } else if (m_fault == Fault::Unresponsive) {
        m_unanswered.push_back(connection);
    } else {
        serve(connection, request);
    }
}

void KvStandIn::serve(const ServerConnectionPtr &connection, const ServerRequest &request)
{
    const std::string &target = request.head.target;
    if (target.rfind("/kv-key", 0) == 0) {
        if (checkRateLimit(m_readLimit, "read", connection)) {
            readKey(connection, queryParameter(target, "key"));
        }
    } else if (target.rfind("/kv-range", 0) == 0) {
        if (checkRateLimit(m_readLimit, "list", connection)) {
            readRange(connection, queryParameter(target, "prefix"), queryParameter(target, "after"));
        }
    } else if (target.rfind("/kv-watch", 0) == 0) {
        ++m_callCounts["watch"];
        const auto after = std::strtoull(queryParameter(target, "after").c_str(), nullptr, 10);
        const Milliseconds wait(std::atoll(queryParameter(target, "wait-ms").c_str()));
        watch(connection, {connection, queryParameter(target, "prefix"), after, std::chrono::steady_clock::now() + wait});
    } else if (checkRateLimit(m_writeLimit, "write", connection)) {
        commit(connection, request.body);
    }
}

void KvStandIn::readKey(const ServerConnectionPtr &connection, const std::string &key)
{
    respond(connection, m_items.count(key) != 0 ? 200 : 404, itemJson(key));
}

void KvStandIn::readRange(const ServerConnectionPtr &connection, const std::string &prefix, const std::string &after)
{
    Json items = Json::array();
    for (const auto &[key, item] : m_items) {
        if (key.rfind(prefix, 0) == 0 && key > after) {
            items.push_back(itemJson(key));
        }
    }
    respond(connection, 200, {{"items", items}, {"has-more", false}, {"at", m_revision}});
}

void KvStandIn::watch(const ServerConnectionPtr &connection, const PendingWatch &pending)
{
    if (m_fault == Fault::StalledWatches) {
        m_compactedRevision = m_revision;
        m_history.clear();
    }
    if (!respondToWatch(pending, false)) {
        m_pendingWatches.push_back(pending);
    }
}

bool KvStandIn::respondToWatch(const PendingWatch &pending, bool isTimedOut)
{
    const auto connection = pending.connection.lock();
    if (!connection) {
        return true;
    }
    if (pending.afterRevision < m_compactedRevision) {
        respond(connection, 410, Json::object());
        return true;
    }
    Json events = Json::array();
    for (const Event &event : m_history) {
        if (event.revision > pending.afterRevision && event.key.rfind(pending.prefix, 0) == 0) {
            events.push_back(event.isDeleted ? Json{{"key", event.key}, {"revision", event.revision}, {"deleted", true}} : itemJson(event.key, event.item));
        }
    }
    if (events.empty() && !isTimedOut) {
        return false;
    }
    respond(connection, 200, {{"events", events}, {"at", m_revision}});
    return true;
}

void KvStandIn::respondToWatches()
{
    if (m_fault == Fault::Unavailable || m_fault == Fault::Unresponsive) {
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    const auto isDone = [&](const PendingWatch &pending) {
        const bool isTimedOut = now >= pending.deadline;
        return (isTimedOut || m_fault != Fault::StalledWatches) && respondToWatch(pending, isTimedOut);
    };
    m_pendingWatches.erase(std::remove_if(m_pendingWatches.begin(), m_pendingWatches.end(), isDone), m_pendingWatches.end());
}

void KvStandIn::commit(const ServerConnectionPtr &connection, const std::string &body)
{
    ++m_commitCount;
    const Json json = Json::parse(body);
    Json currentItems = Json::array();
    bool isExpectationMet = true;
    for (const Json &expected : json["expected"]) {
        const auto it = m_items.find(expected["key"].get<std::string>());
        const std::uint64_t revision = it == m_items.end() ? 0 : it->second.revision;
        isExpectationMet = isExpectationMet && revision == expected["revision"].get<std::uint64_t>();
        currentItems.push_back(itemJson(expected["key"].get<std::string>()));
    }
    for (const Json &write : json["write"]) {
        if (decodeBase64(write["data"].get<std::string>()).value_or("").size() > MaxValueBytes) {
            respond(connection, 413, Json::object());
            return;
        }
    }
    if (isExpectationMet) {
        for (const Json &write : json["write"]) {
            set(write["key"].get<std::string>(), write["data"].get<std::string>());
        }
        for (const Json &key : json["remove"]) {
            erase(key.get<std::string>());
        }
    }
    if (m_fault == Fault::LostResponses || (isExpectationMet && std::uniform_real_distribution<>(0, 1)(m_random) < m_lostResponseShare)) {
        ++m_callCounts["lost-answer"];
        m_unanswered.push_back(connection);
        return;
    }
    if (isExpectationMet) {
        respond(connection, 200, {{"revision", m_revision}});
    } else {
        respond(connection, 412, {{"items", currentItems}});
    }
}

} // namespace flamingo

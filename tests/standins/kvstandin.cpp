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
constexpr double DefaultWrites = 500; // A second.
constexpr double DefaultReads = 2000; // A second.
constexpr std::size_t MaxValueBytes = std::size_t(1024) * 1024;

std::string unescaped(const std::string &text)
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

std::string parameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return unescaped(target.substr(begin, target.find('&', begin) - begin));
}

std::uint16_t freePort(asio::io_context &context)
{
    const asio::ip::tcp::acceptor probe(context, {asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint().port();
}
} // namespace

KvStandin::KvStandin(std::uint16_t port, std::uint64_t seed)
    : m_port(port != 0 ? port : freePort(m_thread.loop.context()))
    , m_random(seed)
    , m_writes{DefaultWrites, DefaultWrites}
    , m_reads{DefaultReads, DefaultReads}
{
    m_thread.call([this] {
        m_server = std::make_unique<ConnectionSet>(
            m_thread.loop.context(),
            asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_port),
            [this](const ServerConnectionPtr &connection, const ServerRequest &request) { onRequest(connection, request); },
            [] { return ConnectionLimits(); });
        m_thread.loop.timers().every(std::chrono::steady_clock::now(), WatchCheckPeriod, [this](Instant) { answerWatches(); });
    });
}

KvStandin::~KvStandin()
{
    m_thread.stop();
}

SocketAddress KvStandin::address() const
{
    return {"127.0.0.1", m_port};
}

std::uint64_t KvStandin::put(const std::string &key, const std::string &value)
{
    return m_thread.call([&] {
        set(key, encodeBase64(value));
        return m_revision;
    });
}

void KvStandin::remove(const std::string &key)
{
    m_thread.call([&] { erase(key); });
}

std::string KvStandin::get(const std::string &key)
{
    return m_thread.call([&] {
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::string() : decodeBase64(it->second.data).value_or("");
    });
}

std::vector<std::string> KvStandin::keys(const std::string &prefix)
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

void KvStandin::setTrouble(Trouble trouble)
{
    m_thread.call([&] { m_trouble = trouble; });
}

void KvStandin::compact()
{
    m_thread.call([&] {
        m_compactedTo = m_revision;
        m_history.clear();
    });
}

int KvStandin::commits() const
{
    return m_commits;
}

void KvStandin::set(const std::string &key, const std::string &data)
{
    Item &item = m_items[key];
    item.data = data;
    item.revision = ++m_revision;
    item.created = item.created == 0 ? item.revision : item.created;
    m_history.push_back({m_revision, key, false});
}

void KvStandin::erase(const std::string &key)
{
    if (m_items.erase(key) != 0) {
        m_history.push_back({++m_revision, key, true});
    }
}

Json KvStandin::itemJson(const std::string &key) const
{
    const auto it = m_items.find(key);
    if (it == m_items.end()) {
        return {{"key", key}, {"revision", 0}};
    }
    return {{"key", key}, {"data", it->second.data}, {"revision", it->second.revision}, {"created", it->second.created}, {"lease-id", 0}, {"at", m_revision}};
}

bool KvStandin::RateLimit::take(Instant now)
{
    const std::chrono::duration<double> elapsed = now - last;
    last = now;
    left = std::min(perSecond, left + elapsed.count() * perSecond);
    if (left < 1) {
        return false;
    }
    left -= 1;
    return true;
}

bool KvStandin::isWithin(RateLimit &limit, const char *call, const ServerConnectionPtr &connection)
{
    ++m_counts[call];
    if (limit.take(std::chrono::steady_clock::now())) {
        return true;
    }
    ++m_counts["limited"];
    answer(connection, 429, Json::object());
    return false;
}

void KvStandin::answer(const ServerConnectionPtr &connection, int status, const Json &json)
{
    const auto respond = [connection, status, body = json.dump()] {
        HeaderFields fields;
        fields.add("Content-Type", "application/json");
        connection->respond(status, fields, body);
    };
    if (m_delay.count() == 0) {
        respond();
    } else {
        m_thread.loop.timers().at(std::chrono::steady_clock::now() + m_delay, [respond](Instant) { respond(); });
    }
}

void KvStandin::administer(const ServerConnectionPtr &connection, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_object()) {
        if (json.contains("down")) {
            m_trouble = json["down"].get<bool>() ? Trouble::Silent : Trouble::None;
        }
        m_delay = Milliseconds(json.value("delay_ms", m_delay.count()));
        m_lostShare = json.value("lose_answers", m_lostShare);
        m_listLag = Milliseconds(json.value("list_lag_ms", m_listLag.count()));
        m_writes.perSecond = json.value("writes_per_second", DefaultWrites);
        m_reads.perSecond = json.value("reads_per_second", DefaultReads);
        for (const auto &id : json.value("leaving", std::vector<std::string>())) {
            m_thread.loop.timers().at(std::chrono::steady_clock::now() + m_listLag, [this, id](Instant) { registerLeaving(id); });
        }
    }
    HeaderFields fields;
    fields.add("Content-Type", "application/json");
    connection->respond(200, fields, Json(m_counts).dump());
}

void KvStandin::registerLeaving(const std::string &endpoint)
{
    const Json entry = {{"service", "any"}, {"address", "127.0.0.1:1"}, {"zone", "any"}, {"slots", 1}, {"state", "draining"}, {"sequence", 1}};
    set("servers/" + endpoint, encodeBase64(entry.dump()));
}

void KvStandin::onRequest(const ServerConnectionPtr &connection, const ServerRequest &request)
{
    if (request.head.target == "/admin") {
        administer(connection, request.body);
    } else if (m_trouble == Trouble::Refuses) {
        answer(connection, 503, Json::object());
    } else if (m_trouble == Trouble::Silent) {
        m_unanswered.push_back(connection);
    } else {
        serve(connection, request);
    }
}

void KvStandin::serve(const ServerConnectionPtr &connection, const ServerRequest &request)
{
    const std::string &target = request.head.target;
    if (target.rfind("/kv-key", 0) == 0) {
        if (isWithin(m_reads, "read", connection)) {
            readKey(connection, parameter(target, "key"));
        }
    } else if (target.rfind("/kv-range", 0) == 0) {
        if (isWithin(m_reads, "list", connection)) {
            readRange(connection, parameter(target, "prefix"), parameter(target, "after"));
        }
    } else if (target.rfind("/kv-watch", 0) == 0) {
        ++m_counts["watch"];
        const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const Milliseconds wait(std::atoll(parameter(target, "wait-ms").c_str()));
        watch(connection, {connection, parameter(target, "prefix"), after, std::chrono::steady_clock::now() + wait});
    } else if (isWithin(m_writes, "write", connection)) {
        commit(connection, request.body);
    }
}

void KvStandin::readKey(const ServerConnectionPtr &connection, const std::string &key)
{
    answer(connection, m_items.count(key) != 0 ? 200 : 404, itemJson(key));
}

void KvStandin::readRange(const ServerConnectionPtr &connection, const std::string &prefix, const std::string &after)
{
    Json items = Json::array();
    for (const auto &[key, item] : m_items) {
        if (key.rfind(prefix, 0) == 0 && key > after) {
            items.push_back(itemJson(key));
        }
    }
    answer(connection, 200, {{"items", items}, {"has-more", false}, {"at", m_revision}});
}

void KvStandin::watch(const ServerConnectionPtr &connection, const Waiting &waiting)
{
    if (m_trouble == Trouble::Deaf) {
        m_compactedTo = m_revision;
        m_history.clear();
    }
    if (!answerWatch(waiting, false)) {
        m_waiting.push_back(waiting);
    }
}

bool KvStandin::answerWatch(const Waiting &waiting, bool isLast)
{
    const auto connection = waiting.connection.lock();
    if (!connection) {
        return true;
    }
    if (waiting.after < m_compactedTo) {
        answer(connection, 410, Json::object());
        return true;
    }
    Json events = Json::array();
    for (const Event &event : m_history) {
        if (event.revision > waiting.after && event.key.rfind(waiting.prefix, 0) == 0) {
            events.push_back(event.isDeleted ? Json{{"key", event.key}, {"revision", event.revision}, {"deleted", true}} : itemJson(event.key));
        }
    }
    if (events.empty() && !isLast) {
        return false;
    }
    answer(connection, 200, {{"events", events}, {"at", m_revision}});
    return true;
}

void KvStandin::answerWatches()
{
    if (m_trouble == Trouble::Refuses || m_trouble == Trouble::Silent) {
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    const auto isDone = [&](const Waiting &waiting) {
        const bool isLast = now >= waiting.until;
        return (isLast || m_trouble != Trouble::Deaf) && answerWatch(waiting, isLast);
    };
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), isDone), m_waiting.end());
}

void KvStandin::commit(const ServerConnectionPtr &connection, const std::string &body)
{
    ++m_commits;
    const Json json = Json::parse(body);
    Json present = Json::array();
    bool isExpected = true;
    for (const Json &expected : json["expected"]) {
        const auto it = m_items.find(expected["key"].get<std::string>());
        const std::uint64_t revision = it == m_items.end() ? 0 : it->second.revision;
        isExpected = isExpected && revision == expected["revision"].get<std::uint64_t>();
        present.push_back(itemJson(expected["key"].get<std::string>()));
    }
    for (const Json &write : json["write"]) {
        if (decodeBase64(write["data"].get<std::string>()).value_or("").size() > MaxValueBytes) {
            answer(connection, 413, Json::object());
            return;
        }
    }
    if (isExpected) {
        for (const Json &write : json["write"]) {
            set(write["key"].get<std::string>(), write["data"].get<std::string>());
        }
        for (const Json &key : json["remove"]) {
            erase(key.get<std::string>());
        }
    }
    if (m_trouble == Trouble::LosesAnswers || (isExpected && std::uniform_real_distribution<>(0, 1)(m_random) < m_lostShare)) {
        ++m_counts["lost-answer"];
        m_unanswered.push_back(connection);
        return;
    }
    if (isExpected) {
        answer(connection, 200, {{"revision", m_revision}});
    } else {
        answer(connection, 412, {{"items", present}});
    }
}

} // namespace flamingo

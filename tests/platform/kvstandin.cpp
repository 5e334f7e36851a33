#include "platform/kvstandin.h"

#include "core/base64.h"

#include <algorithm>
#include <cstdlib>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

constexpr Milliseconds WatchCheckPeriod{20};

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

void answer(const ServerConnectionPtr &connection, int status, const Json &json)
{
    HeaderFields fields;
    fields.add("Content-Type", "application/json");
    connection->respond(status, fields, json.dump());
}
} // namespace

KvStandin::KvStandin()
{
    asio::ip::tcp::acceptor probe(m_thread.loop.context(), {asio::ip::make_address("127.0.0.1"), 0});
    m_port = probe.local_endpoint().port();
    probe.close();
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

void KvStandin::onRequest(const ServerConnectionPtr &connection, const ServerRequest &request)
{
    const std::string &target = request.head.target;
    if (m_trouble == Trouble::Refuses) {
        answer(connection, 503, Json::object());
        return;
    }
    if (m_trouble == Trouble::Silent) {
        return;
    }
    if (target.rfind("/kv-key", 0) == 0) {
        readKey(connection, parameter(target, "key"));
    } else if (target.rfind("/kv-range", 0) == 0) {
        readRange(connection, parameter(target, "prefix"), parameter(target, "after"));
    } else if (target.rfind("/kv-watch", 0) == 0) {
        const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const Milliseconds wait(std::atoll(parameter(target, "wait-ms").c_str()));
        watch(connection, {connection, parameter(target, "prefix"), after, std::chrono::steady_clock::now() + wait});
    } else {
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
    if (isExpected) {
        for (const Json &write : json["write"]) {
            set(write["key"].get<std::string>(), write["data"].get<std::string>());
        }
        for (const Json &key : json["remove"]) {
            erase(key.get<std::string>());
        }
    }
    if (m_trouble == Trouble::LosesAnswers) {
        return;
    }
    if (isExpected) {
        answer(connection, 200, {{"revision", m_revision}});
    } else {
        answer(connection, 412, {{"items", present}});
    }
}

} // namespace flamingo

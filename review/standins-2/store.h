// A stand-in of the platform's store, as PROTOCOL.md describes it: items with revisions, ranges, watches and transactions. Each machine of a
// deployment has a port of its own, so that a script can turn away or silence the store for some machines only.
#pragma once

#include "harness_base.h"

#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>

namespace review
{

class Store
{
public:
    using Json = nlohmann::json;

    /// What happens to a call.
    enum class Fault { None, Busy, Reset, Silent, LostAnswer };
    using FaultRule = std::function<Fault(int machine, const std::string &call)>;

    explicit Store(int machines)
    {
        for (int n = 1; n <= machines; ++n) {
            m_servers.push_back(std::make_unique<Server>([this, n](Channel &channel, const Message &request) { serve(n, channel, request); }));
        }
    }

    int port(int machine) const
    {
        return m_servers[static_cast<std::size_t>(machine - 1)]->port();
    }

    void setFaults(FaultRule rule)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_faults = std::move(rule);
    }

    /// Writes a key as the operator or a runner does. When it returns, the write is acknowledged.
    void put(const std::string &key, const std::string &data)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        write(key, base64(data));
        m_changed.notify_all();
    }

    void remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        erase(key);
        m_changed.notify_all();
    }

    std::vector<std::string> keys(const std::string &prefix)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) == 0) {
                keys.push_back(key);
            }
        }
        return keys;
    }

private:
    static constexpr int HistorySeconds = 20;

    struct Item {
        std::string data;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        Json json;
        Clock::time_point at;
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        auto at = target.find("?" + name + "=");
        at = at == std::string::npos ? target.find("&" + name + "=") : at;
        if (at == std::string::npos) {
            return {};
        }
        const auto begin = at + name.size() + 2;
        const std::string text = target.substr(begin, target.find('&', begin) - begin);
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

    static void respond(Channel &channel, int status, const Json &json)
    {
        const std::string body = json.dump();
        channel.send(format("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n", status, body.size()) + body);
    }

    Json itemJson(const std::string &key) const
    {
        const Item &it = m_items.at(key);
        return {{"key", key}, {"data", it.data}, {"revision", it.revision}, {"created", it.created}, {"lease-id", 0}};
    }

    void write(const std::string &key, const std::string &data)
    {
        Item &item = m_items[key];
        item.data = data;
        item.revision = ++m_revision;
        item.created = item.created == 0 ? item.revision : item.created;
        m_history.push_back({m_revision, key, itemJson(key), Clock::now()});
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) != 0) {
            ++m_revision;
            m_history.push_back({m_revision, key, {{"key", key}, {"revision", m_revision}, {"deleted", true}}, Clock::now()});
        }
    }

    void dropOldHistory()
    {
        while (!m_history.empty() && Clock::now() - m_history.front().at > std::chrono::seconds(HistorySeconds)) {
            m_droppedRevision = m_history.front().revision;
            m_history.pop_front();
        }
    }

    void serve(int machine, Channel &channel, const Message &request)
    {
        const std::string target = request.target();
        const std::string call = target.substr(1, target.find('?') - 1);
        FaultRule faults;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            faults = m_faults;
        }
        const Fault fault = faults ? faults(machine, call) : Fault::None;
        if (fault == Fault::Busy) {
            respond(channel, 503, Json::object());
            return;
        }
        if (fault == Fault::Reset) {
            channel.reset();
            return;
        }
        if (fault == Fault::Silent) {
            sleepMs(60000);
            return;
        }
        sleepMs(2);
        std::unique_lock<std::mutex> lock(m_mutex);
        dropOldHistory();
        if (call == "kv-key") {
            const std::string key = parameter(target, "key");
            const bool isThere = m_items.count(key) != 0;
            Json json = isThere ? itemJson(key) : Json::object();
            json["at"] = m_revision;
            lock.unlock();
            respond(channel, isThere ? 200 : 404, json);
        } else if (call == "kv-range") {
            readRange(channel, target, lock);
        } else if (call == "kv-watch") {
            watch(channel, target, lock);
        } else if (call == "kv-txn") {
            const auto [status, json] = commit(Json::parse(request.body));
            m_changed.notify_all();
            lock.unlock();
            if (fault == Fault::LostAnswer) {
                sleepMs(60000);
                return;
            }
            respond(channel, status, json);
        } else {
            lock.unlock();
            respond(channel, 400, Json::object());
        }
    }

    void readRange(Channel &channel, const std::string &target, std::unique_lock<std::mutex> &lock)
    {
        constexpr std::size_t MaxItems = 500;
        constexpr std::size_t MaxBytes = 1000000;
        const std::string prefix = parameter(target, "prefix");
        const std::string after = parameter(target, "after");
        Json items = Json::array();
        std::size_t bytes = 0;
        bool hasMore = false;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) != 0 || key <= after) {
                continue;
            }
            if (!items.empty() && (items.size() >= MaxItems || bytes + item.data.size() > MaxBytes)) {
                hasMore = true;
                break;
            }
            bytes += item.data.size();
            items.push_back(itemJson(key));
        }
        const Json json = {{"items", items}, {"has-more", hasMore}, {"at", m_revision}};
        lock.unlock();
        respond(channel, 200, json);
    }

    void watch(Channel &channel, const std::string &target, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = parameter(target, "prefix");
        const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto end = Clock::now() + std::chrono::milliseconds(std::atoi(parameter(target, "wait-ms").c_str()));
        Json events = Json::array();
        for (;;) {
            if (after < m_droppedRevision) {
                lock.unlock();
                respond(channel, 410, Json::object());
                return;
            }
            for (const Event &it : m_history) {
                if (it.revision > after && it.key.rfind(prefix, 0) == 0) {
                    events.push_back(it.json);
                }
            }
            if (!events.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout) {
                break;
            }
        }
        const Json json = {{"events", events}, {"at", m_revision}};
        lock.unlock();
        respond(channel, 200, json);
    }

    std::pair<int, Json> commit(const Json &json)
    {
        bool isMet = true;
        Json items = Json::array();
        for (const Json &it : json.at("expected")) {
            const std::string key = it.at("key");
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            isMet = isMet && revision == it.at("revision").get<std::uint64_t>();
            if (revision != 0) {
                items.push_back(itemJson(key));
            }
        }
        if (!isMet) {
            return {412, {{"items", items}}};
        }
        for (const Json &it : json.at("write")) {
            write(it.at("key"), it.at("data"));
        }
        for (const Json &it : json.at("remove")) {
            erase(it);
        }
        return {200, {{"revision", m_revision}}};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_history;
    std::uint64_t m_revision = 10;
    std::uint64_t m_droppedRevision = 0;
    FaultRule m_faults;
    std::vector<std::unique_ptr<Server>> m_servers;
};

} // namespace review

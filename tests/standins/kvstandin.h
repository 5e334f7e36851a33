#pragma once

#include "core/loopthread.h"
#include "core/settingsreader.h"
#include "http/connectionset.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace flamingo
{

/// Simulates the platform's key-value store: keys with revisions, ranges, watches and transactions, with injected faults.
/// Besides setFault(), POST /admin with a JSON object sets: down (like Fault::Unresponsive), delay_ms, lose_answers (the
/// share of successful transactions whose response is dropped), writes_per_second, reads_per_second, list_lag_ms, leaving
/// (ids of endpoints that are registered as leaving after list_lag_ms). The response holds the number of calls by kind.
class KvStandIn
{
public:
    enum class Fault {
        None,
        Unavailable, ///< Responds 503 to every request.
        Unresponsive, ///< Accepts requests and never responds.
        StalledWatches, ///< Watches get no events before they time out, and the history is dropped; other requests are served.
        LostResponses, ///< Performs transactions without responding to them.
    };

    /// Listens on loopback; with port 0 on a free port. The seed determines which responses are lost.
    explicit KvStandIn(std::uint16_t port = 0, std::uint64_t seed = 1);
    ~KvStandIn();

    SocketAddress address() const;

    /// Writes a key, as an operator or an endpoint would, and returns its revision.
    std::uint64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// The value of a key; empty when it is absent.
    std::string get(const std::string &key);
    std::vector<std::string> keys(const std::string &prefix);

    void setFault(Fault fault);

    /// Drops the history, so that watches that start before the current revision get status 410.
    void compact();

    /// The number of transactions processed, whatever their result. Those refused by a fault or the rate limit aren't counted.
    int commitCount() const;

private:
    struct Item {
        std::string data; ///< In base64, as received.
        std::uint64_t revision = 0;
        std::uint64_t createdRevision = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        bool isDeleted = false;
        Item item; ///< As it was written.
    };
    /// A token bucket of one second's calls; calls beyond it get status 429.
    struct RateLimit {
        double perSecond = 0;
        double tokens = 0;
        Instant lastRefill = std::chrono::steady_clock::now();

        bool tryTake(Instant now);
    };
    struct PendingWatch {
        std::weak_ptr<ServerConnection> connection;
        std::string prefix;
        std::uint64_t afterRevision = 0;
        Instant deadline;
    };

    void onRequest(const ServerConnectionPtr &connection, const ServerRequest &request);
    void serve(const ServerConnectionPtr &connection, const ServerRequest &request);
    void applyAdminSettings(const ServerConnectionPtr &connection, const std::string &body);
    void registerLeaving(const std::string &endpoint);
    bool checkRateLimit(RateLimit &limit, const char *call, const ServerConnectionPtr &connection);
    void respond(const ServerConnectionPtr &connection, int status, const nlohmann::json &json);
    void readKey(const ServerConnectionPtr &connection, const std::string &key);
    void readRange(const ServerConnectionPtr &connection, const std::string &prefix, const std::string &after);
    void watch(const ServerConnectionPtr &connection, const PendingWatch &pending);
    void commit(const ServerConnectionPtr &connection, const std::string &body);
    void respondToWatches();
    bool respondToWatch(const PendingWatch &pending, bool isTimedOut);
    void set(const std::string &key, const std::string &data);
    void erase(const std::string &key);
    nlohmann::json itemJson(const std::string &key) const;
    nlohmann::json itemJson(const std::string &key, const Item &item) const;

    LoopThread m_thread;
    std::unique_ptr<ConnectionSet> m_server;
    std::uint16_t m_port = 0;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::vector<PendingWatch> m_pendingWatches;
    std::uint64_t m_revision = 10;
    std::uint64_t m_compactedRevision = 0;
    Fault m_fault = Fault::None;
    std::mt19937_64 m_random;
    double m_lostResponseShare = 0;
    Milliseconds m_delay{0};
    Milliseconds m_listLag{3000};
    RateLimit m_writeLimit;
    RateLimit m_readLimit;
    std::vector<ServerConnectionPtr> m_unanswered;
    std::map<std::string, std::uint64_t> m_callCounts;
    std::atomic<int> m_commitCount{0};
};

} // namespace flamingo

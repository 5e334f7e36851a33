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

/// A stand-in for the platform's store: keys with revisions, ranges, watches and transactions, and its troubles. Besides
/// the troubles below, POST /admin with a JSON object switches: down, delay_ms, lose_answers (share of transactions whose
/// answer is dropped after they took effect), writes_per_second, reads_per_second, list_lag_ms, leaving (ids of endpoints
/// that register themselves as leaving after that lag). It answers with counts of the calls by kind.
class KvStandin
{
public:
    enum class Trouble {
        None,
        Refuses, ///< Answers 503 to everything.
        Silent, ///< Answers nothing.
        Deaf, ///< Waiting watches hear nothing and history is dropped; all else is answered.
        LosesAnswers, ///< Makes changes without answering.
    };

    /// Port 0 chooses a free one.
    explicit KvStandin(std::uint16_t port = 0, std::uint64_t seed = 1);
    ~KvStandin();

    SocketAddress address() const;

    /// Writes or removes a key as the operator or an endpoint does.
    std::uint64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// The value of a key; empty when it is absent.
    std::string get(const std::string &key);
    std::vector<std::string> keys(const std::string &prefix);

    void setTrouble(Trouble trouble);

    /// Drops the history, so that watches behind it are told so.
    void compact();

    /// Transactions that were asked for.
    int commits() const;

private:
    struct Item {
        std::string data; ///< base64, as it came.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        bool isDeleted = false;
    };
    /// Calls a second that are served; those above are refused.
    struct RateLimit {
        double perSecond = 0;
        double left = 0;
        Instant last = std::chrono::steady_clock::now();

        bool take(Instant now);
    };
    struct Waiting {
        std::weak_ptr<ServerConnection> connection;
        std::string prefix;
        std::uint64_t after = 0;
        Instant until;
    };

    void onRequest(const ServerConnectionPtr &connection, const ServerRequest &request);
    void serve(const ServerConnectionPtr &connection, const ServerRequest &request);
    void administer(const ServerConnectionPtr &connection, const std::string &body);
    void registerLeaving(const std::string &endpoint);
    bool isWithin(RateLimit &limit, const char *call, const ServerConnectionPtr &connection);
    void answer(const ServerConnectionPtr &connection, int status, const nlohmann::json &json);
    void readKey(const ServerConnectionPtr &connection, const std::string &key);
    void readRange(const ServerConnectionPtr &connection, const std::string &prefix, const std::string &after);
    void watch(const ServerConnectionPtr &connection, const Waiting &waiting);
    void commit(const ServerConnectionPtr &connection, const std::string &body);
    void answerWatches();
    bool answerWatch(const Waiting &waiting, bool isLast);
    void set(const std::string &key, const std::string &data);
    void erase(const std::string &key);
    nlohmann::json itemJson(const std::string &key) const;

    LoopThread m_thread;
    std::unique_ptr<ConnectionSet> m_server;
    std::uint16_t m_port = 0;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::vector<Waiting> m_waiting;
    std::uint64_t m_revision = 10;
    std::uint64_t m_compactedTo = 0;
    Trouble m_trouble = Trouble::None;
    std::mt19937_64 m_random;
    double m_lostShare = 0;
    Milliseconds m_delay{0};
    Milliseconds m_listLag{3000};
    RateLimit m_writes;
    RateLimit m_reads;
    std::vector<ServerConnectionPtr> m_unanswered;
    std::map<std::string, std::uint64_t> m_counts;
    std::atomic<int> m_commits{0};
};

} // namespace flamingo

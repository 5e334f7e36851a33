#pragma once

#include "core/metrics.h"
#include "http/simplecall.h"
#include "serving/budgetledger.h"
#include "serving/memberdirectory.h"
#include "serving/registryversions.h"
#include "serving/turncache.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace flamingo
{

/// Where the prompt of a line of turns was last read.
struct CachedPrefix {
    EndpointId endpoint;
    Tokens tokens; ///< Of the line's own; parts that many share don't count.
};

/// Asked of a program's home before a turn runs.
struct BeginTurnRequest {
    ProgramId program;
    std::optional<SessionId> session; ///< The line of turns.
    std::optional<Tokens> budget; ///< None for turns without one.
    Tokens maxTokens; ///< What the turn generates at most.
    bool isReferred = false; ///< Another instance has sent it here.
    std::optional<RequestId> previousTurn; ///< The turn that it continues from.
    RegistryVersions registryVersions; ///< What the asking instance has seen.

    std::string encode() const;
    static std::optional<BeginTurnRequest> decode(const std::string &bytes);
};

/// The home's answer.
struct BeginTurnResponse {
    BudgetVerdict verdict = BudgetVerdict::Unconfirmed;
    TurnChain history; ///< Found and empty for a turn that continues from none.
    std::optional<CachedPrefix> cachedPrefix;
    IncarnationId holder; ///< Who has the budget, when it is elsewhere.
    InstanceId home; ///< To which the turn's end is reported.
    RegistryVersions registryVersions; ///< What the home has seen.

    std::string encode() const;
    static std::optional<BeginTurnResponse> decode(const std::string &bytes);
};

/// Told to the home once a turn has ended, whole or not.
struct EndTurnRequest {
    ProgramId program;
    std::optional<SessionId> session;
    Tokens reservedTokens;
    Tokens usedTokens; ///< What may have reached the caller.
    std::optional<CachedPrefix> cachedPrefix;
    TurnRecordPtr turnRecord; ///< Of a stateful turn that ended whole; it is in the store already or on its way there.

    std::string encode() const;
    static std::optional<EndTurnRequest> decode(const std::string &bytes);
};

/// What each instance does for the programs whose home it is.
class HomeService
{
public:
    HomeService(BudgetLedger &budgets, TurnCache &history, InstanceId self);

    void beginTurn(const BeginTurnRequest &request, std::function<void(BeginTurnResponse)> onResponse);
    void endTurn(const EndTurnRequest &request);

    /// Forgets where prompts are cached of lines that have been idle for so long.
    void expireCachedPrefixes(Milliseconds maxIdle, Instant now);

private:
    struct PrefixCacheEntry {
        CachedPrefix prefix;
        Instant lastUsedAt;
    };

    std::optional<CachedPrefix> findCachedPrefix(const BeginTurnRequest &request) const;

    std::unordered_map<ProgramId, PrefixCacheEntry> m_prefixCache; ///< By program and by session; their ids don't meet.
    BudgetLedger &m_budgets;
    TurnCache &m_history;
    InstanceId m_self;
};

/// Finds a program's home, which may be this instance, and asks it; when it doesn't answer, the next best one.
class HomeClient
{
public:
    static constexpr const char *BeginTurnPath = "/turn/begin";
    static constexpr const char *EndTurnPath = "/turn/end";

    /// How instances tell each other what they have seen of the registry.
    struct Hooks {
        std::function<RegistryVersions()> ownVersions;
        std::function<void(const RegistryVersions &)> onPeerVersions;
        std::function<void(const InstanceId &)> onPeerResponse; ///< It has answered.
    };

    HomeClient(asio::io_context &context, MemberDirectory &fleet, HomeService &localHome, LinkPool &peerConnections, Hooks hooks);

    void beginTurn(const BeginTurnRequest &request, std::function<void(BeginTurnResponse)> onResponse);
    void endTurn(const InstanceId &home, const EndTurnRequest &request);

private:
    struct PendingBegin;

    void sendBegin(const std::shared_ptr<PendingBegin> &pending, const InstanceId &home);
    void onBeginResponse(const std::shared_ptr<PendingBegin> &pending, BeginTurnResponse response);
    void tryNextHome(const std::shared_ptr<PendingBegin> &pending);
    void post(const MemberRecord &member, const char *path, std::string body, std::function<void(std::optional<std::string> responseBody)> onResponse);

    asio::io_context &m_context;
    MemberDirectory &m_fleet;
    HomeService &m_localHome;
    LinkPool &m_peerConnections;
    Hooks m_hooks;
};

} // namespace flamingo

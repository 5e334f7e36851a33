#pragma once

#include "core/metrics.h"
#include "http/internalrequest.h"
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

/// The endpoint that last processed the prompt of a session, and how much of it is cached there.
struct CachedPrefix {
    EndpointId endpoint;
    Tokens tokens; ///< Without prompt parts that many sessions share.
};

/// Asks a program's home for budget and history before a turn runs. The home is the instance that keeps the program's budget
/// and recent turns; see MemberDirectory::rankedHomes().
struct BeginTurnRequest {
    ProgramId program;
    std::optional<SessionId> session;
    std::optional<Tokens> budget; ///< Of the whole program; not set for turns without a budget.
    Tokens maxTokens; ///< The most that the turn generates.
    /// Set when the request goes to the budget's holder, or back to the home because the holder can't be reached. It isn't
    /// forwarded again.
    bool isForwarded = false;
    std::optional<RequestId> previousTurn; ///< The turn that this one continues.
    std::optional<WorkspaceId> workspace; ///< Of the caller; a previous turn of another one is absent.
    RegistryVersions registryVersions; ///< Seen by the sender.

    std::string encode() const;
    static std::optional<BeginTurnRequest> decode(const std::string &bytes);
};

/// The home's response to BeginTurnRequest.
struct BeginTurnResponse {
    BudgetVerdict verdict = BudgetVerdict::Unconfirmed;
    TurnChain history; ///< Status Found and empty for a turn that continues no other.
    std::optional<CachedPrefix> cachedPrefix;
    IncarnationId holder; ///< The budget's holder, for the verdict HeldElsewhere.
    Milliseconds retryAfter{0}; ///< Compare BudgetAnswer.
    InstanceId home; ///< The instance that the end of the turn is reported to.
    RegistryVersions registryVersions; ///< Seen by the home.

    std::string encode() const;
    static std::optional<BeginTurnResponse> decode(const std::string &bytes);
};

/// Reports to the home that a turn has ended, complete or not.
struct EndTurnRequest {
    ProgramId program;
    std::optional<SessionId> session;
    Tokens reservedTokens;
    Tokens usedTokens; ///< Tokens that may have reached the caller.
    std::optional<CachedPrefix> cachedPrefix;
    TurnRecordPtr turnRecord; ///< Set for a complete stateful turn, which has been saved or is being saved.

    std::string encode() const;
    static std::optional<EndTurnRequest> decode(const std::string &bytes);
};

/// Serves the programs whose home is this instance: reserves their budgets, looks up their histories and remembers where
/// their prompts are cached.
class HomeService
{
public:
    HomeService(BudgetLedger &budgets, TurnCache &turnCache, InstanceId self);

    /// The handler is called once, possibly before this returns.
    void beginTurn(const BeginTurnRequest &request, std::function<void(BeginTurnResponse)> onResponse);
    void endTurn(const EndTurnRequest &request);

    /// Gives back what a turn reserved whose sender didn't get the response, so that nobody runs it.
    void abandonTurn(const BeginTurnRequest &request, const BeginTurnResponse &response);

    /// Forgets cached prefixes that have been unused for longer than maxIdle.
    void expireCachedPrefixes(Milliseconds maxIdle, Instant now);

private:
    struct PrefixCacheEntry {
        CachedPrefix prefix;
        Instant lastUsedAt;
    };

    std::optional<CachedPrefix> findCachedPrefix(const BeginTurnRequest &request) const;

    std::unordered_map<ProgramId, PrefixCacheEntry> m_prefixCache; ///< By program id and by sessionKey(), which never collide.
    BudgetLedger &m_budgets;
    TurnCache &m_turnCache;
    InstanceId m_self;
};

/// Sends requests to a program's home, which may be this instance. If the home doesn't respond, the next instance in the
/// program's ranking is asked.
class HomeClient
{
public:
    static constexpr const char *BeginTurnPath = "/turn/begin";
    static constexpr const char *EndTurnPath = "/turn/end";

    /// Access to the registry versions that instances exchange, and to the isolation detector.
    struct Hooks {
        std::function<RegistryVersions()> ownVersions;
        std::function<void(const RegistryVersions &)> onPeerVersions;
        std::function<void(const InstanceId &)> onPeerResponse; ///< The instance has responded.
    };

    HomeClient(asio::io_context &context, MemberDirectory &members, HomeService &localHome, ConnectionPool &peerConnections, Hooks hooks);

    /// The handler is called once; the verdict is Unconfirmed if no home has responded.
    void beginTurn(const BeginTurnRequest &request, std::function<void(BeginTurnResponse)> onResponse);

    /// Reports the end of a turn. A failure is only logged.
    void endTurn(const InstanceId &home, const EndTurnRequest &request);

private:
    struct PendingBegin;

    void sendBegin(const std::shared_ptr<PendingBegin> &pending, const InstanceId &home);
    void onBeginResponse(const std::shared_ptr<PendingBegin> &pending, BeginTurnResponse response);
    std::optional<InstanceId> reachableHolder(const IncarnationId &holder) const;
    void tryNextHome(const std::shared_ptr<PendingBegin> &pending);
    void post(const MemberRecord &member, const char *path, std::string body, std::function<void(std::optional<std::string> responseBody)> onResponse);

    asio::io_context &m_context;
    MemberDirectory &m_members;
    HomeService &m_localHome;
    ConnectionPool &m_peerConnections;
    Hooks m_hooks;
};

} // namespace flamingo

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
struct TurnBegin {
    ProgramId program;
    std::optional<SessionId> session; ///< The line of turns.
    std::optional<Tokens> budget; ///< None for turns without one.
    Tokens most; ///< What the turn generates at most.
    bool isReferred = false; ///< Another instance has sent it here.
    std::optional<RequestId> previous; ///< The turn that it continues from.
    RegistryVersions versions; ///< What the asking instance has seen.

    std::string encode() const;
    static std::optional<TurnBegin> decode(const std::string &bytes);
};

/// The home's answer.
struct TurnGrant {
    BudgetVerdict verdict = BudgetVerdict::Unconfirmed;
    TurnChain chain; ///< Found and empty for a turn that continues from none.
    std::optional<CachedPrefix> cachedAt;
    IncarnationId holder; ///< Who has the budget, when it is elsewhere.
    InstanceId home; ///< To which the turn's end is reported.
    RegistryVersions versions; ///< What the home has seen.

    std::string encode() const;
    static std::optional<TurnGrant> decode(const std::string &bytes);
};

/// Told to the home once a turn has ended, whole or not.
struct TurnEnd {
    ProgramId program;
    std::optional<SessionId> session;
    Tokens reserved;
    Tokens used; ///< What may have reached the caller.
    std::optional<CachedPrefix> cachedAt;
    TurnRecordPtr turn; ///< Of a stateful turn that ended whole; it is in the store already or on its way there.

    std::string encode() const;
    static std::optional<TurnEnd> decode(const std::string &bytes);
};

/// What each instance does for the programs whose home it is.
class ProgramHome
{
public:
    ProgramHome(BudgetLedger &budgets, TurnCache &history, InstanceId self);

    void begin(const TurnBegin &begin, std::function<void(TurnGrant)> onGrant);
    void end(const TurnEnd &end);

    /// Forgets where prompts are cached of lines that have been idle for so long.
    void forgetIdle(Milliseconds idle, Instant now);

private:
    struct Line {
        CachedPrefix prefix;
        Instant usedAt;
    };

    std::optional<CachedPrefix> prefixOf(const TurnBegin &begin) const;

    std::unordered_map<ProgramId, Line> m_lines; ///< By program and by session; their ids don't meet.
    BudgetLedger &m_budgets;
    TurnCache &m_history;
    InstanceId m_self;
};

/// Finds a program's home, which may be this instance, and asks it; when it doesn't answer, the next best one.
class HomeClient
{
public:
    static constexpr const char *BeginPath = "/turn/begin";
    static constexpr const char *EndPath = "/turn/end";

    /// How instances tell each other what they have seen of the registry.
    struct Hooks {
        std::function<RegistryVersions()> versions;
        std::function<void(const RegistryVersions &)> onTold;
        std::function<void(const InstanceId &)> onHeard; ///< It has answered.
    };

    HomeClient(asio::io_context &context, MemberDirectory &fleet, ProgramHome &local, LinkPool &peers, Hooks hooks);

    void begin(const TurnBegin &begin, std::function<void(TurnGrant)> onGrant);
    void end(const InstanceId &home, const TurnEnd &end);

private:
    struct Asking;

    void ask(const std::shared_ptr<Asking> &asking, const InstanceId &home);
    void onGrant(const std::shared_ptr<Asking> &asking, TurnGrant grant);
    void askNext(const std::shared_ptr<Asking> &asking);
    void post(const MemberRecord &member, const char *path, std::string body, std::function<void(std::optional<std::string> answer)> onAnswer);

    asio::io_context &m_context;
    MemberDirectory &m_fleet;
    ProgramHome &m_local;
    LinkPool &m_peers;
    Hooks m_hooks;
};

} // namespace flamingo

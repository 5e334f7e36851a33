#pragma once

#include "configuration/configuration.h"
#include "core/metrics.h"
#include "membership/memberinfo.h"
#include "peerlink/messages.h"
#include "peerlink/peertransport.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace flamingo
{

struct EntrySettings {
    InstanceId instance;
    DomainId domain;
    std::uint32_t shardCount = 8;
    Milliseconds ownerWait{10000}; ///< How long a request waits for its program's owner to be there.
};

/// Finds the owner of each request's program, sends it there, and sends it again when the owner changes or the link
/// breaks. Sending again is safe, since calls are numbered. It keeps nothing that must last and does no I/O.
class EntryCore
{
public:
    /// Sends to another process and tells by which link.
    using SendFunction = std::function<LinkId(const std::string &address, const PeerMessage &message)>;

    /// Gets each answer to a request; the last one is neither an AnswerDelta nor anything after it.
    using ReplyHandler = std::function<void(const PeerMessage &reply)>;
    using ErrorHandler = std::function<void(const Error &error)>;

    struct Request {
        PeerMessage message; ///< Its request number is set by the core.
        ShardId shard;
        Instant deadline;
        bool isFirstAttempt = false; ///< The caller says that it hasn't sent this before.
        ReplyHandler onReply;
        ErrorHandler onError;
    };

    EntryCore(EntrySettings settings, Metrics &metrics, SendFunction send, std::uint64_t seed);

    void setTime(Instant now);
    void onMessage(LinkId link, const PeerMessage &message);
    void onLinkDown(LinkId link);

    /// To be called every few milliseconds.
    void onTimer();

    void submit(Request request);

    /// A new program's id, on a shard of this instance, of this domain, or of any, in this order.
    Result<ProgramId> newProgramId();

    /// The id that a caller's idempotency key always leads to.
    ProgramId programIdForKey(const CallerId &caller, const std::string &key) const;

    /// The id of a sub-agent, on its parent's shard.
    Result<ProgramId> newSubAgentId(const ProgramId &parent);

    /// Whether there is a configuration to check requests against.
    bool isReady() const;

    /// The caller whose key this is.
    Result<CallerId> authenticate(const std::string &key) const;

    /// Whether the caller with this key may start the agent.
    Result<void> checkMayStartAgent(const std::string &key, const AgentId &agent) const;

    const Configuration &configuration() const;
    bool isDraining() const;
    void drain();
    std::size_t pendingRequestCount() const;

private:
    struct PendingRequest {
        Request request;
        Instant ownerDeadline;
        Instant nextAttemptAt;
        LinkId link = 0; ///< 0 while it isn't sent.
        bool wasSent = false;
    };

    void trySend(RequestNumber number, PendingRequest &pending);
    void failUnanswered(RequestNumber number);
    void scheduleRetry(PendingRequest &pending, const std::string &reason);
    void onRefused(RequestNumber number, const Refusal &refusal);
    std::string randomSuffix();
    std::optional<std::string> ownerAddress(ShardId shard) const;

    const EntrySettings m_settings;
    Metrics &m_metrics;
    SendFunction m_send;
    std::mt19937_64 m_random;
    Instant m_now;
    Configuration m_configuration;
    std::map<InstanceId, MemberInfo> m_members;
    std::map<RequestNumber, PendingRequest> m_pendingRequests;
    RequestNumber m_lastRequestNumber = 0;
    bool m_isDraining = false;
};

} // namespace flamingo

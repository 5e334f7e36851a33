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
    Milliseconds ownerWait{10000}; ///< How long a request waits until an owner of its program is known.
};

/// Sends each request to the owner of its program, and sends it again when the owner changes or the link goes down. Sending
/// again is safe, since calls are numbered. The class keeps no durable state and does no I/O.
class EntryCore
{
public:
    /// Sends to another process and returns the link.
    using SendFunction = std::function<LinkId(const std::string &address, const PeerMessage &message)>;

    /// Called with each reply to a request: any number of AnswerDelta, then one reply of another type. If the request fails, the
    /// error handler is called instead of the latter.
    using ReplyHandler = std::function<void(const PeerMessage &reply)>;
    using ErrorHandler = std::function<void(const Error &error)>;

    struct Request {
        PeerMessage message; ///< Its request number is set by the core.
        ShardId shard;
        Instant deadline;
        bool isFirstAttempt = false; ///< The caller states that it hasn't sent this request before.
        ReplyHandler onReply;
        ErrorHandler onError;
    };

    EntryCore(EntrySettings settings, Metrics &metrics, SendFunction send, std::uint64_t seed);

    void setTime(Instant now);
    void onMessage(LinkId link, const PeerMessage &message);
    void onLinkDown(LinkId link);

    /// Sends requests again that are due and fails those whose time is over. To be called every few milliseconds.
    void onTimer();

    void submit(Request request);

    /// An id for a new program, on a shard that this instance owns; failing that, one owned in this failure domain; failing
    /// that, any owned one.
    Result<ProgramId> newProgramId();

    /// The program id for a caller's idempotency key; the same key always gives the same id.
    ProgramId programIdForKey(const CallerId &caller, const std::string &key) const;

    /// An id for a new sub-agent, on its parent's shard.
    Result<ProgramId> newSubAgentId(const ProgramId &parent);

    /// Whether there is a configuration to check requests against.
    bool isReady() const;

    /// The caller that this key belongs to.
    Result<CallerId> authenticate(const std::string &key) const;

    /// Fails if the caller with this key may not start the agent.
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
        LinkId link = 0; ///< 0 while the request isn't sent.
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

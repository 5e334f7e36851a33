#include "entry/entrycore.h"

#include "core/digest.h"
#include "core/sha256.h"
#include "core/visitors.h"
#include "membership/programshard.h"
#include "membership/shardowner.h"

#include <fmt/format.h>

#include <utility>

namespace flamingo
{

namespace
{
/// The owner answers at the deadline and knows more about the call than the entry, so the entry waits a little longer.
constexpr Milliseconds OwnerGracePeriod{1000};
constexpr Milliseconds RetryDelay{50};
constexpr Milliseconds RetryJitter{50};

/// The request number of a reply; 0 for any other message.
RequestNumber requestNumberOf(const PeerMessage &message)
{
    return std::visit(Visitors{[](const StartProgramReply &reply) { return reply.request; },
                               [](const AnswerDelta &reply) { return reply.request; },
                               [](const AnswerDone &reply) { return reply.request; },
                               [](const Refusal &reply) { return reply.request; },
                               [](const EndProgramReply &reply) { return reply.request; },
                               [](const auto &) { return RequestNumber(0); }},
                      message);
}

void setNumberAndDeadline(PeerMessage &message, RequestNumber number, Milliseconds timeLeft)
{
    std::visit(Visitors{[&](StartProgram &request) { request.request = number; },
                        [&](SubmitCall &request) {
                            request.request = number;
                            request.deadlineMs = timeLeft.count();
                        },
                        [&](FetchAnswer &request) { request.request = number; },
                        [&](EndProgram &request) { request.request = number; },
                        [](auto &) {}},
               message);
}

/// Whether the error means that the request has to go to another owner.
bool isOwnershipError(ErrorKind kind)
{
    return kind == ErrorKind::NotOwner || kind == ErrorKind::OwnershipLost;
}
} // namespace

EntryCore::EntryCore(EntrySettings settings, Metrics &metrics, SendFunction send, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_send(std::move(send))
    , m_random(seed)
{
}

void EntryCore::setTime(Instant now)
{
    m_now = now;
}

void EntryCore::onMessage(LinkId link, const PeerMessage &message)
{
    if (const auto *update = std::get_if<MembershipUpdate>(&message)) {
        m_members.clear();
        for (const MemberInfo &member : update->members) {
            m_members.emplace(member.instance, member);
        }
        return;
    }
    if (const auto *update = std::get_if<ConfigurationUpdate>(&message)) {
        for (const ConfigObject &object : update->objects) {
            m_configuration.merge(object);
        }
        return;
    }
    const RequestNumber number = requestNumberOf(message);
    const auto it = m_pendingRequests.find(number);
    if (it == m_pendingRequests.end() || it->second.link != link) {
        return;
    }
    if (const auto *refusal = std::get_if<Refusal>(&message)) {
        onRefused(number, *refusal);
        return;
    }
    const ReplyHandler onReply = it->second.request.onReply;
    if (!std::holds_alternative<AnswerDelta>(message)) {
        m_pendingRequests.erase(it);
    }
    onReply(message);
}

void EntryCore::onRefused(RequestNumber number, const Refusal &refusal)
{
    PendingRequest &pending = m_pendingRequests.at(number);
    const Error error = errorFromRefusal(refusal);
    if (isOwnershipError(error.kind)) {
        scheduleRetry(pending, refusal.kind);
        return;
    }
    const ErrorHandler onError = pending.request.onError;
    m_pendingRequests.erase(number);
    m_metrics.addRefusal(error.kind);
    onError(error);
}

void EntryCore::scheduleRetry(PendingRequest &pending, const std::string &reason)
{
    m_metrics.addRetry(reason);
    pending.link = 0;
    pending.nextAttemptAt = m_now + RetryDelay + Milliseconds(m_random() % static_cast<std::uint64_t>(RetryJitter.count()));
}

void EntryCore::onLinkDown(LinkId link)
{
    for (auto &[number, pending] : m_pendingRequests) {
        if (pending.link == link) {
            pending.ownerDeadline = m_now + m_settings.ownerWait;
            scheduleRetry(pending, "link-down");
        }
    }
}

void EntryCore::onTimer()
{
    std::vector<RequestNumber> expired;
    for (auto &[number, pending] : m_pendingRequests) {
        if (m_now >= pending.request.deadline + (pending.wasSent ? OwnerGracePeriod : Milliseconds(0))
            || (pending.link == 0 && m_now >= pending.ownerDeadline)) {
            expired.push_back(number);
        } else if (pending.link == 0 && m_now >= pending.nextAttemptAt) {
            trySend(number, pending);
        }
    }
    for (const RequestNumber number : expired) {
        failUnanswered(number);
    }
}

// "Not run" is reported only if no owner can have received the request, neither from this entry nor from an earlier attempt
// of the caller.
void EntryCore::failUnanswered(RequestNumber number)
{
    auto node = m_pendingRequests.extract(number);
    const PendingRequest &pending = node.mapped();
    const bool isNotRun = !pending.wasSent && pending.request.isFirstAttempt;
    const ErrorKind kind = isNotRun ? ErrorKind::OwnerUnreachable : ErrorKind::OwnerUnreachableOnRetry;
    m_metrics.addRefusal(kind);
    pending.request.onError({kind, "the owner of the program can't be reached or has not answered in time", Milliseconds(1000)});
}

void EntryCore::submit(Request request)
{
    const RequestNumber number = ++m_lastRequestNumber;
    PendingRequest pending;
    pending.ownerDeadline = m_now + m_settings.ownerWait;
    pending.nextAttemptAt = m_now;
    pending.request = std::move(request);
    const auto it = m_pendingRequests.emplace(number, std::move(pending)).first;
    trySend(number, it->second);
}

void EntryCore::trySend(RequestNumber number, PendingRequest &pending)
{
    const auto address = ownerAddress(pending.request.shard);
    if (!address) {
        pending.nextAttemptAt = m_now + RetryDelay;
        return;
    }
    setNumberAndDeadline(pending.request.message, number, std::chrono::duration_cast<Milliseconds>(pending.request.deadline - m_now));
    pending.wasSent = true;
    pending.link = m_send(*address, pending.request.message);
}

std::optional<std::string> EntryCore::ownerAddress(ShardId shard) const
{
    const auto owner = reachableOwner(shard, m_members);
    if (!owner) {
        return std::nullopt;
    }
    return m_members.at(*owner).schedulerAddress;
}

std::string EntryCore::randomSuffix()
{
    return fmt::format("{:016x}", m_random());
}

Result<ProgramId> EntryCore::newProgramId()
{
    std::vector<ShardId> candidates;
    int bestTier = 3;
    for (const auto &[instance, member] : m_members) {
        if (!canOwnShards(member)) {
            continue;
        }
        int tier = member.domain == m_settings.domain ? 1 : 2;
        tier = instance == m_settings.instance ? 0 : tier;
        if (member.shards.empty() || tier > bestTier) {
            continue;
        }
        if (tier < bestTier) {
            candidates.clear();
            bestTier = tier;
        }
        for (const OwnedShard &owned : member.shards) {
            candidates.push_back(owned.shard);
        }
    }
    if (candidates.empty()) {
        return tl::make_unexpected(Error{ErrorKind::OwnerUnreachable, "no scheduler is there", Milliseconds(1000)});
    }
    return ProgramId(fmt::format("{}-{}", candidates[m_random() % candidates.size()].value(), randomSuffix()));
}

ProgramId EntryCore::programIdForKey(const CallerId &caller, const std::string &key) const
{
    const std::string text = caller.value() + '\n' + key;
    return ProgramId(fmt::format("{}-k{}", stableHash(text) % m_settings.shardCount, digestOf(text).value()));
}

Result<ProgramId> EntryCore::newSubAgentId(const ProgramId &parent)
{
    const auto shard = shardOf(parent);
    if (!shard) {
        return failure(ErrorKind::UnknownProgram, "the parent's id is malformed");
    }
    return ProgramId(fmt::format("{}-{}", shard->value(), randomSuffix()));
}

bool EntryCore::isReady() const
{
    return !m_configuration.objects().empty();
}

Result<CallerId> EntryCore::authenticate(const std::string &key) const
{
    CallerId caller;
    if (key.empty() || !m_configuration.callerByKey(sha256Hex(key), caller)) {
        return failure(ErrorKind::Unauthenticated, "the key is unknown");
    }
    return caller;
}

Result<void> EntryCore::checkMayStartAgent(const std::string &key, const AgentId &agent) const
{
    CallerId caller;
    const CallerSpec *spec = m_configuration.callerByKey(sha256Hex(key), caller);
    if (!spec || spec->agents.count(agent.value()) == 0 || !m_configuration.agent(agent)) {
        return failure(ErrorKind::UnknownAgent, fmt::format("there is no agent {} for this caller", agent.value()));
    }
    return {};
}

const Configuration &EntryCore::configuration() const
{
    return m_configuration;
}

bool EntryCore::isDraining() const
{
    return m_isDraining;
}

void EntryCore::drain()
{
    m_isDraining = true;
}

std::size_t EntryCore::pendingRequestCount() const
{
    return m_pendingRequests.size();
}

} // namespace flamingo

#include "instance/quotaclient.h"

#include "core/log.h"
#include "http/internalrequest.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingo
{

namespace
{
constexpr int StatusOk = 200;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
/// A home that hasn't answered is asked again after this time.
constexpr Milliseconds AvoidedTime{1000};
/// A watch of the member list shows when it was sent that the list was up to date, and may wait for this long.
constexpr Milliseconds MaxListWatchTime{10000};
/// A workspace without refusals for this long is within its limit again.
constexpr Milliseconds RefusedTime{10000};
/// Keeps the bodies of transfers within what a peer takes.
constexpr std::size_t MaxPartitionsPerTransfer = 200;
constexpr int MaxTransferTries = 3;
constexpr Milliseconds TransferRetryDelay{200};

std::string resultLabel(const char *result)
{
    return fmt::format("result=\"{}\"", result);
}
} // namespace

QuotaClient::QuotaClient(Peers peers, IncarnationId self, QuotaSettings settings, const RouteTable &routes, QuotaLedger::OwnLimit ownLimit, Metrics &metrics)
    : m_peers(peers)
    , m_self(std::move(self))
    , m_routes(routes)
    , m_metrics(metrics)
    , m_isEnabled(settings.window.count() > 0)
    , m_ledger(peers.members, m_self, settings, std::move(ownLimit), suspendAwareNow())
    , m_leases(peers.members.self(),
               {[this](const QuotaPartition &partition) { return reachableHome(partition); },
                [this](const QuotaLeaseRequest &request, Instant now, QuotaLeases::AnswerHandler onAnswer) { ask(request, now, std::move(onAnswer)); }})
{
}

void QuotaClient::acquire(const Workspace &workspace, std::function<void(QuotaVerdict)> onVerdict)
{
    if (!m_isEnabled || workspace.requestsPerSecond <= 0) {
        onVerdict({});
        return;
    }
    m_leases.acquire(workspace,
                     m_routes.configuration().version,
                     suspendAwareNow(),
                     [this, id = workspace.id, onVerdict = std::move(onVerdict)](const QuotaVerdict &verdict) {
                         this->onVerdict(id, verdict, suspendAwareNow());
                         onVerdict(verdict);
                     });
}

void QuotaClient::admit(const std::optional<Workspace> &workspace, std::function<void(const std::optional<Refusal> &)> onDecided)
{
    if (!workspace) {
        onDecided(std::nullopt);
        return;
    }
    acquire(*workspace, [onDecided = std::move(onDecided)](const QuotaVerdict &verdict) {
        if (verdict.outcome == QuotaVerdict::Outcome::Allowed) {
            onDecided(std::nullopt);
        } else if (verdict.outcome == QuotaVerdict::Outcome::Exceeded) {
            onDecided(Refusal{StatusTooManyRequests, "quota-exceeded", verdict.retryAfter});
        } else {
            onDecided(Refusal{StatusUnavailable, "quota-unsure", verdict.retryAfter});
        }
    });
}

// Only the begin and the end of refusals are logged.
void QuotaClient::onVerdict(const WorkspaceId &workspace, const QuotaVerdict &verdict, Instant now)
{
    if (verdict.outcome == QuotaVerdict::Outcome::Allowed) {
        return;
    }
    const bool isExceeded = verdict.outcome == QuotaVerdict::Outcome::Exceeded;
    m_metrics.add("flamingo_quota_refused_total", isExceeded ? "reason=\"exceeded\"" : "reason=\"unsure\"");
    if (m_refusedAt.count(workspace) == 0) {
        logChange(
            "quota-refuses", "workspace={} reason={} retry_after_ms={}", workspace.value(), isExceeded ? "exceeded" : "unsure", verdict.retryAfter.count());
    }
    m_refusedAt[workspace] = now;
}

std::optional<IncarnationId> QuotaClient::reachableHome(const QuotaPartition &partition) const
{
    const auto home = m_peers.members.listedHome(partition.key());
    const MemberRecord *member = home ? m_peers.members.find(*home) : nullptr;
    if (!member) {
        return std::nullopt;
    }
    const auto avoided = m_avoidedUntil.find(member->incarnation);
    const bool isAvoided = avoided != m_avoidedUntil.end() && suspendAwareNow() < avoided->second;
    const bool isUsable = member->incarnation == m_self || (!isAvoided && m_peers.members.isReachable(*home, std::chrono::steady_clock::now()));
    return isUsable ? std::optional<IncarnationId>(member->incarnation) : std::nullopt;
}

void QuotaClient::ask(const QuotaLeaseRequest &request, Instant now, QuotaLeases::AnswerHandler onAnswer)
{
    m_metrics.add("flamingo_quota_leases_total", resultLabel("asked"));
    const MemberRecord *member = m_peers.members.findIncarnation(request.home);
    if (request.home == m_self || !member) {
        const auto lease = member ? std::optional<QuotaLease>(m_ledger.grant(request, now)) : std::nullopt;
        this->onAnswer(request, lease);
        onAnswer(lease, now);
        return;
    }
    post(*member, LeasePath, request.encode(), [this, request, onAnswer = std::move(onAnswer)](const std::optional<std::string> &body) {
        const auto lease = body ? QuotaLease::decode(*body) : std::nullopt;
        this->onAnswer(request, lease);
        onAnswer(lease, suspendAwareNow());
    });
}

void QuotaClient::onAnswer(const QuotaLeaseRequest &request, const std::optional<QuotaLease> &lease)
{
    if (!lease) {
        m_metrics.add("flamingo_quota_leases_total", resultLabel("unanswered"));
        if (m_avoidedUntil.count(request.home) == 0) {
            logChange("quota-home-unreachable", "home={}", request.home.value());
        }
        m_avoidedUntil[request.home] = suspendAwareNow() + AvoidedTime;
        return;
    }
    if (m_avoidedUntil.erase(request.home) > 0) {
        logChange("quota-home-reached", "home={}", request.home.value());
    }
    const bool isDenied = lease->outcome == QuotaLease::Outcome::Denied;
    const char *result = lease->outcome == QuotaLease::Outcome::Granted ? "granted" : isDenied ? "denied" : "not-ready";
    m_metrics.add("flamingo_quota_leases_total", resultLabel(result));
}

std::optional<std::string> QuotaClient::answerLease(const std::string &body)
{
    const auto request = QuotaLeaseRequest::decode(body);
    return request ? std::make_optional(m_ledger.grant(*request, suspendAwareNow()).encode()) : std::nullopt;
}

bool QuotaClient::acceptTransfer(const std::string &body)
{
    const auto transfer = QuotaTransfer::decode(body);
    const bool isAccepted = transfer && m_ledger.accept(*transfer, suspendAwareNow());
    if (transfer) {
        logChange("quota-taken-over", "from={} partitions={} accepted={}", transfer->from.value(), transfer->partitions.size(), isAccepted);
    }
    return isAccepted;
}

void QuotaClient::setRegistering()
{
    m_ledger.setRegistering(suspendAwareNow());
}

void QuotaClient::setRegistered(bool isNewMachine, const std::optional<MemberRecord> &earlier)
{
    using EarlierEntry = QuotaLedger::EarlierEntry;
    std::optional<QuotaLedger::EarlierRun> earlierRun;
    // Homes that are older than an entry count, however often its process was started anew under it.
    const bool isKnownSince = earlier && earlier->listedSinceMs != 0;
    const auto startedAt = isKnownSince ? std::make_optional(earlier->listedSinceMs) : earlier ? startTimeMs(earlier->incarnation) : std::nullopt;
    const auto ownStart = startTimeMs(m_self);
    if (startedAt && ownStart) {
        earlierRun = {*startedAt, Milliseconds(*ownStart - *startedAt)};
    }
    const EarlierEntry entry = isNewMachine ? EarlierEntry::None : earlierRun ? EarlierEntry::Listed : EarlierEntry::Unlisted;
    m_ledger.setRegistered(entry, earlierRun, suspendAwareNow());
    logChange("quota-home-registered", "is_new={} was_listed={} listed_ms={}", isNewMachine, earlierRun.has_value(), earlierRun ? earlierRun->age.count() : 0);
}

void QuotaClient::setFirstStart()
{
    m_ledger.setFirstStart();
}

void QuotaClient::setIsolated(bool isIsolated)
{
    m_ledger.setIsolated(isIsolated);
}

void QuotaClient::onMembersChanged()
{
    send(m_ledger.onMembersChanged(suspendAwareNow()));
}

void QuotaClient::onMembersRead(Instant confirmedAt)
{
    m_ledger.onListConfirmed(confirmedAt - MaxListWatchTime, suspendAwareNow());
}

void QuotaClient::beginDrain()
{
    send(m_ledger.beginDrain(suspendAwareNow()));
}

void QuotaClient::send(std::vector<QuotaTransfer> transfers)
{
    for (QuotaTransfer &transfer : transfers) {
        logChange("quota-handed-over", "to={} partitions={}", transfer.to.value(), transfer.partitions.size());
        m_metrics.add("flamingo_quota_partitions_handed_over_total", {}, transfer.partitions.size());
        while (!transfer.partitions.empty()) {
            QuotaTransfer part{transfer.from, transfer.to, {}};
            const auto count = static_cast<std::ptrdiff_t>(std::min(MaxPartitionsPerTransfer, transfer.partitions.size()));
            std::move(transfer.partitions.end() - count, transfer.partitions.end(), std::back_inserter(part.partitions));
            transfer.partitions.resize(transfer.partitions.size() - static_cast<std::size_t>(count));
            sendTransfer(part, MaxTransferTries - 1);
        }
    }
}

// One that arrives twice counts twice, which is on the safe side.
void QuotaClient::sendTransfer(const QuotaTransfer &transfer, int triesLeft)
{
    const MemberRecord *member = m_peers.members.findIncarnation(transfer.to);
    if (!member) {
        return;
    }
    post(*member, TransferPath, transfer.encode(), [this, transfer, triesLeft](const std::optional<std::string> &body) {
        if (!body && triesLeft > 0) {
            m_peers.timers.at(std::chrono::steady_clock::now() + TransferRetryDelay,
                              [this, transfer, triesLeft](Instant) { sendTransfer(transfer, triesLeft - 1); });
        }
    });
}

void QuotaClient::post(const MemberRecord &member, const char *path, std::string body, std::function<void(std::optional<std::string>)> onResponse)
{
    InternalRequest call;
    call.address = member.peerAddress;
    call.method = "POST";
    call.target = path;
    call.body = std::move(body);
    call.connectTimeout = QuotaLeases::AnswerTimeout;
    call.responseTimeout = QuotaLeases::AnswerTimeout;
    sendInternalRequest(m_peers.context, m_peers.connections, std::move(call), [onResponse = std::move(onResponse)](std::optional<InternalResponse> response) {
        onResponse(response && response->status == StatusOk ? std::optional<std::string>(std::move(response->body)) : std::nullopt);
    });
}

void QuotaClient::removeIdle()
{
    const Instant now = suspendAwareNow();
    m_ledger.removeIdle(now);
    m_leases.removeIdle(now);
    m_metrics.setGauge("flamingo_quota_partitions", {}, static_cast<double>(m_ledger.partitionCount()));
    m_metrics.setGauge("flamingo_quota_workspaces", {}, static_cast<double>(m_leases.workspaceCount()));
    for (auto it = m_avoidedUntil.begin(); it != m_avoidedUntil.end();) {
        it = m_peers.members.findIncarnation(it->first) ? std::next(it) : m_avoidedUntil.erase(it);
    }
    for (auto it = m_refusedAt.begin(); it != m_refusedAt.end();) {
        if (now - it->second > RefusedTime) {
            logChange("quota-within-limit", "workspace={}", it->first.value());
            it = m_refusedAt.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace flamingo

#include "settings/instancesettings.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace flamingo
{

namespace
{
constexpr std::int64_t MaxShards = 4096;
constexpr std::int64_t MinRingSize = 32;
constexpr std::int64_t MaxRingSize = 4096;
constexpr std::int64_t MaxBodyBytes = std::int64_t(64) * 1024 * 1024;

void readInstance(SettingsReader &reader, InstanceSettings &settings)
{
    settings.id = InstanceId(reader.string("instance.id"));
    settings.domain = DomainId(reader.string("instance.domain"));
    for (const std::string &domain : reader.strings("instance.domains")) {
        settings.domains.emplace_back(domain);
    }
    settings.shardCount = static_cast<std::uint32_t>(reader.integer("instance.shards", settings.shardCount, 1, MaxShards));
    settings.entryHttp = reader.address("entry.http");
    settings.schedulerPeer = reader.address("scheduler.peer");
    settings.schedulerHttp = reader.address("scheduler.http");
    settings.controlPeer = reader.address("control.peer");
    settings.controlGossip = reader.address("control.gossip");
    settings.controlHttp = reader.address("control.http");
    settings.operatorToken = reader.fileContent("control.operator_token_file");
    settings.platformAddress = reader.address("platform.address");
    settings.peerSecret = reader.fileContent("peer_link.secret_file");
    settings.heartbeatPeriod = reader.duration("peer_link.heartbeat", settings.heartbeatPeriod);
    settings.silenceTimeout = reader.duration("peer_link.silence", settings.silenceTimeout);
}

void readJournal(SettingsReader &reader, JournalSettings &journal, std::uint32_t shards)
{
    journal.ringSize = static_cast<std::uint32_t>(reader.integer("journal.ring_size", journal.ringSize, MinRingSize, MaxRingSize));
    journal.appendsPerSecond = static_cast<double>(reader.integer("journal.appends_per_second", 30, 1, 1000));
    // The platform's write rate limit applies to the whole deployment, so each shard's journal gets an equal share.
    const auto writesPerSecond = static_cast<double>(reader.integer("platform.writes_per_second", 300, 1, 1000000));
    journal.appendsPerSecond = std::min(journal.appendsPerSecond, writesPerSecond / shards);
    journal.appendBurst = static_cast<double>(reader.integer("journal.append_burst", 5, 1, 1000));
    journal.retryDelay = reader.duration("journal.retry_delay", journal.retryDelay);
}

void readMembership(SettingsReader &reader, MembershipSettings &membership)
{
    membership.probePeriod = reader.duration("membership.probe_period", membership.probePeriod);
    membership.ackTimeout = reader.duration("membership.ack_timeout", membership.ackTimeout);
    membership.suspectTimeout = reader.duration("membership.suspect_timeout", membership.suspectTimeout);
}

std::vector<std::string> readPolicy(SettingsReader &reader, PolicyRules &rules)
{
    std::vector<std::string> problems;
    if (reader.boolean("policy.baseline", false)) {
        rules = PolicyRules::baseline();
    }
    for (const std::string &rule : reader.strings("policy.switched_off")) {
        if (!rules.disable(rule)) {
            problems.push_back(fmt::format("policy.switched_off: unknown rule \"{}\"", rule));
        }
    }
    rules.maxQueueLength = static_cast<std::size_t>(reader.integer("policy.max_queue", static_cast<std::int64_t>(rules.maxQueueLength), 1, 1000000));
    rules.longCallThreshold = reader.duration("policy.long_call", rules.longCallThreshold);
    rules.maxAffinityWait = reader.duration("policy.max_affinity_wait", rules.maxAffinityWait);
    return problems;
}

void readLimits(SettingsReader &reader, InstanceSettings &settings)
{
    settings.maxBodyBytes =
        static_cast<std::size_t>(reader.integer("limits.max_body_bytes", static_cast<std::int64_t>(settings.maxBodyBytes), 1024, MaxBodyBytes));
    settings.defaultDeadline = reader.duration("limits.default_deadline", settings.defaultDeadline);
    settings.ownerWait = reader.duration("limits.owner_wait", settings.ownerWait);
    settings.commitWait = reader.duration("limits.commit_wait", settings.commitWait);
    settings.programRetention = reader.duration("limits.program_retention", settings.programRetention);
    settings.memorySweepPeriod = reader.duration("limits.memory_sweep", settings.memorySweepPeriod);
    settings.drainTimeout = reader.duration("limits.drain_time", settings.drainTimeout);
}

void readPeers(SettingsReader &reader, InstanceSettings &settings)
{
    for (const std::string &table : reader.tablePrefixes("peer")) {
        PeerSettings peer;
        peer.id = InstanceId(reader.string(table + ".id"));
        peer.domain = DomainId(reader.string(table + ".domain"));
        peer.gossip = reader.address(table + ".gossip");
        peer.control = reader.address(table + ".control");
        peer.scheduler = reader.address(table + ".scheduler");
        settings.peers.push_back(std::move(peer));
    }
}
} // namespace

std::vector<std::string> loadInstanceSettings(const std::string &path, InstanceSettings &settings)
{
    SettingsReader reader(path);
    readInstance(reader, settings);
    readJournal(reader, settings.journal, settings.shardCount);
    readMembership(reader, settings.membership);
    auto policyProblems = readPolicy(reader, settings.rules);
    readLimits(reader, settings);
    readPeers(reader, settings);
    auto problems = reader.problems();
    for (const std::string &problem : policyProblems) {
        problems.push_back(fmt::format("{}: {}", path, problem));
    }
    const bool hasOwnDomain = std::find(settings.domains.begin(), settings.domains.end(), settings.domain) != settings.domains.end();
    if (problems.empty() && !hasOwnDomain) {
        problems.push_back(fmt::format("{}: instance.domains: expected a list that contains \"{}\"", path, settings.domain.value()));
    }
    return problems;
}

std::uint64_t createIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace flamingo

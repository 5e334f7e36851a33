#include "serving/memberdirectory.h"

#include "core/decoding.h"
#include "core/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds InitialBackoff{500};
constexpr int MaxBackoffDoublings = 4;
/// Longer than ProgramIdleTimeout plus MaxListAge, the age of lists that other instances may still act on.
constexpr Milliseconds RemovedMemberRetention{240000};

std::uint64_t homeWeight(const ProgramId &program, const InstanceId &id)
{
    return stableHash(program.value(), stableHash(id.value()));
}
} // namespace

std::string MemberRecord::encode() const
{
    nlohmann::json json = {
        {"domain", domain}, {"peers", peerAddress.text()}, {"holder", incarnation}, {"archive", role == Role::Archive}, {"gone", isPresumedDead}};
    if (listedSinceMs != 0) {
        json["since"] = listedSinceMs;
    }
    if (!grantFence.value().empty()) {
        json["fence"] = grantFence;
    }
    return json.dump();
}

std::optional<MemberRecord> MemberRecord::decode(const InstanceId &id, const std::string &bytes)
{
    return decodeJson<MemberRecord>("member", bytes, [&](const nlohmann::json &json) -> std::optional<MemberRecord> {
        const auto address = parseSocketAddress(json.value("peers", ""));
        if (!address) {
            return std::nullopt;
        }
        const Role role = json.value("archive", false) ? Role::Archive : Role::Instance;
        return MemberRecord{id,
                            DomainId(json.value("domain", "")),
                            *address,
                            IncarnationId(json.value("holder", "")),
                            role,
                            json.value("gone", false),
                            json.value("since", std::int64_t(0)),
                            GrantFenceId(json.value("fence", ""))};
    });
}

MemberDirectory::MemberDirectory(InstanceId self, DomainId ownDomain)
    : m_self(std::move(self))
    , m_ownDomain(std::move(ownDomain))
{
}

void MemberDirectory::setLoaded()
{
    m_isLoaded = true;
}

bool MemberDirectory::isLoaded() const
{
    return m_isLoaded;
}

void MemberDirectory::put(const MemberRecord &member)
{
    Entry &known = m_members[member.id];
    known = Entry{member, 0, {}};
}

void MemberDirectory::remove(const InstanceId &id, Instant now)
{
    for (auto it = m_removedAt.begin(); it != m_removedAt.end();) {
        it = now - it->second > RemovedMemberRetention ? m_removedAt.erase(it) : std::next(it);
    }
    const auto it = m_members.find(id);
    if (it == m_members.end()) {
        return;
    }
    if (it->second.record.role == MemberRecord::Role::Instance) {
        m_removedAt[id] = now;
    }
    m_members.erase(it);
}

void MemberDirectory::recordFailure(const InstanceId &id, Instant now)
{
    const auto it = m_members.find(id);
    if (it != m_members.end()) {
        it->second.retryAt = now + InitialBackoff * (1 << std::min(it->second.consecutiveFailures, MaxBackoffDoublings));
        ++it->second.consecutiveFailures;
    }
}

void MemberDirectory::recordSuccess(const InstanceId &id)
{
    const auto it = m_members.find(id);
    if (it != m_members.end()) {
        it->second.consecutiveFailures = 0;
    }
}

void MemberDirectory::setDraining()
{
    m_isDraining = true;
}

void MemberDirectory::setDomainIsolated(bool isIsolated)
{
    m_isDomainIsolated = isIsolated;
}

void MemberDirectory::setUnreachableDomains(std::set<DomainId> domains)
{
    m_unreachableDomains = std::move(domains);
}

bool MemberDirectory::isReachable(const Entry &entry, Instant now) const
{
    const bool isDomainReachable = (!m_isDomainIsolated || entry.record.domain == m_ownDomain) && m_unreachableDomains.count(entry.record.domain) == 0;
    return !entry.record.isPresumedDead && now >= entry.retryAt && isDomainReachable;
}

bool MemberDirectory::isReachable(const InstanceId &id, Instant now) const
{
    const auto it = m_members.find(id);
    return it != m_members.end() && isReachable(it->second, now);
}

std::optional<InstanceId> MemberDirectory::reachableInstance(const IncarnationId &incarnation, Instant now) const
{
    for (const auto &[id, member] : m_members) {
        if (member.record.incarnation == incarnation && id != m_self && isReachable(member, now)) {
            return id;
        }
    }
    return std::nullopt;
}

std::vector<InstanceId> MemberDirectory::rankedHomes(const ProgramId &program, Instant now) const
{
    RankedInstances ranked;
    const auto rank = [&](const InstanceId &id) { ranked.emplace_back(homeWeight(program, id), id); };
    for (const auto &[id, member] : m_members) {
        if (id != m_self && member.record.role == MemberRecord::Role::Instance && isReachable(member, now)) {
            rank(id);
        }
    }
    if (!m_isDraining || ranked.empty()) {
        rank(m_self);
    }
    return inOrder(std::move(ranked));
}

std::vector<InstanceId> MemberDirectory::rankedOtherInstances(const ProgramId &program) const
{
    RankedInstances ranked;
    for (const MemberRecord &member : otherInstances()) {
        ranked.emplace_back(homeWeight(program, member.id), member.id);
    }
    return inOrder(std::move(ranked));
}

std::vector<InstanceId> MemberDirectory::inOrder(RankedInstances ranked)
{
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<InstanceId> ids;
    ids.reserve(ranked.size());
    for (const auto &[weight, id] : ranked) {
        ids.push_back(id);
    }
    return ids;
}

std::vector<MemberRecord> MemberDirectory::outrankingInstances(const ProgramId &program) const
{
    std::vector<MemberRecord> members;
    for (const MemberRecord &member : listedInstances()) {
        if (outranksSelf(program, member.id)) {
            members.push_back(member);
        }
    }
    return members;
}

bool MemberDirectory::outranksSelf(const ProgramId &program, const InstanceId &other) const
{
    return std::make_pair(homeWeight(program, other), other) > std::make_pair(homeWeight(program, m_self), m_self);
}

std::optional<InstanceId> MemberDirectory::listedHome(const ProgramId &key) const
{
    // Called for each lease of a quota, so no ids are copied. Of equal weights the greatest id wins, as in inOrder().
    const InstanceId *best = nullptr;
    std::uint64_t highestWeight = 0;
    for (const auto &[id, member] : m_members) {
        if (member.record.role != MemberRecord::Role::Instance || member.record.isPresumedDead) {
            continue;
        }
        const std::uint64_t weight = homeWeight(key, id);
        if (!best || weight >= highestWeight) {
            best = &id;
            highestWeight = weight;
        }
    }
    return best ? std::make_optional(*best) : std::nullopt;
}

bool MemberDirectory::isPreferredHome(const ProgramId &program) const
{
    return std::none_of(m_members.begin(), m_members.end(), [&](const auto &it) {
        return it.second.record.role == MemberRecord::Role::Instance && outranksSelf(program, it.first);
    });
}

bool MemberDirectory::isPreferredOverRemoved(const ProgramId &program) const
{
    return std::none_of(m_removedAt.begin(), m_removedAt.end(), [&](const auto &it) { return outranksSelf(program, it.first); });
}

const MemberRecord *MemberDirectory::find(const InstanceId &id) const
{
    const auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second.record;
}

const MemberRecord *MemberDirectory::findIncarnation(const IncarnationId &incarnation) const
{
    const auto it = std::find_if(m_members.begin(), m_members.end(), [&](const auto &member) { return member.second.record.incarnation == incarnation; });
    return it == m_members.end() || it->second.record.isPresumedDead ? nullptr : &it->second.record;
}

bool MemberDirectory::mayBeAlive(const IncarnationId &incarnation) const
{
    const InstanceId instance = instanceOf(incarnation);
    const bool isKnownInstance = instance.value().empty() || m_members.count(instance) != 0 || m_removedAt.count(instance) != 0;
    return !isKnownInstance || findIncarnation(incarnation) != nullptr;
}

const InstanceId &MemberDirectory::self() const
{
    return m_self;
}

const DomainId &MemberDirectory::ownDomain() const
{
    return m_ownDomain;
}

std::vector<MemberRecord> MemberDirectory::otherInstances() const
{
    std::vector<MemberRecord> members;
    for (const auto &[id, member] : m_members) {
        if (id != m_self && member.record.role == MemberRecord::Role::Instance && !member.record.isPresumedDead) {
            members.push_back(member.record);
        }
    }
    return members;
}

std::vector<MemberRecord> MemberDirectory::listedInstances() const
{
    std::vector<MemberRecord> members;
    for (const auto &[id, member] : m_members) {
        if (member.record.role == MemberRecord::Role::Instance) {
            members.push_back(member.record);
        }
    }
    return members;
}

std::vector<MemberRecord> MemberDirectory::archives() const
{
    std::vector<MemberRecord> members;
    for (const auto &[id, member] : m_members) {
        if (member.record.role == MemberRecord::Role::Archive) {
            members.push_back(member.record);
        }
    }
    return members;
}

std::vector<MemberRecord> MemberDirectory::rankedArchives(const std::string &turn, Instant now) const
{
    std::vector<MemberRecord> members = archives();
    const auto isUnreachable = [&](const MemberRecord &member) { return !isReachable(m_members.at(member.id), now); };
    members.erase(std::remove_if(members.begin(), members.end(), isUnreachable), members.end());
    return ranked(std::move(members), turn);
}

std::vector<MemberRecord> MemberDirectory::rankedListedArchives(const std::string &turn, Instant now) const
{
    std::vector<MemberRecord> members = ranked(archives(), turn);
    const auto isDead = [&](const MemberRecord &member) { return member.isPresumedDead; };
    members.erase(std::remove_if(members.begin(), members.end(), isDead), members.end());
    std::stable_partition(members.begin(), members.end(), [&](const MemberRecord &member) { return isReachable(m_members.at(member.id), now); });
    return members;
}

// By rendezvous hashing, with the first member of another failure domain moved to the second place.
std::vector<MemberRecord> MemberDirectory::ranked(std::vector<MemberRecord> members, const std::string &key)
{
    const auto weight = [&](const MemberRecord &member) { return stableHash(key, stableHash(member.id.value())); };
    std::sort(members.begin(), members.end(), [&](const MemberRecord &a, const MemberRecord &b) { return weight(a) > weight(b); });
    if (members.size() > 2) {
        const auto isInOtherDomain = [&](const MemberRecord &member) { return member.domain != members.front().domain; };
        const auto second = std::find_if(members.begin() + 1, members.end(), isInOtherDomain);
        if (second != members.end()) {
            std::rotate(members.begin() + 1, second, second + 1);
        }
    }
    return members;
}

std::vector<MemberRecord> MemberDirectory::instancesInOtherDomains() const
{
    std::vector<MemberRecord> members = otherInstances();
    const auto isInOwnDomain = [this](const MemberRecord &member) { return member.domain == m_ownDomain; };
    members.erase(std::remove_if(members.begin(), members.end(), isInOwnDomain), members.end());
    return members;
}

} // namespace flamingo

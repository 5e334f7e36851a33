#include "serving/fleet.h"

#include "core/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds FirstPause{500};
constexpr int MaxPauseDoublings = 4;
/// Beyond the time for which a program that is idle is remembered, and the age of lists that others go by.
constexpr Milliseconds GoneMemory{240000};

std::uint64_t homeRank(const ProgramId &program, const InstanceId &id)
{
    return stableHash(program.value(), stableHash(id.value()));
}
} // namespace

std::string FleetMember::encode() const
{
    return nlohmann::json{{"domain", domain}, {"peers", peers.text()}, {"holder", holder}, {"archive", role == Role::Archive}, {"gone", isGone}}.dump();
}

std::optional<FleetMember> FleetMember::decode(const InstanceId &id, const std::string &bytes)
{
    const auto json = nlohmann::json::parse(bytes, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto address = parseSocketAddress(json.value("peers", ""));
    if (!address) {
        return std::nullopt;
    }
    const Role role = json.value("archive", false) ? Role::Archive : Role::Instance;
    return FleetMember{id, DomainId(json.value("domain", "")), *address, HolderId(json.value("holder", "")), role, json.value("gone", false)};
}

Fleet::Fleet(InstanceId self, DomainId ownDomain)
    : m_self(std::move(self))
    , m_ownDomain(std::move(ownDomain))
{
}

void Fleet::setLoaded()
{
    m_isLoaded = true;
}

bool Fleet::isLoaded() const
{
    return m_isLoaded;
}

void Fleet::put(const FleetMember &member)
{
    Member &known = m_members[member.id];
    known = Member{member, 0, {}};
}

void Fleet::remove(const InstanceId &id, Instant now)
{
    for (auto it = m_gone.begin(); it != m_gone.end();) {
        it = now - it->second > GoneMemory ? m_gone.erase(it) : std::next(it);
    }
    const auto it = m_members.find(id);
    if (it == m_members.end()) {
        return;
    }
    if (it->second.member.role == FleetMember::Role::Instance) {
        m_gone[id] = now;
    }
    m_members.erase(it);
}

void Fleet::markDown(const InstanceId &id, Instant now)
{
    const auto it = m_members.find(id);
    if (it != m_members.end()) {
        it->second.usableAt = now + FirstPause * (1 << std::min(it->second.failuresInRow, MaxPauseDoublings));
        ++it->second.failuresInRow;
    }
}

void Fleet::markUp(const InstanceId &id)
{
    const auto it = m_members.find(id);
    if (it != m_members.end()) {
        it->second.failuresInRow = 0;
    }
}

void Fleet::setLeaving()
{
    m_isLeaving = true;
}

void Fleet::setCutOff(bool isCutOff)
{
    m_isCutOff = isCutOff;
}

bool Fleet::isReachable(const Member &member, Instant now) const
{
    return !member.member.isGone && now >= member.usableAt && (!m_isCutOff || member.member.domain == m_ownDomain);
}

std::optional<InstanceId> Fleet::liveHolder(const HolderId &holder, Instant now) const
{
    for (const auto &[id, member] : m_members) {
        if (member.member.holder == holder && id != m_self && isReachable(member, now)) {
            return id;
        }
    }
    return std::nullopt;
}

std::vector<InstanceId> Fleet::homes(const ProgramId &program, Instant now) const
{
    std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
    const auto rank = [&](const InstanceId &id) { ranked.emplace_back(homeRank(program, id), id); };
    for (const auto &[id, member] : m_members) {
        if (id != m_self && member.member.role == FleetMember::Role::Instance && isReachable(member, now)) {
            rank(id);
        }
    }
    if (!m_isLeaving || ranked.empty()) {
        rank(m_self);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<InstanceId> ids;
    ids.reserve(ranked.size());
    for (const auto &[weight, id] : ranked) {
        ids.push_back(id);
    }
    return ids;
}

bool Fleet::isBetterHome(const ProgramId &program, const InstanceId &other) const
{
    return std::make_pair(homeRank(program, other), other) > std::make_pair(homeRank(program, m_self), m_self);
}

bool Fleet::isFirstHome(const ProgramId &program) const
{
    return std::none_of(m_members.begin(), m_members.end(), [&](const auto &it) {
        return it.second.member.role == FleetMember::Role::Instance && isBetterHome(program, it.first);
    });
}

bool Fleet::wasFirstHome(const ProgramId &program) const
{
    return std::none_of(m_gone.begin(), m_gone.end(), [&](const auto &it) { return isBetterHome(program, it.first); });
}

const FleetMember *Fleet::find(const InstanceId &id) const
{
    const auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second.member;
}

const InstanceId &Fleet::self() const
{
    return m_self;
}

const DomainId &Fleet::ownDomain() const
{
    return m_ownDomain;
}

std::vector<FleetMember> Fleet::others() const
{
    std::vector<FleetMember> members;
    for (const auto &[id, member] : m_members) {
        if (id != m_self && member.member.role == FleetMember::Role::Instance && !member.member.isGone) {
            members.push_back(member.member);
        }
    }
    return members;
}

std::vector<FleetMember> Fleet::archives() const
{
    std::vector<FleetMember> members;
    for (const auto &[id, member] : m_members) {
        if (member.member.role == FleetMember::Role::Archive) {
            members.push_back(member.member);
        }
    }
    return members;
}

std::vector<FleetMember> Fleet::archivesFor(const std::string &turn, Instant now) const
{
    std::vector<FleetMember> members = archives();
    const auto isOut = [&](const FleetMember &member) { return !isReachable(m_members.at(member.id), now); };
    members.erase(std::remove_if(members.begin(), members.end(), isOut), members.end());
    const auto weight = [&](const FleetMember &member) { return stableHash(turn, stableHash(member.id.value())); };
    std::sort(members.begin(), members.end(), [&](const FleetMember &a, const FleetMember &b) { return weight(a) > weight(b); });
    if (members.size() > 2) {
        const auto isElsewhere = [&](const FleetMember &member) { return member.domain != members.front().domain; };
        const auto second = std::find_if(members.begin() + 1, members.end(), isElsewhere);
        if (second != members.end()) {
            std::rotate(members.begin() + 1, second, second + 1);
        }
    }
    return members;
}

std::vector<FleetMember> Fleet::othersElsewhere() const
{
    std::vector<FleetMember> members = others();
    const auto isNear = [this](const FleetMember &member) { return member.domain == m_ownDomain; };
    members.erase(std::remove_if(members.begin(), members.end(), isNear), members.end());
    return members;
}

} // namespace flamingo

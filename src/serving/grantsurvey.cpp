#include "serving/grantsurvey.h"

#include "core/decoding.h"

#include <nlohmann/json.hpp>

namespace flamingo
{

namespace
{
/// An instance that has been listed for so long is on every member list that provisional grants may be based on.
constexpr Milliseconds MinListedTime = 2 * MemberDirectory::MaxListAge;
} // namespace

std::string GrantSurveyRequest::encode() const
{
    return toCbor({{"id", sender.id}, {"entry", sender.encode()}});
}

std::optional<GrantSurveyRequest> GrantSurveyRequest::decode(const std::string &bytes)
{
    return decodeCbor<GrantSurveyRequest>("grant-survey-request", bytes, [](const nlohmann::json &json) -> std::optional<GrantSurveyRequest> {
        auto sender = MemberRecord::decode(json.at("id").get<InstanceId>(), json.at("entry").get<std::string>());
        return sender ? std::optional<GrantSurveyRequest>({std::move(*sender)}) : std::nullopt;
    });
}

std::string GrantSurveyAnswer::encode() const
{
    return toCbor({{"unrecorded", hasUnrecordedGrants}, {"earlier", mayHaveEarlierGrants}, {"listed", listedFor.count()}});
}

std::optional<GrantSurveyAnswer> GrantSurveyAnswer::decode(const std::string &bytes)
{
    return decodeCbor<GrantSurveyAnswer>("grant-survey", bytes, [](const nlohmann::json &json) {
        return GrantSurveyAnswer{json.at("unrecorded").get<bool>(), json.at("earlier").get<bool>(), Milliseconds(json.at("listed").get<std::int64_t>())};
    });
}

GrantSurvey::GrantSurvey(const MemberDirectory &members)
    : m_members(members)
{
}

void GrantSurvey::onAnswer(const InstanceId &from, const GrantSurveyAnswer &answer)
{
    if (!answer.hasUnrecordedGrants && !answer.mayHaveEarlierGrants) {
        m_cleared.emplace(from, answer.listedFor);
    }
}

void GrantSurvey::onNoMarks(const InstanceId &instance)
{
    m_cleared.emplace(instance, Milliseconds(0));
}

void GrantSurvey::onFenced(const InstanceId &instance, const GrantFenceId &fence)
{
    m_fenced[instance] = fence;
}

bool GrantSurvey::isFenced(const MemberRecord &member) const
{
    const auto it = m_fenced.find(member.id);
    return it != m_fenced.end() && it->second == member.grantFence;
}

std::vector<MemberRecord> GrantSurvey::openQuestions() const
{
    std::vector<MemberRecord> open;
    for (const MemberRecord &member : m_members.otherInstances()) {
        if (m_cleared.count(member.id) == 0) {
            open.push_back(member);
        }
    }
    return open;
}

// Only an instance that is preferred over all others on its own list makes provisional grants. That list may be too old to hold
// instances that were added lately, so the search ends at the first one that every list holds.
bool GrantSurvey::excludesGrants(const ProgramId &program) const
{
    for (const InstanceId &id : m_members.rankedOtherInstances(program)) {
        const auto it = m_cleared.find(id);
        if (it == m_cleared.end()) {
            return false;
        }
        if (it->second >= MinListedTime) {
            return true;
        }
    }
    return true;
}

} // namespace flamingo

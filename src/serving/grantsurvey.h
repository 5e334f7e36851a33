#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/memberdirectory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Asks another instance about its provisional grants.
struct GrantSurveyRequest {
    MemberRecord sender; ///< Its entry in the member list, which the store has accepted.

    std::string encode() const;
    static std::optional<GrantSurveyRequest> decode(const std::string &bytes);
};

/// What another instance says of its provisional grants; see ProvisionalGrantPolicy. It has put the asking instance on its member
/// list before it answers, so it makes no provisional grant to a program that prefers the asking instance from then on.
struct GrantSurveyAnswer {
    bool hasUnrecordedGrants = true; ///< It has made provisional grants that the store may not have recorded.
    bool mayHaveEarlierGrants = true; ///< An earlier incarnation of it may have died with such grants.
    Milliseconds listedFor{0}; ///< Since its entry was accepted into the member list.

    std::string encode() const;
    static std::optional<GrantSurveyAnswer> decode(const std::string &bytes);
};

/// Tells an instance that is new on the member list for which programs no other instance can have an unrecorded provisional grant.
/// Without it, the instance would have to hold back half of each budget for grants that nobody has made.
class GrantSurvey
{
public:
    explicit GrantSurvey(const MemberDirectory &members);

    void onAnswer(const InstanceId &from, const GrantSurveyAnswer &answer);

    /// An instance that doesn't answer has no unrecorded grants, by its marks, and makes none to a program that prefers this instance.
    void onNoMarks(const InstanceId &instance);

    /// The instance's entry has this fence, and by its marks it has no unrecorded grants.
    void onFenced(const InstanceId &instance, const GrantFenceId &fence);

    /// Whether the listed instance has no unrecorded grants, and can make none as long as it is listed with the same fence.
    bool isFenced(const MemberRecord &member) const;

    /// The instances that have to be asked, or asked again.
    std::vector<MemberRecord> openQuestions() const;

    /// Whether no other instance has an unrecorded provisional grant to the program, which prefers this instance as its home.
    bool excludesGrants(const ProgramId &program) const;

private:
    const MemberDirectory &m_members;
    /// By instance: for how long it was listed when it said that there are no unrecorded grants of it; zero where that isn't known. It
    /// stays true, since this instance is on its member list since then.
    std::map<InstanceId, Milliseconds> m_cleared;
    std::map<InstanceId, GrantFenceId> m_fenced;
};

} // namespace flamingo

#pragma once

#include "core/timerservice.h"
#include "http/connectionpool.h"
#include "instance/marksurveyor.h"
#include "serving/budgetledger.h"
#include "serving/provisionalgrantpolicy.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace flamingo
{

/// Asks the other instances about their provisional grants after this one was added to the deployment, and answers when others ask;
/// see GrantSurvey. For those that don't answer it has their marks looked for.
class GrantSurveyor
{
public:
    static constexpr const char *SurveyPath = "/grants/survey";

    GrantSurveyor(asio::io_context &context,
                  TimerService &timers,
                  MemberDirectory &members,
                  ConnectionPool &peerConnections,
                  MarkSurveyor &markSurveyor,
                  ProvisionalGrantPolicy &policy,
                  const BudgetLedger &budgets);

    void start();

    /// Turns of the program soon need what is held back for grants that instances which are preferred as its home may have made. Those that
    /// don't answer are fenced.
    void onReserveNeeded(const ProgramId &program);

    /// Answers an encoded GrantSurveyRequest. Returns nothing if it can't be decoded.
    std::optional<std::string> answer(const std::string &request);

private:
    void askOpenQuestions();
    void lookUpSilentInstances(Instant now);
    void fenceSilentInstances(Instant now);
    void ask(const MemberRecord &member, const std::string &request);

    asio::io_context &m_context;
    TimerService &m_timers;
    MemberDirectory &m_members;
    ConnectionPool &m_peerConnections;
    MarkSurveyor &m_markSurveyor;
    ProvisionalGrantPolicy &m_policy;
    const BudgetLedger &m_budgets;
    std::map<InstanceId, int> m_toFence; ///< Questions without an answer, by instance.
    std::set<InstanceId> m_asked; ///< Have yet to answer.
    std::map<InstanceId, Instant> m_silentSince; ///< When those that haven't answered were first asked, or asked again after an answer.
};

} // namespace flamingo

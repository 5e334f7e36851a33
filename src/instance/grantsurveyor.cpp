#include "instance/grantsurveyor.h"

#include "core/log.h"
#include "http/internalrequest.h"

namespace flamingo
{

namespace
{
constexpr Milliseconds AskPeriod{250};
/// In a deployment of hundreds of instances these are asked one batch after the other.
constexpr std::size_t MaxConcurrentQuestions = 32;
/// A process that is restarted answers sooner.
constexpr Milliseconds MaxSilence{1500};
/// One that is only slow for a moment isn't fenced.
constexpr int MinUnansweredQuestions = 2;
} // namespace

GrantSurveyor::GrantSurveyor(asio::io_context &context,
                             TimerService &timers,
                             MemberDirectory &members,
                             ConnectionPool &peerConnections,
                             MarkSurveyor &markSurveyor,
                             ProvisionalGrantPolicy &policy,
                             const BudgetLedger &budgets)
    : m_context(context)
    , m_timers(timers)
    , m_members(members)
    , m_peerConnections(peerConnections)
    , m_markSurveyor(markSurveyor)
    , m_policy(policy)
    , m_budgets(budgets)
{
}

void GrantSurveyor::start()
{
    m_timers.every(std::chrono::steady_clock::now(), AskPeriod, [this](Instant) {
        if (m_policy.needsSurvey(suspendAwareNow())) {
            askOpenQuestions();
            lookUpSilentInstances(suspendAwareNow());
        }
        fenceSilentInstances(suspendAwareNow());
    });
}

void GrantSurveyor::onReserveNeeded(const ProgramId &program)
{
    for (const MemberRecord &member : m_members.outrankingInstances(program)) {
        if (!m_policy.survey().isFenced(member)) {
            m_toFence.try_emplace(member.id, 0);
        }
    }
    fenceSilentInstances(suspendAwareNow());
}

void GrantSurveyor::fenceSilentInstances(Instant now)
{
    const MemberRecord *self = m_members.find(m_members.self());
    std::vector<MemberRecord> silent;
    for (auto it = m_toFence.begin(); it != m_toFence.end();) {
        const MemberRecord *member = m_members.find(it->first);
        if (!member || m_policy.survey().isFenced(*member)) {
            it = m_toFence.erase(it);
            continue;
        }
        if (it->second >= MinUnansweredQuestions) {
            silent.push_back(*member);
        } else if (self && m_asked.insert(member->id).second) {
            ask(*member, GrantSurveyRequest{*self}.encode());
        }
        ++it;
    }
    m_markSurveyor.fence(silent, now);
}

void GrantSurveyor::lookUpSilentInstances(Instant now)
{
    std::vector<MemberRecord> silent;
    for (const MemberRecord &member : m_policy.survey().openQuestions()) {
        const auto it = m_silentSince.find(member.id);
        if (it != m_silentSince.end() && now - it->second >= MaxSilence) {
            silent.push_back(member);
        }
    }
    m_markSurveyor.lookUp(silent, now);
}

void GrantSurveyor::askOpenQuestions()
{
    const MemberRecord *self = m_members.find(m_members.self());
    if (!self) {
        return;
    }
    const std::string request = GrantSurveyRequest{*self}.encode();
    for (const MemberRecord &member : m_policy.survey().openQuestions()) {
        if (m_asked.size() >= MaxConcurrentQuestions) {
            return;
        }
        if (m_asked.insert(member.id).second) {
            m_silentSince.emplace(member.id, suspendAwareNow());
            ask(member, request);
        }
    }
}

void GrantSurveyor::ask(const MemberRecord &member, const std::string &request)
{
    InternalRequest call;
    call.address = member.peerAddress;
    call.method = "POST";
    call.target = SurveyPath;
    call.body = request;
    sendInternalRequest(m_context, m_peerConnections, std::move(call), [this, from = member.id](const std::optional<InternalResponse> &response) {
        constexpr int StatusOk = 200;
        m_asked.erase(from);
        const auto answer = response && response->status == StatusOk ? GrantSurveyAnswer::decode(response->body) : std::nullopt;
        const auto toFence = m_toFence.find(from);
        if (!answer) {
            if (toFence != m_toFence.end()) {
                ++toFence->second;
            }
            return;
        }
        if (toFence != m_toFence.end()) {
            m_toFence.erase(toFence);
        }
        m_silentSince.erase(from);
        m_policy.survey().onAnswer(from, *answer);
        logChange("grants-surveyed",
                  "instance={} unrecorded={} earlier={} listed_ms={}",
                  from.value(),
                  answer->hasUnrecordedGrants,
                  answer->mayHaveEarlierGrants,
                  answer->listedFor.count());
    });
}

std::optional<std::string> GrantSurveyor::answer(const std::string &request)
{
    const auto survey = GrantSurveyRequest::decode(request);
    if (!survey) {
        return std::nullopt;
    }
    // From here on this instance makes no provisional grant to a program that prefers the sender.
    m_members.put(survey->sender);
    return m_policy.surveyAnswer(m_budgets.hasProvisionalGrants(), suspendAwareNow()).encode();
}

} // namespace flamingo

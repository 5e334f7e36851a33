#include "instance/streamoriginclient.h"

#include "core/log.h"
#include "http/internalrequest.h"

#include <set>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds ConnectTimeout{150};
/// The caller waits, and what isn't found in this time is refused.
constexpr Milliseconds QueryTimeout{300};
constexpr std::size_t NoteCount = 2;
/// The instance that began the stream isn't among those that it told, so more are asked than are told.
constexpr std::size_t QueryCount = NoteCount + 2;
} // namespace

struct StreamOriginClient::Search {
    RequestId attempt;
    std::optional<PoolId> pool; ///< The only one in which the stream can have begun.
    FindHandler onFound;
    std::size_t pendingAnswers = 0;
    std::set<SoftwareVersion> seenVersions; ///< By all who have answered.
    bool isComplete = false; ///< One of them knows that there were no others.
    bool isFinished = false;
};

StreamOriginClient::StreamOriginClient(asio::io_context &context,
                                       const MemberDirectory &members,
                                       ConnectionPool &peerConnections,
                                       std::function<std::optional<Instant>()> endpointsConfirmedAt,
                                       Metrics &metrics)
    : m_context(context)
    , m_members(members)
    , m_peerConnections(peerConnections)
    , m_endpointsConfirmedAt(std::move(endpointsConfirmedAt))
    , m_metrics(metrics)
{
}

void StreamOriginClient::setFirstStart()
{
    m_versions.setFirstStart();
}

void StreamOriginClient::updateEndpoints(const std::vector<EndpointEntry> &endpoints)
{
    m_versions.update(endpoints, suspendAwareNow());
}

std::optional<SoftwareVersion> StreamOriginClient::soleVersion(const PoolId &pool) const
{
    return m_versions.soleVersion(pool, m_endpointsConfirmedAt(), suspendAwareNow());
}

// All instances with the same member list agree on the order.
std::vector<MemberRecord> StreamOriginClient::holders(const RequestId &attempt, std::size_t count) const
{
    std::vector<MemberRecord> holders;
    const Instant now = std::chrono::steady_clock::now();
    for (const InstanceId &id : m_members.rankedOtherInstances(ProgramId("stream-origin/" + attempt.value()))) {
        const MemberRecord *member = m_members.find(id);
        if (holders.size() < count && member && m_members.isReachable(id, now)) {
            holders.push_back(*member);
        }
    }
    return holders;
}

void StreamOriginClient::note(const RequestId &attempt, const StreamOrigin &origin, bool hasSeveralPools)
{
    const auto known = m_origins.find(attempt);
    m_origins.note(attempt, origin, suspendAwareNow());
    const bool isKnownByOthers = !hasSeveralPools && soleVersion(origin.pool) == origin.version;
    if (isKnownByOthers || (known && *known == origin)) {
        return;
    }
    for (const MemberRecord &member : holders(attempt, NoteCount)) {
        InternalRequest request;
        request.address = member.peerAddress;
        request.method = "POST";
        request.target = NotePath;
        request.body = OriginNote{attempt, origin}.encode();
        request.connectTimeout = ConnectTimeout;
        m_metrics.add("flamingo_stream_origin_requests_total", "kind=\"note\"");
        sendInternalRequest(m_context, m_peerConnections, std::move(request), [](const std::optional<InternalResponse> &) {});
    }
}

void StreamOriginClient::find(const std::optional<RequestId> &attempt, const std::vector<PoolId> &pools, FindHandler onFound)
{
    const auto search = std::make_shared<Search>();
    search->attempt = attempt.value_or(RequestId());
    search->pool = pools.size() == 1 ? std::optional<PoolId>(pools.front()) : std::nullopt;
    search->onFound = std::move(onFound);
    if (const auto origin = m_origins.find(search->attempt)) {
        finish(*search, origin);
        return;
    }
    if (search->pool) {
        search->seenVersions = m_versions.seenVersions(*search->pool, suspendAwareNow());
        search->isComplete = m_versions.isComplete(m_endpointsConfirmedAt(), suspendAwareNow());
    }
    const std::vector<MemberRecord> asked = holders(search->attempt, QueryCount);
    search->pendingAnswers = asked.size();
    if (asked.empty()) {
        search->pendingAnswers = 1;
        onAnswer(search, std::nullopt);
        return;
    }
    for (const MemberRecord &member : asked) {
        InternalRequest request;
        request.address = member.peerAddress;
        request.method = "POST";
        request.target = QueryPath;
        request.body = OriginQuery{search->attempt, pools.front()}.encode();
        request.connectTimeout = ConnectTimeout;
        request.responseTimeout = QueryTimeout;
        m_metrics.add("flamingo_stream_origin_requests_total", "kind=\"query\"");
        sendInternalRequest(m_context, m_peerConnections, std::move(request), [this, search](const std::optional<InternalResponse> &response) {
            constexpr int StatusOk = 200;
            onAnswer(search, response && response->status == StatusOk ? OriginAnswer::decode(response->body) : std::nullopt);
        });
    }
}

// A note counts more than what the versions of the pool suggest: its sender may have got a new version before the others. So all who might
// have a note are waited for.
void StreamOriginClient::onAnswer(const std::shared_ptr<Search> &search, const std::optional<OriginAnswer> &answer)
{
    --search->pendingAnswers;
    if (search->isFinished) {
        return;
    }
    if (answer && answer->origin) {
        m_origins.note(search->attempt, *answer->origin, suspendAwareNow());
        finish(*search, answer->origin);
        return;
    }
    if (answer) {
        search->seenVersions.insert(answer->seenVersions.begin(), answer->seenVersions.end());
        search->isComplete = search->isComplete || answer->isComplete;
    }
    if (search->pendingAnswers > 0) {
        return;
    }
    const bool isSole = search->pool && search->isComplete && search->seenVersions.size() == 1;
    finish(*search, isSole ? std::optional<StreamOrigin>({*search->pool, *search->seenVersions.begin()}) : std::nullopt);
}

void StreamOriginClient::finish(Search &search, std::optional<StreamOrigin> origin)
{
    search.isFinished = true;
    logChange("stream-origin", "resumes={} software={}", search.attempt.value(), origin ? origin->version.value() : "unknown");
    std::exchange(search.onFound, {})(std::move(origin));
}

bool StreamOriginClient::acceptNote(const std::string &body)
{
    const auto note = OriginNote::decode(body);
    if (note) {
        m_origins.note(note->attempt, note->origin, suspendAwareNow());
    }
    return note.has_value();
}

std::optional<std::string> StreamOriginClient::answerQuery(const std::string &body) const
{
    const auto query = OriginQuery::decode(body);
    if (!query) {
        return std::nullopt;
    }
    OriginAnswer answer;
    answer.origin = m_origins.find(query->attempt);
    answer.seenVersions = m_versions.seenVersions(query->pool, suspendAwareNow());
    answer.isComplete = m_versions.isComplete(m_endpointsConfirmedAt(), suspendAwareNow());
    return answer.encode();
}

} // namespace flamingo

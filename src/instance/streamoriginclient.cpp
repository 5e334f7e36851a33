#include "instance/streamoriginclient.h"

#include "core/log.h"
#include "http/internalrequest.h"

#include <algorithm>
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
    /// Up to which one of them knows that there were no others; nothing if none does.
    std::optional<platform::Revision> completeUntil;
    bool isFinished = false;

    void add(const std::set<SoftwareVersion> &seen, bool isComplete, platform::Revision revision)
    {
        seenVersions.insert(seen.begin(), seen.end());
        if (isComplete) {
            completeUntil = std::max(completeUntil.value_or(revision), revision);
        }
    }
};

StreamOriginClient::StreamOriginClient(asio::io_context &context,
                                       const MemberDirectory &members,
                                       ConnectionPool &peerConnections,
                                       VersionConfirmer &confirmer,
                                       EndpointList endpointList,
                                       Metrics &metrics)
    : m_context(context)
    , m_members(members)
    , m_peerConnections(peerConnections)
    , m_confirmer(confirmer)
    , m_endpointList(std::move(endpointList))
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

void StreamOriginClient::addEndpoint(const EndpointEntry &endpoint)
{
    m_versions.add(endpoint.pool, endpoint.version, suspendAwareNow());
}

void StreamOriginClient::onEndpointsMissed()
{
    m_versions.restart(suspendAwareNow());
}

std::optional<SoftwareVersion> StreamOriginClient::soleVersion(const PoolId &pool) const
{
    return m_versions.soleVersion(pool, m_endpointList.confirmedAt(), suspendAwareNow());
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
        search->add(answer->seenVersions, answer->isComplete, answer->endpointsRevision);
    }
    if (search->pendingAnswers == 0) {
        confirmSoleVersion(search);
    }
}

void StreamOriginClient::confirmSoleVersion(const std::shared_ptr<Search> &search)
{
    const Instant now = suspendAwareNow();
    if (search->pool) {
        search->add(m_versions.seenVersions(*search->pool, now), m_versions.isComplete(now), m_endpointList.revision());
    }
    if (!search->pool || !search->completeUntil || search->seenVersions.size() != 1) {
        finish(*search, std::nullopt);
        return;
    }
    m_confirmer.confirm(*search->completeUntil, [this, search](const std::optional<VersionConfirmer::Versions> &later) {
        const auto it = later ? later->find(*search->pool) : VersionConfirmer::Versions::const_iterator();
        if (later && it != later->end()) {
            search->seenVersions.insert(it->second.begin(), it->second.end());
        }
        const bool isSole = later && search->seenVersions.size() == 1;
        finish(*search, isSole ? std::optional<StreamOrigin>({*search->pool, *search->seenVersions.begin()}) : std::nullopt);
    });
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
    answer.isComplete = m_versions.isComplete(suspendAwareNow());
    answer.endpointsRevision = m_endpointList.revision();
    return answer.encode();
}

} // namespace flamingo

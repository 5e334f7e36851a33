#pragma once

#include "core/metrics.h"
#include "http/connectionpool.h"
#include "instance/versionconfirmer.h"
#include "serving/memberdirectory.h"
#include "serving/originmessages.h"
#include "serving/softwareversions.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Finds out where a stream began that a caller takes up again, at any instance. While a pool has endpoints of several software versions, or
/// may have had, each stream's origin is noted by a few other instances as well, chosen by its attempt. What nobody knows isn't resumed,
/// unless its pool had a single version for as long as a stream can last. The store has to confirm that after the caller has asked: an
/// instance that is cut off, or stood still, may lack a version that others have begun streams with.
class StreamOriginClient
{
public:
    /// Paths of the requests that carry an OriginNote and an OriginQuery.
    static constexpr const char *NotePath = "/streams/note";
    static constexpr const char *QueryPath = "/streams/origin";

    /// The handler gets nothing if the stream can't go on safely.
    using FindHandler = std::function<void(std::optional<StreamOrigin>)>;

    /// What is known of the list of endpoints.
    struct EndpointList {
        std::function<std::optional<Instant>()> confirmedAt; ///< When the store last confirmed it, by suspendAwareNow().
        std::function<std::uint64_t()> revision; ///< Up to which it holds all changes.
    };

    StreamOriginClient(asio::io_context &context,
                       const MemberDirectory &members,
                       ConnectionPool &peerConnections,
                       VersionConfirmer &confirmer,
                       EndpointList endpointList,
                       Metrics &metrics);

    /// Compare SoftwareVersions.
    void setFirstStart();
    void updateEndpoints(const std::vector<EndpointEntry> &endpoints);
    void addEndpoint(const EndpointEntry &endpoint);
    void onEndpointsMissed();

    /// The attempt is about to be sent to an endpoint. Where its route has several pools, others can't know the origin without a note.
    void note(const RequestId &attempt, const StreamOrigin &origin, bool hasSeveralPools);

    /// Looks for the origin of a stream. Without a name of the attempt that began it, only a single version of the pools allows it to go on.
    /// The handler is called once, possibly before this returns.
    void find(const std::optional<RequestId> &attempt, const std::vector<PoolId> &pools, FindHandler onFound);

    /// The response to a request of another instance; nothing if it can't be decoded.
    bool acceptNote(const std::string &body);
    std::optional<std::string> answerQuery(const std::string &body) const;

private:
    struct Search;

    std::optional<SoftwareVersion> soleVersion(const PoolId &pool) const;
    std::vector<MemberRecord> holders(const RequestId &attempt, std::size_t count) const;
    void onAnswer(const std::shared_ptr<Search> &search, const std::optional<OriginAnswer> &answer);
    void confirmSoleVersion(const std::shared_ptr<Search> &search);
    void finish(Search &search, std::optional<StreamOrigin> origin);

    asio::io_context &m_context;
    const MemberDirectory &m_members;
    ConnectionPool &m_peerConnections;
    VersionConfirmer &m_confirmer;
    EndpointList m_endpointList;
    Metrics &m_metrics;
    SoftwareVersions m_versions;
    StreamOrigins m_origins;
};

} // namespace flamingo

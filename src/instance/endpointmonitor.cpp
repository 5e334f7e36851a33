#include "instance/endpointmonitor.h"

#include "core/codec.h"
#include "core/log.h"
#include "http/internalrequest.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace flamingo
{

namespace
{
constexpr Milliseconds CheckPeriod{100};
/// Requests are in progress and no endpoint sends anything for this long: perhaps none can be reached.
constexpr Milliseconds QuietTime{300};
/// A connection shows that endpoints can be reached, however quiet they are, for this long.
constexpr Milliseconds ConnectedLifetime{1500};
constexpr Milliseconds ProbeInterval{300};
constexpr Milliseconds ProbeTimeout{300};
constexpr std::size_t ProbesInDoubt = 3;
constexpr std::size_t ProbesWhileCutOff = 1;
constexpr Milliseconds QueryInterval{250};
constexpr std::size_t QueriesPerInterval = 8;
constexpr Milliseconds QueryTimeout{400};
constexpr int StatusOk = 200;

Instant steadyNow()
{
    return std::chrono::steady_clock::now();
}

std::optional<ReachabilityReport> decodeReport(const std::string &bytes)
{
    const auto json = fromCbor(bytes);
    if (!json) {
        return std::nullopt;
    }
    try {
        return ReachabilityReport{json->at("reaches").get<bool>(), json->at("forwarded").get<std::size_t>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}
} // namespace

/// A connection attempt that carries no request. Its handlers keep it.
struct EndpointMonitor::Probe {
    explicit Probe(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
};

EndpointMonitor::EndpointMonitor(asio::io_context &context,
                                 TimerService &timers,
                                 EndpointReachability &reachability,
                                 const EndpointDirectory &endpoints,
                                 const MemberDirectory &members,
                                 ConnectionPool &peerConnections,
                                 Hooks hooks)
    : m_context(context)
    , m_timers(timers)
    , m_endpoints(endpoints)
    , m_members(members)
    , m_peerConnections(peerConnections)
    , m_hooks(std::move(hooks))
    , m_reachability(reachability)
{
}

void EndpointMonitor::start()
{
    m_timers.every(steadyNow(), CheckPeriod, [this](Instant now) { check(now); });
}

EndpointReachability &EndpointMonitor::reachability()
{
    return m_reachability;
}

std::string EndpointMonitor::report() const
{
    const bool reachesEndpoints = !m_reachability.isCutOff() && !m_reachability.isInDoubt() && m_hooks.mayForward();
    return toCbor({{"reaches", reachesEndpoints}, {"forwarded", m_hooks.forwardedRequests()}});
}

std::shared_ptr<void> EndpointMonitor::beginRequest()
{
    if ((*m_requests)++ == 0) {
        m_lastBytesAt = steadyNow();
    }
    return {nullptr, [requests = m_requests](void *) { --*requests; }};
}

void EndpointMonitor::onBytes()
{
    m_lastBytesAt = steadyNow();
}

void EndpointMonitor::onConnected(const EndpointId &endpoint)
{
    m_lastConnectedAt = steadyNow();
    m_reachability.recordConnected(endpoint);
}

void EndpointMonitor::onUnreachable(const EndpointId &endpoint)
{
    m_reachability.recordUnreachable(endpoint, steadyNow());
}

void EndpointMonitor::check(Instant now)
{
    const bool isCutOff = m_reachability.isCutOff();
    const bool isInDoubt = m_reachability.isInDoubt() || isQuiet(now);
    if (!isCutOff && !isInDoubt) {
        return;
    }
    if (now - m_lastProbeAt >= ProbeInterval) {
        probeEndpoints(isCutOff ? ProbesWhileCutOff : ProbesInDoubt, now);
    }
    if (now - m_lastQueryAt >= QueryInterval) {
        queryInstances(now);
    }
    if (m_reachability.update(m_endpoints.all().size(), now)) {
        logChange(m_reachability.isCutOff() ? "endpoints-cut-off" : "endpoints-reachable", "endpoints={}", m_endpoints.all().size());
        m_hooks.onChanged(m_reachability.isCutOff());
    }
}

bool EndpointMonitor::isQuiet(Instant now) const
{
    return *m_requests > 0 && now - m_lastBytesAt > QuietTime && now - m_lastConnectedAt > ConnectedLifetime;
}

void EndpointMonitor::probeEndpoints(std::size_t count, Instant now)
{
    m_lastProbeAt = now;
    std::vector<EndpointEntry> endpoints = m_endpoints.all();
    endpoints.erase(std::remove_if(endpoints.begin(), endpoints.end(), [](const EndpointEntry &it) { return it.isLeaving; }), endpoints.end());
    for (std::size_t n = 0; n < std::min(count, endpoints.size()); ++n) {
        probe(endpoints[m_nextEndpoint++ % endpoints.size()]);
    }
}

void EndpointMonitor::probe(const EndpointEntry &endpoint)
{
    asio::error_code ec;
    const auto host = asio::ip::make_address(endpoint.address.host, ec);
    if (ec) {
        return;
    }
    const auto probe = std::make_shared<Probe>(m_context);
    probe->timer.expires_after(ProbeTimeout);
    probe->timer.async_wait([probe](const asio::error_code &waited) {
        asio::error_code ignored;
        if (!waited) {
            probe->socket.close(ignored);
        }
    });
    probe->socket.async_connect({host, endpoint.address.port}, [this, probe, id = endpoint.id](const asio::error_code &failed) {
        probe->timer.cancel();
        if (failed) {
            onUnreachable(id);
        } else {
            onConnected(id);
        }
    });
}

void EndpointMonitor::queryInstances(Instant now)
{
    m_lastQueryAt = now;
    const std::vector<MemberRecord> members = m_members.otherInstances();
    for (std::size_t n = 0; n < std::min(QueriesPerInterval, members.size()); ++n) {
        const MemberRecord &member = members[m_nextInstance++ % members.size()];
        if (m_members.isReachable(member.id, now)) {
            query(member);
        }
    }
}

void EndpointMonitor::query(const MemberRecord &member)
{
    InternalRequest request;
    request.address = member.peerAddress;
    request.method = "POST";
    request.target = ReportPath;
    request.responseTimeout = QueryTimeout;
    sendInternalRequest(m_context, m_peerConnections, std::move(request), [this, id = member.id](const std::optional<InternalResponse> &response) {
        const auto report = response && response->status == StatusOk ? decodeReport(response->body) : std::nullopt;
        if (report) {
            m_reachability.recordReport(id, *report, steadyNow());
        } else {
            m_reachability.recordForwardFailure(id);
        }
    });
}

} // namespace flamingo

#include "instance/peerapi.h"

#include "instance/isolationdetector.h"

#include <memory>
#include <string_view>
#include <utility>

namespace flamingo
{

namespace
{
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
/// A forwarded call may be a watch, which blocks in the store until its own timeout.
constexpr Milliseconds StoreForwardTimeout{22000};
} // namespace

PeerApi::PeerApi(platform::PlatformStore &store,
                 HomeService &homeService,
                 RegistryWatcher &registryWatcher,
                 GrantSurveyor &grantSurveyor,
                 WitnessClient &witnesses,
                 QuotaClient &quotas,
                 StreamOriginClient &streamOrigins,
                 const EndpointMonitor &endpointMonitor,
                 RequestForwarder &requestForwarder)
    : m_store(store)
    , m_homeService(homeService)
    , m_registryWatcher(registryWatcher)
    , m_grantSurveyor(grantSurveyor)
    , m_witnesses(witnesses)
    , m_quotas(quotas)
    , m_streamOrigins(streamOrigins)
    , m_endpointMonitor(endpointMonitor)
    , m_requestForwarder(requestForwarder)
{
}

void PeerApi::handle(const ServerConnectionPtr &connection, ServerRequest request)
{
    const std::string_view forwardPrefix = RequestForwarder::PathPrefix;
    const std::string_view storePrefix = StorePathPrefix;
    const std::string &target = request.head.target;
    if (target == IsolationDetector::PingPath) {
        ping(connection, request.body);
    } else if (target == RegistryFeed::PollPath) {
        pollRegistry(connection, request.body);
    } else if (target == HomeClient::BeginTurnPath) {
        beginTurn(connection, request.body);
    } else if (target == HomeClient::EndTurnPath) {
        endTurn(connection, request.body);
    } else if (target == WitnessClient::NotePath) {
        noteLimits(connection, request.body);
    } else if (target == WitnessClient::FencePath) {
        fence(connection, request.body);
    } else if (target == QuotaClient::LeasePath) {
        answerQuotaLease(connection, request.body);
    } else if (target == QuotaClient::TransferPath) {
        acceptQuotaTransfer(connection, request.body);
    } else if (target == StreamOriginClient::NotePath) {
        noteStreamOrigin(connection, request.body);
    } else if (target == StreamOriginClient::QueryPath) {
        findStreamOrigin(connection, request.body);
    } else if (target == GrantSurveyor::SurveyPath) {
        answerGrantSurvey(connection, request.body);
    } else if (target == EndpointMonitor::ReportPath) {
        connection->respond(StatusOk, {}, m_endpointMonitor.report());
    } else if (target.compare(0, storePrefix.size(), storePrefix) == 0) {
        forwardToStore(connection, request);
    } else if (target.compare(0, forwardPrefix.size(), forwardPrefix) == 0) {
        m_requestForwarder.forward(connection, std::move(request));
    } else {
        connection->respond(StatusNotFound, {}, {});
    }
}

void PeerApi::setDraining()
{
    m_isDraining = true;
}

// A sender that has disconnected has given up and sends the turn elsewhere. That is usual for requests that were waiting while this
// process was frozen, or that waited long for the store.
void PeerApi::beginTurn(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto request = BeginTurnRequest::decode(body);
    if (!request || m_isDraining) {
        connection->respond(request ? StatusUnavailable : StatusBadRequest, {}, {});
        return;
    }
    m_registryWatcher.onPeerVersions(request->registryVersions);
    m_homeService.beginTurn(*request, [this, begin = *request, weak = std::weak_ptr<ServerConnection>(connection)](BeginTurnResponse response) {
        const auto it = weak.lock();
        if (!it || it->hasDisconnected()) {
            m_homeService.abandonTurn(begin, response);
            return;
        }
        response.registryVersions = m_registryWatcher.seenVersions();
        it->respond(StatusOk, {}, response.encode());
    });
}

void PeerApi::endTurn(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto request = EndTurnRequest::decode(body);
    if (request) {
        m_homeService.endTurn(*request);
    }
    connection->respond(request ? StatusOk : StatusBadRequest, {}, {});
}

void PeerApi::pollRegistry(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto poll = RegistryPoll::decode(body);
    if (!poll) {
        connection->respond(StatusBadRequest, {}, {});
        return;
    }
    m_registryWatcher.onPoll(*poll, [weak = std::weak_ptr<ServerConnection>(connection)](const RegistryUpdate &update) {
        if (const auto it = weak.lock()) {
            it->respond(StatusOk, {}, update.encode());
        }
    });
}

void PeerApi::ping(const ServerConnectionPtr &connection, const std::string &body)
{
    if (const auto versions = RegistryVersions::decode(body)) {
        m_registryWatcher.onPeerVersions(*versions);
    }
    connection->respond(StatusOk, {}, m_registryWatcher.seenVersions().encode());
}

void PeerApi::answerGrantSurvey(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto answer = m_grantSurveyor.answer(body);
    connection->respond(answer ? StatusOk : StatusBadRequest, {}, answer.value_or(std::string()));
}

void PeerApi::noteLimits(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto response = m_isDraining ? std::nullopt : m_witnesses.answerNotes(body);
    connection->respond(response ? StatusOk : StatusUnavailable, {}, response.value_or(std::string()));
}

void PeerApi::fence(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto response = m_witnesses.answerFence(body);
    connection->respond(response ? StatusOk : StatusUnavailable, {}, response.value_or(std::string()));
}

void PeerApi::answerQuotaLease(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto response = m_quotas.answerLease(body);
    connection->respond(response ? StatusOk : StatusBadRequest, {}, response.value_or(std::string()));
}

void PeerApi::acceptQuotaTransfer(const ServerConnectionPtr &connection, const std::string &body)
{
    connection->respond(m_quotas.acceptTransfer(body) ? StatusOk : StatusUnavailable, {}, {});
}

void PeerApi::noteStreamOrigin(const ServerConnectionPtr &connection, const std::string &body)
{
    connection->respond(m_streamOrigins.acceptNote(body) ? StatusOk : StatusBadRequest, {}, {});
}

void PeerApi::findStreamOrigin(const ServerConnectionPtr &connection, const std::string &body)
{
    const auto answer = m_streamOrigins.answerQuery(body);
    connection->respond(answer ? StatusOk : StatusBadRequest, {}, answer.value_or(std::string()));
}

void PeerApi::forwardToStore(const ServerConnectionPtr &connection, const ServerRequest &request)
{
    const std::string target = request.head.target.substr(std::string_view(StorePathPrefix).size());
    const std::weak_ptr<ServerConnection> weak = connection;
    m_store.forward(request.head.method, target, request.body, StoreForwardTimeout, [weak](int status, const std::string &body) {
        if (const auto it = weak.lock()) {
            it->respond(status, {}, body);
        }
    });
}

} // namespace flamingo

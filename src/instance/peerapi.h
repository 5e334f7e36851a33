#pragma once

#include "http/serverconnection.h"
#include "instance/endpointmonitor.h"
#include "instance/grantsurveyor.h"
#include "instance/homeservice.h"
#include "instance/quotaclient.h"
#include "instance/registrywatcher.h"
#include "instance/requestforwarder.h"
#include "instance/streamoriginclient.h"
#include "instance/witnessclient.h"
#include "platform/platformstore.h"

#include <string>

namespace flamingo
{

/// Answers the requests of other instances: turns of the programs whose home this instance is, leases of quotas, origins of streams, polls of the registry,
/// pings, requests to be forwarded to endpoints, and store calls of instances that the store rejects or that can't reach it.
class PeerApi
{
public:
    /// Prefix of the paths of store calls that are to be forwarded.
    static constexpr const char *StorePathPrefix = "/store";

    PeerApi(platform::PlatformStore &store,
            HomeService &homeService,
            RegistryWatcher &registryWatcher,
            GrantSurveyor &grantSurveyor,
            WitnessClient &witnesses,
            QuotaClient &quotas,
            StreamOriginClient &streamOrigins,
            const EndpointMonitor &endpointMonitor,
            RequestForwarder &requestForwarder);

    void handle(const ServerConnectionPtr &connection, ServerRequest request);

    /// From here on, turns and limits to be noted are refused. A draining home has released its budgets, so the sender has to ask the
    /// next one, and its notes will be lost, so that holders choose another witness.
    void setDraining();

private:
    void beginTurn(const ServerConnectionPtr &connection, const std::string &body);
    void endTurn(const ServerConnectionPtr &connection, const std::string &body);
    void pollRegistry(const ServerConnectionPtr &connection, const std::string &body);
    void ping(const ServerConnectionPtr &connection, const std::string &body);
    void answerGrantSurvey(const ServerConnectionPtr &connection, const std::string &body);
    void noteLimits(const ServerConnectionPtr &connection, const std::string &body);
    void fence(const ServerConnectionPtr &connection, const std::string &body);
    void answerQuotaLease(const ServerConnectionPtr &connection, const std::string &body);
    void acceptQuotaTransfer(const ServerConnectionPtr &connection, const std::string &body);
    void noteStreamOrigin(const ServerConnectionPtr &connection, const std::string &body);
    void findStreamOrigin(const ServerConnectionPtr &connection, const std::string &body);
    void forwardToStore(const ServerConnectionPtr &connection, const ServerRequest &request);

    platform::PlatformStore &m_store;
    HomeService &m_homeService;
    RegistryWatcher &m_registryWatcher;
    GrantSurveyor &m_grantSurveyor;
    WitnessClient &m_witnesses;
    QuotaClient &m_quotas;
    StreamOriginClient &m_streamOrigins;
    const EndpointMonitor &m_endpointMonitor;
    RequestForwarder &m_requestForwarder;
    bool m_isDraining = false;
};

} // namespace flamingo

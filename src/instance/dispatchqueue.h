#pragma once

#include "policy/dispatcher.h"
#include "serving/endpointdirectory.h"
#include "serving/requestmetadata.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace flamingo
{

/// Joins the requests of one instance to the dispatcher: it numbers them and tells each where it may go.
class DispatchQueue
{
public:
    using DispatchHandler = std::function<void(const EndpointEntry &endpoint, const std::string &reason)>;

    DispatchQueue(const PolicyRules &rules, const DomainId &ownDomain, const EndpointDirectory &directory);

    /// Passes the directory's present content on.
    void refreshEndpoints();

    /// Takes a request in; the handler is called, perhaps at once, when an endpoint has been chosen.
    Result<CallId> enqueue(DispatchRequest call, DispatchHandler onDispatch);

    /// A request gives up waiting.
    void remove(CallId call);

    void onLoad(const EndpointId &endpoint, const EndpointLoad &load);

    void onFinished(const DispatchRequest &call, const EndpointId &endpoint, const CallObservation &observation);
    void onFailed(const DispatchRequest &call, const EndpointId &endpoint, bool isEndpointFault);

    /// Looks again at what waits: endpoints become usable by time alone, after a failure or a wait for a cached prefix.
    void onTimer();

    Milliseconds retryAfter(const PoolId &pool) const;
    std::size_t waitingCount() const;

private:
    void dispatchWaiting();

    Dispatcher m_dispatcher;
    const EndpointDirectory &m_directory;
    std::unordered_map<CallId, DispatchHandler> m_dispatchHandlers;
    std::uint64_t m_lastCallId = 0;
    bool m_isDispatching = false;
    bool m_isDispatchRequested = false;
};

} // namespace flamingo

#pragma once

#include "policy/dispatcher.h"
#include "serving/endpointdirectory.h"
#include "serving/requestmetadata.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace flamingo
{

/// Queues the requests of one instance in the dispatcher. It assigns their ids and calls each request's handler with the
/// chosen endpoint.
class DispatchQueue
{
public:
    /// One of them is called once for a request that waits, unless it is removed.
    struct Handlers {
        std::function<void(const EndpointEntry &endpoint, const std::string &reason)> onDispatch;
        std::function<void(const Error &error)> onRefused; ///< No endpoint is left that takes new requests.
    };

    DispatchQueue(const PolicyRules &rules, const DomainId &ownDomain, const EndpointDirectory &endpointDirectory);

    /// Passes the current content of the endpoint directory to the dispatcher. Refuses requests that wait for a pool without
    /// endpoints that take new ones.
    void refreshEndpoints();

    /// Sets the failure domains that can't be reached. Their endpoints are used only where no other has a free slot.
    void setUnreachableDomains(std::set<DomainId> domains);

    /// Sets how many instances share the endpoints. The own instance's id makes its choices differ from those of the others.
    void setInstances(std::size_t count, const InstanceId &self);

    /// The endpoint takes no new requests from now on. Requests that wait for it alone are refused with the next timer.
    void markLeaving(const EndpointId &endpoint);

    /// Queues a request, or returns the dispatcher's error. onDispatch is called once an endpoint has been chosen, possibly
    /// before this returns. The request gets its id and its kind, which belong to the same request in later calls.
    Result<CallId> enqueue(DispatchRequest &request, Handlers handlers);

    /// Removes a waiting request; its handler is not called.
    void remove(CallId call);

    void onLoad(const EndpointId &endpoint, const EndpointLoad &load);

    /// An attempt has ended with a complete response.
    void onFinished(const DispatchRequest &request, const EndpointId &endpoint, const CallObservation &observation);

    /// An attempt has ended otherwise; isEndpointFault tells whether the endpoint is to blame.
    void onFailed(const DispatchRequest &request, const EndpointId &endpoint, bool isEndpointFault);

    /// Ends the backoff of all endpoints, since requests go to them another way from now on.
    void forgiveFailures();

    /// Dispatches waiting requests again, since endpoints may become usable just by the passing of time: some while after a
    /// failure, or once a request has waited long enough for its cached prefix.
    void onTimer();

    /// The time after which a refused caller should retry.
    Milliseconds retryAfter(const PoolId &pool) const;
    std::size_t waitingCount() const;

private:
    void dispatchWaiting();
    void refuseUnservable();

    Dispatcher m_dispatcher;
    const EndpointDirectory &m_endpointDirectory;
    std::unordered_map<CallId, Handlers> m_handlers;
    std::uint64_t m_lastCallId = 0;
    bool m_isDispatching = false;
    bool m_isDispatchRequested = false;
};

} // namespace flamingo

#pragma once

#include "core/ids.h"
#include "endpoints/endpointrequest.h"
#include "http/httpclient.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace flamingo
{

/// Client for the HTTP interface of model engines and plain services (see docs/endpoints.md). Handlers run on the client's
/// own thread.
class EndpointClient
{
public:
    using DeltaHandler = std::function<void(AttemptId attempt, std::string text)>;
    using ResultHandler = std::function<void(EndpointResult result)>;
    using MemoryHandler = std::function<void(EndpointId endpoint, std::vector<ProgramId> programs)>;

    EndpointClient(DeltaHandler onDelta, ResultHandler onResult, MemoryHandler onMemory);

    void send(const EndpointRequest &request);

    /// Cancels an attempt and, if it is a model call, the engine's work on it.
    void cancel(AttemptId attempt);

    /// Tells an engine to free the memory that it holds for a program.
    void releaseMemory(const std::string &address, const ProgramId &program, FencingNumber fence);

    /// Asks an engine for the programs that it holds memory for. If this fails, the handler isn't called.
    void listMemory(const EndpointId &endpoint, const std::string &address);

private:
    struct InFlightRequest {
        HttpClient::TransferId httpRequest = 0;
        std::string address;
        bool isModel = true;
    };

    void sendModelCall(const EndpointRequest &request);
    void sendServiceCall(const EndpointRequest &request);
    void trackRequest(const EndpointRequest &request, HttpClient::TransferId httpRequest);
    void finish(EndpointResult result);

    DeltaHandler m_onDelta;
    ResultHandler m_onResult;
    MemoryHandler m_onMemory;
    std::mutex m_mutex;
    std::map<AttemptId, InFlightRequest> m_inFlightRequests;
    HttpClient m_client;
};

} // namespace flamingo

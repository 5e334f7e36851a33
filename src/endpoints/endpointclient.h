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

/// Model engines and plain services, by their HTTP interface (see docs/endpoints.md). Handlers run on the client's thread.
class EndpointClient
{
public:
    using DeltaHandler = std::function<void(AttemptId attempt, std::string text)>;
    using ResultHandler = std::function<void(EndpointResult result)>;
    using MemoryHandler = std::function<void(EndpointId endpoint, std::vector<ProgramId> programs)>;

    EndpointClient(DeltaHandler onDelta, ResultHandler onResult, MemoryHandler onMemory);

    void send(const EndpointRequest &request);

    /// Ends a sending, here and at the engine.
    void cancel(AttemptId attempt);

    /// Tells an engine to drop what it holds for a program.
    void releaseMemory(const std::string &address, const ProgramId &program, FencingNumber fence);

    /// Asks an engine for which programs it holds memory.
    void listMemory(const EndpointId &endpoint, const std::string &address);

private:
    struct InFlightRequest {
        HttpClient::RequestId httpRequest = 0;
        std::string address;
        bool isModel = true;
    };

    void sendModelCall(const EndpointRequest &request);
    void sendServiceCall(const EndpointRequest &request);
    void trackRequest(const EndpointRequest &request, HttpClient::RequestId httpRequest);
    void finish(EndpointResult result);

    DeltaHandler m_onDelta;
    ResultHandler m_onResult;
    MemoryHandler m_onMemory;
    std::mutex m_mutex;
    std::map<AttemptId, InFlightRequest> m_inFlightRequests;
    HttpClient m_client;
};

} // namespace flamingo

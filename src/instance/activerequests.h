#pragma once

#include <cstddef>
#include <memory>
#include <vector>

namespace flamingo
{

class ProxiedRequest;

/// The requests in progress, so that they can be ended before the process is.
class ActiveRequests
{
public:
    void add(const std::shared_ptr<ProxiedRequest> &request);

    /// Ends all requests. Those that no endpoint may have run are refused.
    void endAll();

private:
    void removeFinished();

    std::vector<std::weak_ptr<ProxiedRequest>> m_requests;
    std::size_t m_nextCleanup = 0; ///< Finished requests are removed when there are so many.
};

} // namespace flamingo

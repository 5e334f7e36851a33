#include "instance/activerequests.h"

#include "instance/proxiedrequest.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

void ActiveRequests::add(const std::shared_ptr<ProxiedRequest> &request)
{
    if (m_requests.size() >= m_nextCleanup) {
        removeFinished();
    }
    m_requests.push_back(request);
}

void ActiveRequests::endAll()
{
    const auto requests = std::exchange(m_requests, {});
    // Those that wait go first: ending one that runs frees a slot, which one of them would take.
    for (const bool endsWaiting : {true, false}) {
        for (const auto &weak : requests) {
            const auto request = weak.lock();
            if (request && request->isWaiting() == endsWaiting) {
                request->end();
            }
        }
    }
}

void ActiveRequests::removeFinished()
{
    constexpr std::size_t MinCleanupSize = 64;
    m_requests.erase(std::remove_if(m_requests.begin(), m_requests.end(), [](const auto &it) { return it.expired(); }), m_requests.end());
    m_nextCleanup = std::max(MinCleanupSize, m_requests.size() * 2);
}

} // namespace flamingo

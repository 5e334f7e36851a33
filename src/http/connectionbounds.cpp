#include "http/connectionbounds.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// A request may be on its way on a connection that has been idle for less than this.
constexpr Milliseconds MinIdleTime{100};
/// Requests that stop for longer may be closed. Callers on bad networks stop for some hundred milliseconds.
constexpr Milliseconds MinStall{1000};
/// Descriptors for the store, peers, idle connections to endpoints, listeners and files: a part of all, within limits.
constexpr std::size_t ReserveDivisor = 4;
constexpr std::size_t MinReserve = 64;
constexpr std::size_t MaxReserve = 512;
} // namespace

HeaderFields ConnectionBounds::fieldsFor(const MessageHead &head) const
{
    return refusalFields ? refusalFields(head) : HeaderFields();
}

void ConnectionBounds::report(ShedEvent event) const
{
    if (onShed) {
        onShed(event);
    }
}

std::optional<std::size_t> chooseConnectionToClose(const std::vector<ConnectionActivity> &connections, Instant now)
{
    std::optional<std::size_t> chosen;
    for (const auto &[state, minTime] :
         {std::make_pair(ConnectionActivity::State::Idle, MinIdleTime), std::make_pair(ConnectionActivity::State::ReceivingRequest, MinStall)}) {
        for (std::size_t n = 0; n < connections.size(); ++n) {
            const bool mayClose = connections[n].state == state && now - connections[n].since >= minTime;
            if (mayClose && (!chosen || connections[n].since < connections[*chosen].since)) {
                chosen = n;
            }
        }
        if (chosen) {
            break;
        }
    }
    return chosen;
}

std::size_t callerDescriptors(std::size_t maxDescriptors)
{
    const std::size_t reserve = std::clamp(maxDescriptors / ReserveDivisor, MinReserve, MaxReserve);
    return maxDescriptors - std::min(reserve, maxDescriptors / 2);
}

} // namespace flamingo

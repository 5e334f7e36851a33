#pragma once

#include "serving/route.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace flamingo
{

/// The configuration in force. It never goes back to an older one.
class RouteTable
{
public:
    /// Puts a configuration in force. Returns false, and changes nothing, when it isn't newer than the present one.
    bool install(ServingConfiguration configuration);

    /// Whether there is any configuration yet.
    bool isLoaded() const;

    /// For how long turns of any route are kept at the most.
    Milliseconds longestRetention() const;

    /// Among the host's routes, the one with the longest prefix of the path; nullptr when there is none.
    const Route *find(std::string_view host, std::string_view path) const;

    const PoolInfo *pool(const PoolId &id) const;

    const ServingConfiguration &configuration() const;

private:
    ServingConfiguration m_configuration;
    bool m_isLoaded = false;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< Longest prefix first.
};

/// The pool for one request of a route with several: the share of each is kept over the values of the number drawn.
const PoolId &choosePool(const Route &route, std::uint64_t randomNumber);

} // namespace flamingo

#pragma once

#include "serving/route.h"
#include "serving/workspacedirectory.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace flamingo
{

/// The configuration in force, with lookups of routes and of workspaces. It is never replaced by an older one.
class RouteTable
{
public:
    /// Puts a configuration in force. Returns false and changes nothing when it isn't newer than the present one.
    bool install(ServingConfiguration configuration);

    /// Whether a configuration has been installed.
    bool isLoaded() const;

    /// The longest retention of turns of any route.
    Milliseconds longestRetention() const;

    /// The host's route with the longest prefix that matches the path; nullptr when none matches. The host's case and port are
    /// ignored.
    const Route *find(std::string_view host, std::string_view path) const;

    const PoolInfo *pool(const PoolId &id) const;

    /// The configuration; its workspaces are in workspaces().
    const ServingConfiguration &configuration() const;

    const WorkspaceDirectory &workspaces() const;

private:
    ServingConfiguration m_configuration;
    WorkspaceDirectory m_workspaces;
    bool m_isLoaded = false;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< Indexes of routes; the longest prefix first.
};

/// Chooses the pool for one request. Over uniformly distributed random numbers each pool gets a share of the requests
/// in proportion to its weight.
const PoolId &choosePool(const Route &route, std::uint64_t randomNumber);

} // namespace flamingo

#include "serving/routetable.h"

#include <algorithm>

namespace flamingo
{

namespace
{
std::string toLower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

std::string hostWithoutPort(std::string_view host)
{
    return toLower(host.substr(0, host.find(':')));
}
} // namespace

bool RouteTable::install(ServingConfiguration configuration)
{
    if (m_isLoaded && configuration.version <= m_configuration.version) {
        return false;
    }
    m_workspaces = configuration.workspaces ? WorkspaceDirectory(std::move(*configuration.workspaces)) : WorkspaceDirectory();
    configuration.workspaces.reset();
    m_configuration = std::move(configuration);
    m_isLoaded = true;
    m_routesByHost.clear();
    for (std::size_t n = 0; n < m_configuration.routes.size(); ++n) {
        m_routesByHost[toLower(m_configuration.routes[n].host)].push_back(n);
    }
    for (auto &[host, indexes] : m_routesByHost) {
        std::sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return m_configuration.routes[a].prefix.size() > m_configuration.routes[b].prefix.size();
        });
    }
    return true;
}

Milliseconds RouteTable::longestRetention() const
{
    Milliseconds longest{0};
    for (const Route &route : m_configuration.routes) {
        longest = std::max(longest, route.retention);
    }
    return longest;
}

bool RouteTable::isLoaded() const
{
    return m_isLoaded;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto it = m_routesByHost.find(hostWithoutPort(host));
    if (it == m_routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t n : it->second) {
        const Route &route = m_configuration.routes[n];
        if (path.substr(0, route.prefix.size()) == route.prefix) {
            return &route;
        }
    }
    return nullptr;
}

const PoolInfo *RouteTable::pool(const PoolId &id) const
{
    const auto it = m_configuration.pools.find(id);
    return it == m_configuration.pools.end() ? nullptr : &it->second;
}

const ServingConfiguration &RouteTable::configuration() const
{
    return m_configuration;
}

const WorkspaceDirectory &RouteTable::workspaces() const
{
    return m_workspaces;
}

const PoolId &choosePool(const Route &route, std::uint64_t randomNumber)
{
    std::uint64_t total = 0;
    for (const WeightedPool &it : route.pools) {
        total += static_cast<std::uint64_t>(std::max(0, it.weight));
    }
    std::uint64_t remainder = total == 0 ? 0 : randomNumber % total;
    for (const WeightedPool &it : route.pools) {
        const auto weight = static_cast<std::uint64_t>(std::max(0, it.weight));
        if (remainder < weight) {
            return it.pool;
        }
        remainder -= weight;
    }
    return route.pools.front().pool;
}

} // namespace flamingo

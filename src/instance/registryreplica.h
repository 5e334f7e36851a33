#pragma once

#include "platform/platformstore.h"
#include "serving/endpointdirectory.h"
#include "serving/memberdirectory.h"
#include "serving/routetable.h"

#include <functional>
#include <string>
#include <vector>

namespace flamingo
{

/// Applies the registry's keys to this instance's configuration, list of endpoints and member list. Keys of other writers that
/// can't be decoded are left out.
class RegistryReplica
{
public:
    /// Called once per batch of changes, since handling one takes time that grows with the number of endpoints or members.
    struct Hooks {
        std::function<void()> onEndpointsChanged;
        std::function<void(const EndpointEntry &endpoint)> onEndpointRegistered; ///< Called for each entry.
        std::function<void()> onMembersChanged;
    };

    RegistryReplica(RouteTable &routes, EndpointDirectory &endpointDirectory, MemberDirectory &members, Hooks hooks);

    /// Applies changed keys, of any prefix. A key with revision 0 has been removed.
    void apply(const std::vector<platform::StoreItem> &items);

    /// Replaces the list of endpoints by a full listing.
    void replaceEndpoints(const std::vector<platform::StoreItem> &items);

    /// Applies a full listing of the operator's keys.
    void replaceOperatorKeys(const std::vector<platform::StoreItem> &items);

    /// Whether the store's configuration, as last seen, could be read. If it is unreadable or has been removed, the one in force is
    /// outdated.
    bool isConfigurationReadable() const;

private:
    bool applyEndpoint(const platform::StoreItem &item, bool isLogged);
    void applyMember(const platform::StoreItem &item, bool isLogged);
    void applyConfiguration(const std::string &bytes);

    RouteTable &m_routes;
    EndpointDirectory &m_endpointDirectory;
    MemberDirectory &m_members;
    Hooks m_hooks;
    bool m_isConfigurationReadable = false;
};

} // namespace flamingo

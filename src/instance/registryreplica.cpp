#include "instance/registryreplica.h"

#include "core/log.h"
#include "platform/recordcodec.h"

#include <utility>

namespace flamingo
{

namespace
{
/// Larger batches of changes, as at startup, are logged in one line.
constexpr std::size_t MaxLoggedItems = 24;
} // namespace

RegistryReplica::RegistryReplica(RouteTable &routes, EndpointDirectory &endpointDirectory, MemberDirectory &members, Hooks hooks)
    : m_routes(routes)
    , m_endpointDirectory(endpointDirectory)
    , m_members(members)
    , m_hooks(std::move(hooks))
{
}

void RegistryReplica::replaceEndpoints(const std::vector<platform::StoreItem> &items)
{
    std::vector<EndpointEntry> entries;
    for (const platform::StoreItem &item : items) {
        if (auto entry = platform::decodeEndpoint(item.key, item.data)) {
            entries.push_back(std::move(*entry));
        }
    }
    if (m_endpointDirectory.replaceAll(entries, std::chrono::steady_clock::now())) {
        m_hooks.onEndpointsChanged();
    }
}

void RegistryReplica::replaceOperatorKeys(const std::vector<platform::StoreItem> &items)
{
    m_isConfigurationReadable = false;
    apply(items);
}

bool RegistryReplica::isConfigurationReadable() const
{
    return m_isConfigurationReadable;
}

void RegistryReplica::apply(const std::vector<platform::StoreItem> &items)
{
    const bool areLogged = items.size() <= MaxLoggedItems;
    bool haveEndpointsChanged = false;
    bool haveMembersChanged = false;
    for (const platform::StoreItem &item : items) {
        if (item.key == platform::ConfigurationKey) {
            applyConfiguration(item.data);
        } else if (item.key.rfind(MemberDirectory::KeyPrefix, 0) == 0) {
            applyMember(item, areLogged);
            haveMembersChanged = true;
        } else if (item.key.rfind(platform::EndpointPrefix, 0) == 0) {
            haveEndpointsChanged = applyEndpoint(item, areLogged) || haveEndpointsChanged;
        }
    }
    if (!areLogged) {
        logChange("batch-changed", "first={} items={}", items.front().key, items.size());
    }
    if (haveEndpointsChanged) {
        m_hooks.onEndpointsChanged();
    }
    if (haveMembersChanged) {
        m_hooks.onMembersChanged();
    }
}

bool RegistryReplica::applyEndpoint(const platform::StoreItem &item, bool isLogged)
{
    const EndpointId id(item.key.substr(std::string_view(platform::EndpointPrefix).size()));
    const auto entry = item.revision == 0 ? std::nullopt : platform::decodeEndpoint(item.key, item.data);
    if (entry) {
        m_hooks.onEndpointRegistered(*entry);
    }
    const bool isChange = entry ? m_endpointDirectory.put(*entry) : m_endpointDirectory.remove(id, std::chrono::steady_clock::now());
    if (isChange && isLogged) {
        logChange("endpoint-changed", "endpoint={} state={} revision={}", id.value(), entry ? (entry->isLeaving ? "leaving" : "ready") : "gone", item.revision);
    }
    return isChange;
}

void RegistryReplica::applyMember(const platform::StoreItem &item, bool isLogged)
{
    const InstanceId id(item.key.substr(std::string_view(MemberDirectory::KeyPrefix).size()));
    const auto member = item.revision == 0 ? std::nullopt : MemberRecord::decode(id, item.data);
    if (member) {
        m_members.put(*member);
    } else {
        m_members.remove(id, std::chrono::steady_clock::now());
    }
    if (isLogged) {
        const char *state = !member ? "absent" : member->isPresumedDead ? "presumed-dead" : "present";
        logChange("member-changed", "id={} state={} revision={}", id.value(), state, item.revision);
    }
}

void RegistryReplica::applyConfiguration(const std::string &bytes)
{
    auto configuration = platform::decodeConfiguration(bytes);
    m_isConfigurationReadable = configuration.has_value();
    if (!configuration) {
        return;
    }
    const ConfigurationVersion version = configuration->version;
    if (m_routes.install(std::move(*configuration))) {
        const WorkspaceDirectory &workspaces = m_routes.workspaces();
        logChange("configuration-applied",
                  "version={} routes={} workspaces={} keys={}",
                  version.value(),
                  m_routes.configuration().routes.size(),
                  workspaces.workspaceCount(),
                  workspaces.keyCount());
    }
}

} // namespace flamingo

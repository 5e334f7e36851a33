#include "serving/workspacedirectory.h"

#include "core/log.h"

#include <utility>

namespace flamingo
{

namespace
{
/// In place of a workspace's index, for a key that several workspaces list.
constexpr std::size_t AmbiguousIndex = static_cast<std::size_t>(-1);
} // namespace

WorkspaceDirectory::WorkspaceDirectory(WorkspaceConfiguration configuration)
    : m_isConfigured(true)
    , m_isComplete(!configuration.hasUnreadableEntries)
{
    for (WorkspaceEntry &entry : configuration.entries) {
        addEntry(std::move(entry));
    }
}

void WorkspaceDirectory::addEntry(WorkspaceEntry entry)
{
    const WorkspaceId id = entry.workspace.id;
    const std::size_t index = m_workspaces.size();
    if (!m_indexesById.emplace(id, index).second) {
        logChange("workspace-ambiguous", "workspace={} reason=\"listed twice\"", id.value());
        m_isComplete = false;
        return;
    }
    m_workspaces.push_back(std::move(entry.workspace));
    for (KeyDigest &key : entry.keys) {
        const auto [it, isNew] = m_indexesByKey.emplace(std::move(key), index);
        if (!isNew && it->second != index) {
            logChange("workspace-ambiguous", "workspace={} reason=\"another workspace has the same key\"", id.value());
            it->second = AmbiguousIndex;
            m_isComplete = false;
        }
    }
}

bool WorkspaceDirectory::isConfigured() const
{
    return m_isConfigured;
}

const Workspace *WorkspaceDirectory::find(const KeyDigest &key) const
{
    const auto it = m_indexesByKey.find(key);
    return it == m_indexesByKey.end() || it->second == AmbiguousIndex ? nullptr : &m_workspaces[it->second];
}

const Workspace *WorkspaceDirectory::findById(const WorkspaceId &id) const
{
    const auto it = m_indexesById.find(id);
    return it == m_indexesById.end() ? nullptr : &m_workspaces[it->second];
}

bool WorkspaceDirectory::isComplete() const
{
    return m_isComplete;
}

std::size_t WorkspaceDirectory::workspaceCount() const
{
    return m_workspaces.size();
}

std::size_t WorkspaceDirectory::keyCount() const
{
    return m_indexesByKey.size();
}

} // namespace flamingo

#pragma once

#include "serving/workspace.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// The workspaces of the configuration in force, found by the digests of their keys. It is replaced as a whole.
class WorkspaceDirectory
{
public:
    /// The directory of a deployment without workspaces.
    WorkspaceDirectory() = default;
    explicit WorkspaceDirectory(WorkspaceConfiguration configuration);

    /// Whether the configuration has workspaces at all.
    bool isConfigured() const;

    /// The workspace that the key belongs to; nullptr if none is known. The pointer is valid until the directory is replaced.
    const Workspace *find(const KeyDigest &key) const;

    /// The workspace with this id; nullptr if there is none. The pointer is valid until the directory is replaced.
    const Workspace *findById(const WorkspaceId &id) const;

    /// Whether every key of the configuration is known here. If not, a key that isn't found may still be valid: its entry couldn't be
    /// decoded, names a workspace a second time, or shares the key with another workspace.
    bool isComplete() const;

    std::size_t workspaceCount() const;
    std::size_t keyCount() const;

private:
    void addEntry(WorkspaceEntry entry);

    std::vector<Workspace> m_workspaces;
    std::unordered_map<WorkspaceId, std::size_t> m_indexesById; ///< Indexes of workspaces.
    std::unordered_map<KeyDigest, std::size_t> m_indexesByKey; ///< The same.
    bool m_isConfigured = false;
    bool m_isComplete = true;
};

} // namespace flamingo

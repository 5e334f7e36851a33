#include "serving/programkey.h"

namespace flamingo
{

namespace
{
/// Occurs neither in a workspace's name nor in a header field, so that keys of different workspaces never collide.
constexpr char WorkspaceSeparator = '\x1f';
} // namespace

ProgramId programKey(const RequestMetadata &metadata, const std::optional<Workspace> &workspace)
{
    const bool isObject = !metadata.program && !metadata.promptTokens && !metadata.affinityKey.empty();
    const std::string &id = metadata.program ? metadata.program->value() : metadata.affinityKey.empty() ? metadata.id.value() : metadata.affinityKey;
    return ProgramId(workspace && !isObject ? workspace->id.value() + WorkspaceSeparator + id : id);
}

} // namespace flamingo

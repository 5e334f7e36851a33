#pragma once

#include "serving/requestmetadata.h"
#include "serving/workspace.h"

#include <optional>

namespace flamingo
{

/// The key of a request's program, under which its home keeps the budget and cached prefixes, and the dispatcher prefers the endpoint of
/// the program's last turn. A request without a program is known by its object, or else by itself.
///
/// Workspaces that use the same id have two programs. Objects are the same for all workspaces, since endpoints have handled them
/// before for whichever workspace. Without a workspace the key is the id alone.
ProgramId programKey(const RequestMetadata &metadata, const std::optional<Workspace> &workspace);

} // namespace flamingo

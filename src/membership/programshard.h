#pragma once

#include "core/ids.h"

#include <optional>

namespace flamingo
{

/// The shard encoded in a program's id, or nothing when the id is malformed.
std::optional<ShardId> shardOf(const ProgramId &program);

} // namespace flamingo

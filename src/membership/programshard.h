#pragma once

#include "core/ids.h"

#include <optional>

namespace flamingo
{

/// The shard that a program's id names, if the id is well formed.
std::optional<ShardId> shardOf(const ProgramId &program);

} // namespace flamingo

#pragma once

#include "core/ids.h"
#include "core/strongid.h"

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo
{

/// Identifies one start of a process, which may hold parts of budgets or be responsible for removing turns.
using IncarnationId = StrongId<struct IncarnationTag, std::string>;

/// An id that no other start has, made of the instance's id, the present time and the process id.
IncarnationId newIncarnationId(const InstanceId &instance);

/// The instance that an id of newIncarnationId() belongs to; empty for other ids.
InstanceId instanceOf(const IncarnationId &incarnation);

/// The wall-clock time in milliseconds at which an id of newIncarnationId() was made; nothing for other ids.
std::optional<std::int64_t> startTimeMs(const IncarnationId &incarnation);

} // namespace flamingo

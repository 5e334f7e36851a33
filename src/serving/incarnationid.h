#pragma once

#include "core/ids.h"
#include "core/strongid.h"

#include <string>

namespace flamingo
{

/// One life of one process that may hold parts of budgets, or answer for the removal of turns.
using IncarnationId = StrongId<struct IncarnationTag, std::string>;

/// A name for this life of the process, which no other life has.
IncarnationId newIncarnationId(const InstanceId &instance);

} // namespace flamingo

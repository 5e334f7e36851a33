#pragma once

#include "core/ids.h"
#include "core/strongid.h"

#include <string>

namespace flamingo
{

/// One life of one process that may hold parts of budgets, or answer for the removal of turns.
using HolderId = StrongId<struct HolderTag, std::string>;

/// A name for this life of the process, which no other life has.
HolderId newHolder(const InstanceId &instance);

} // namespace flamingo

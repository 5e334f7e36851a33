#pragma once

#include "core/strongid.h"

#include <string>

namespace flamingo
{

/// One life of one process that may hold parts of budgets.
using HolderId = StrongId<struct HolderTag, std::string>;

} // namespace flamingo

#pragma once

#include "platform/platformstore.h"

#include <string>
#include <vector>

namespace flamingo
{

/// Removes keys from the store, some in each call. A failure is only logged.
void removeKeys(platform::PlatformStore &store, const std::vector<std::string> &keys);

} // namespace flamingo

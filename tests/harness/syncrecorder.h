#pragma once

namespace flamingo
{

/// Environment variable with the folder whose files are recorded.
constexpr const char *SyncRecorderDataVariable = "FLAMINGO_SYNC_RECORDER_DATA";

/// Environment variable with the folder that receives what was synced.
constexpr const char *SyncRecorderSyncedVariable = "FLAMINGO_SYNC_RECORDER_SYNCED";

/// Within the folder of what was synced: content of files whose names weren't synced. A loss of power takes these files.
constexpr const char *SyncRecorderUnnamedFolder = "unnamed";

} // namespace flamingo

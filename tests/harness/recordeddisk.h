#pragma once

#include <cstdint>
#include <filesystem>
#include <random>
#include <string>
#include <vector>

namespace flamingo
{

/// The folder of a process on which the sync recorder is loaded, and beside it the content that a loss of power leaves of the folder.
class RecordedDisk
{
public:
    /// What happens to bytes that were written and not synced.
    enum class UnsyncedBytes {
        Lost,
        Torn, ///< Some of them are kept, up to a random byte.
    };

    RecordedDisk(std::filesystem::path data, std::filesystem::path synced);

    /// The variables that load the recorder into a process.
    std::vector<std::string> variables() const;

    /// Puts the folder back to what was synced. The process must not be running.
    /// Returns how many bytes had been written and not synced.
    std::uintmax_t losePower(UnsyncedBytes unsynced, std::mt19937_64 &random) const;

    /// Deletes all content. The process must not be running.
    void wipe() const;

private:
    /// The bytes of a file that were written after its last sync.
    std::string unsyncedTail(const std::filesystem::path &synced) const;

    std::filesystem::path m_data;
    std::filesystem::path m_synced;
};

} // namespace flamingo

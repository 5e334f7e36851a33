#pragma once

#include "archive/segmentfolder.h"

#include <map>
#include <random>

namespace flamingo
{

/// The calls on a FakeSegmentFolder that fail next, by number of calls.
struct SegmentFolderFaults {
    int opens = 0;
    int reads = 0;
    int appends = 0; ///< Half of the bytes are written.
    int fileSyncs = 0; ///< The next sync of the file succeeds without the bytes that this one should have covered.
    int folderSyncs = 0; ///< The next sync of the folder succeeds without the names that this one should have covered.
};

/// A folder in memory that outlives a TurnLog, as a disk outlives a process. It tells what a process reads from what is on the disk.
class FakeSegmentFolder : public SegmentFolder
{
public:
    struct File {
        std::string readable; ///< What a process reads.
        std::string onDisk; ///< What is left after a loss of power.
        std::size_t unsyncedFrom = 0;
    };

    std::vector<std::string> fileNames() const override;
    std::optional<std::string> read(const std::string &name) const override;
    std::unique_ptr<SegmentFile> open(const std::string &name) override;
    bool sync() override;
    bool remove(const std::string &name) override;
    bool rename(const std::string &from, const std::string &to) override;

    /// Loses everything that wasn't synced.
    void losePower();

    /// Loses any part of what wasn't synced, drawn from the generator.
    void losePower(std::mt19937 &random);

    /// Damages the last byte of each file.
    void flipLastBytes();

    SegmentFolderFaults &faults();

    /// The number of file syncs so far, failed ones included.
    int fileSyncCount() const;

private:
    using FilePtr = std::shared_ptr<File>;

    mutable SegmentFolderFaults m_faults;
    int m_fileSyncCount = 0;
    std::map<std::string, FilePtr> m_files;
    std::map<std::string, FilePtr> m_filesOnDisk;
    std::map<std::string, FilePtr> m_lostNames; ///< Names that no sync covers any more, since one has failed.
};

} // namespace flamingo

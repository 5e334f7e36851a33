#include "unit/fakesegmentfolder.h"

#include <algorithm>
#include <iterator>

namespace flamingo
{

namespace
{
bool fails(int &count)
{
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

class FakeSegmentFile : public SegmentFile
{
public:
    FakeSegmentFile(std::shared_ptr<FakeSegmentFolder::File> file, SegmentFolderFaults &faults, int &syncCount)
        : m_file(std::move(file))
        , m_faults(faults)
        , m_syncCount(syncCount)
    {
    }

    bool append(std::string_view bytes) override
    {
        const bool isFailing = fails(m_faults.appends);
        m_file->readable += isFailing ? bytes.substr(0, bytes.size() / 2) : bytes;
        return !isFailing;
    }

    bool sync() override
    {
        ++m_syncCount;
        const std::size_t from = m_file->unsyncedFrom;
        m_file->unsyncedFrom = m_file->readable.size();
        if (fails(m_faults.fileSyncs)) {
            return false;
        }
        m_file->onDisk.resize(from, '\0');
        m_file->onDisk += m_file->readable.substr(from);
        return true;
    }

private:
    std::shared_ptr<FakeSegmentFolder::File> m_file;
    SegmentFolderFaults &m_faults;
    int &m_syncCount;
};

bool drawBool(std::mt19937 &random)
{
    return random() % 2 == 0;
}
} // namespace

std::vector<std::string> FakeSegmentFolder::fileNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, file] : m_files) {
        names.push_back(name);
    }
    return names;
}

std::optional<std::string> FakeSegmentFolder::read(const std::string &name) const
{
    const auto it = m_files.find(name);
    if (it == m_files.end() || fails(m_faults.reads)) {
        return std::nullopt;
    }
    return it->second->readable;
}

std::unique_ptr<SegmentFile> FakeSegmentFolder::open(const std::string &name)
{
    if (fails(m_faults.opens)) {
        return nullptr;
    }
    FilePtr &file = m_files[name];
    if (!file) {
        file = std::make_shared<File>();
    }
    return std::make_unique<FakeSegmentFile>(file, m_faults, m_fileSyncCount);
}

bool FakeSegmentFolder::sync()
{
    if (fails(m_faults.folderSyncs)) {
        m_lostNames = m_files;
        for (const auto &[name, file] : m_filesOnDisk) {
            m_lostNames.erase(name);
        }
        return false;
    }
    m_filesOnDisk = m_files;
    for (const auto &[name, file] : m_lostNames) {
        m_filesOnDisk.erase(name);
    }
    return true;
}

bool FakeSegmentFolder::remove(const std::string &name)
{
    m_lostNames.erase(name);
    return m_files.erase(name) != 0;
}

bool FakeSegmentFolder::rename(const std::string &from, const std::string &to)
{
    const auto it = m_files.find(from);
    if (it == m_files.end()) {
        return false;
    }
    const FilePtr file = it->second;
    remove(from);
    m_files[to] = file;
    return true;
}

void FakeSegmentFolder::losePower()
{
    m_files = m_filesOnDisk;
    m_lostNames.clear();
    for (const auto &[name, file] : m_files) {
        file->readable = file->onDisk;
        file->unsyncedFrom = file->onDisk.size();
    }
}

void FakeSegmentFolder::losePower(std::mt19937 &random)
{
    for (const auto &[name, file] : m_files) {
        // Names that were removed or added since the last sync may have reached the disk or not.
        if (drawBool(random)) {
            m_filesOnDisk[name] = file;
        }
    }
    for (auto it = m_filesOnDisk.begin(); it != m_filesOnDisk.end();) {
        const bool isRemoved = m_files.count(it->first) == 0;
        it = isRemoved && drawBool(random) ? m_filesOnDisk.erase(it) : std::next(it);
    }
    for (const auto &[name, file] : m_filesOnDisk) {
        const std::size_t synced = file->onDisk.size();
        const std::size_t unsynced = file->readable.size() - std::min(synced, file->readable.size());
        file->onDisk += file->readable.substr(std::min(synced, file->readable.size()), random() % (unsynced + 1));
        if (file->onDisk.size() > synced && drawBool(random)) {
            file->onDisk[synced + random() % (file->onDisk.size() - synced)] ^= 1;
        }
    }
    losePower();
}

void FakeSegmentFolder::flipLastBytes()
{
    for (const auto &[name, file] : m_files) {
        if (!file->readable.empty()) {
            file->readable.back() ^= 1;
        }
    }
}

SegmentFolderFaults &FakeSegmentFolder::faults()
{
    return m_faults;
}

int FakeSegmentFolder::fileSyncCount() const
{
    return m_fileSyncCount;
}

} // namespace flamingo

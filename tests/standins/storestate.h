#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// The content of a simulated key-value store. Versions are taken from one counter for all keys, so that a key that is
/// removed and written again never gets a version that it had before.
class StoreState
{
public:
    struct Value {
        std::uint64_t version = 0;
        std::string bytes;
    };

    std::optional<Value> read(const std::string &key) const;

    /// Writes the key if it is at the expected version; 0 stands for an absent key. Returns the new version, or nothing when
    /// the key is at another version.
    std::optional<std::uint64_t> write(const std::string &key, std::uint64_t expectedVersion, std::string bytes);

    void remove(const std::string &key);
    std::vector<std::string> keys(const std::string &prefix) const;

    /// Keys with the prefix whose version is higher than the revision.
    std::vector<std::string> changedSince(const std::string &prefix, std::uint64_t revision) const;
    std::uint64_t revision() const;

private:
    std::map<std::string, Value> m_values;
    std::uint64_t m_revision = 0;
};

} // namespace flamingo

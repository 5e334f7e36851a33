#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// The content of the stand-in for the platform's key-value service. Versions grow over all keys, so that a key that is
/// deleted and written again never has an old version.
class StoreState
{
public:
    struct Value {
        std::uint64_t version = 0;
        std::string bytes;
    };

    std::optional<Value> read(const std::string &key) const;

    /// Returns the new version, or nothing when the key isn't at the expected version.
    std::optional<std::uint64_t> write(const std::string &key, std::uint64_t expectedVersion, std::string bytes);

    void remove(const std::string &key);
    std::vector<std::string> keys(const std::string &prefix) const;

    /// Keys with the prefix that were written after the revision.
    std::vector<std::string> changedSince(const std::string &prefix, std::uint64_t revision) const;
    std::uint64_t revision() const;

private:
    std::map<std::string, Value> m_values;
    std::uint64_t m_revision = 0;
};

} // namespace flamingo

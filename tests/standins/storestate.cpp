#include "standins/storestate.h"

namespace flamingo
{

std::optional<StoreState::Value> StoreState::read(const std::string &key) const
{
    const auto it = m_values.find(key);
    if (it == m_values.end()) {
        return std::nullopt;
    }
    return it->second;
}

std::optional<std::uint64_t> StoreState::write(const std::string &key, std::uint64_t expectedVersion, std::string bytes)
{
    const auto it = m_values.find(key);
    const std::uint64_t version = it == m_values.end() ? 0 : it->second.version;
    if (version != expectedVersion) {
        return std::nullopt;
    }
    m_values[key] = {++m_revision, std::move(bytes)};
    return m_revision;
}

void StoreState::remove(const std::string &key)
{
    m_values.erase(key);
}

std::vector<std::string> StoreState::keys(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (auto it = m_values.lower_bound(prefix); it != m_values.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        found.push_back(it->first);
    }
    return found;
}

std::vector<std::string> StoreState::changedSince(const std::string &prefix, std::uint64_t revision) const
{
    std::vector<std::string> found;
    for (const std::string &key : keys(prefix)) {
        if (m_values.at(key).version > revision) {
            found.push_back(key);
        }
    }
    return found;
}

std::uint64_t StoreState::revision() const
{
    return m_revision;
}

} // namespace flamingo

#include "instance/registrylog.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// An instance that doesn't know an earlier removal gets all keys.
constexpr std::size_t MaxRemovals = 512;
} // namespace

void RegistryLog::restart(const std::vector<platform::StoreItem> &items, platform::Revision revision, Instant confirmedAt)
{
    m_items.clear();
    for (const platform::StoreItem &item : items) {
        m_items[item.key] = item;
    }
    m_removals.clear();
    m_oldestRevision = revision;
    m_revision = revision;
    m_confirmedAt = confirmedAt;
}

void RegistryLog::append(const platform::StoreChanges &changes, Instant confirmedAt)
{
    for (const platform::StoreItem &item : changes.items) {
        const auto isSameKey = [&](const platform::StoreItem &it) { return it.key == item.key; };
        m_removals.erase(std::remove_if(m_removals.begin(), m_removals.end(), isSameKey), m_removals.end());
        if (item.revision == 0) {
            remove(item);
        } else {
            m_items[item.key] = item;
        }
    }
    m_revision = std::max(m_revision, changes.revision);
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
}

void RegistryLog::remove(const platform::StoreItem &removal)
{
    m_items.erase(removal.key);
    m_removals.push_back(removal);
    if (m_removals.size() > MaxRemovals) {
        m_oldestRevision = std::max(m_oldestRevision, m_removals.front().modRevision);
        m_removals.pop_front();
    }
}

void RegistryLog::setStoreUnavailable(bool isUnavailable)
{
    m_isStoreUnavailable = isUnavailable;
}

std::optional<RegistryUpdate> RegistryLog::respond(const RegistryPoll &poll, Instant now) const
{
    RegistryUpdate update = respondNow(poll, now);
    const bool isNews = !update.isFromReader || update.isListing || !update.items.empty() || update.isStoreUnavailable != poll.isStoreUnavailable;
    return isNews ? std::optional<RegistryUpdate>(std::move(update)) : std::nullopt;
}

RegistryUpdate RegistryLog::respondNow(const RegistryPoll &poll, Instant now) const
{
    RegistryUpdate update;
    if (m_oldestRevision == 0) {
        return update;
    }
    update.isFromReader = true;
    update.isStoreUnavailable = m_isStoreUnavailable;
    update.age = std::chrono::duration_cast<Milliseconds>(now - m_confirmedAt);
    update.revision = m_revision;
    update.isListing = poll.after < m_oldestRevision;
    if (update.isListing) {
        std::transform(m_items.begin(), m_items.end(), std::back_inserter(update.items), [](const auto &it) { return it.second; });
        return update;
    }
    for (const auto &[key, item] : m_items) {
        if (item.modRevision > poll.after) {
            update.items.push_back(item);
        }
    }
    std::copy_if(
        m_removals.begin(), m_removals.end(), std::back_inserter(update.items), [&](const platform::StoreItem &it) { return it.modRevision > poll.after; });
    return update;
}

} // namespace flamingo

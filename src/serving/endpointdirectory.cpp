#include "serving/endpointdirectory.h"

#include <set>

namespace flamingo
{

namespace
{
bool servesAlike(const EndpointEntry &a, const EndpointEntry &b)
{
    return a.pool == b.pool && a.address.text() == b.address.text() && a.slots == b.slots && a.isLeaving == b.isLeaving && a.startedAtMs == b.startedAtMs;
}
} // namespace

bool EndpointDirectory::put(const EndpointEntry &entry)
{
    const auto it = m_endpoints.find(entry.id);
    if (it == m_endpoints.end()) {
        m_endpoints.emplace(entry.id, Held{entry, false});
        return true;
    }
    if (entry.startedAtMs < it->second.entry.startedAtMs && entry.startedAtMs != 0) {
        return false;
    }
    it->second.isMissing = false;
    const bool isChange = !servesAlike(it->second.entry, entry);
    it->second.entry = entry;
    return isChange;
}

bool EndpointDirectory::mayHaveLapsed(Instant now) const
{
    return m_isStoreAway || (m_storeBackAt && now < *m_storeBackAt + ReturnTime);
}

bool EndpointDirectory::remove(const EndpointId &id, Instant now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return false;
    }
    if (mayHaveLapsed(now) && !it->second.entry.isLeaving) {
        it->second.isMissing = true;
        return false;
    }
    m_endpoints.erase(it);
    return true;
}

bool EndpointDirectory::replaceAll(const std::vector<EndpointEntry> &entries, Instant now)
{
    bool isChange = false;
    std::set<EndpointId> present;
    for (const EndpointEntry &entry : entries) {
        present.insert(entry.id);
        isChange = put(entry) || isChange;
    }
    std::vector<EndpointId> gone;
    for (const auto &[id, held] : m_endpoints) {
        if (present.count(id) == 0) {
            gone.push_back(id);
        }
    }
    for (const EndpointId &id : gone) {
        isChange = remove(id, now) || isChange;
    }
    return isChange;
}

void EndpointDirectory::onStoreAway()
{
    m_isStoreAway = true;
}

void EndpointDirectory::onStoreBack(Instant now)
{
    if (m_isStoreAway) {
        m_isStoreAway = false;
        m_storeBackAt = now;
    }
}

bool EndpointDirectory::dropLapsed(Instant now)
{
    if (mayHaveLapsed(now)) {
        return false;
    }
    bool isChange = false;
    for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
        if (it->second.isMissing) {
            it = m_endpoints.erase(it);
            isChange = true;
        } else {
            ++it;
        }
    }
    return isChange;
}

const EndpointEntry *EndpointDirectory::find(const EndpointId &id) const
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second.entry;
}

std::vector<EndpointEntry> EndpointDirectory::all() const
{
    std::vector<EndpointEntry> entries;
    for (const auto &[id, held] : m_endpoints) {
        entries.push_back(held.entry);
    }
    return entries;
}

bool EndpointDirectory::isEmpty() const
{
    return m_endpoints.empty();
}

} // namespace flamingo

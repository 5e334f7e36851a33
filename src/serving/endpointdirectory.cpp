#include "serving/endpointdirectory.h"

#include <set>

namespace flamingo
{

namespace
{
bool hasSameRouting(const EndpointEntry &a, const EndpointEntry &b)
{
    return a.pool == b.pool && a.address.text() == b.address.text() && a.slots == b.slots && a.isLeaving == b.isLeaving && a.version == b.version
           && a.startedAtMs == b.startedAtMs;
}
} // namespace

bool EndpointDirectory::put(const EndpointEntry &entry)
{
    const auto it = m_endpoints.find(entry.id);
    const bool isKnown = it != m_endpoints.end();
    if (isKnown && entry.startedAtMs < it->second.entry.startedAtMs && entry.startedAtMs != 0) {
        return false;
    }
    EndpointEntry routed = entry;
    routed.isLeaving = entry.isLeaving || isMarkedLeaving(entry);
    const bool isChange = !isKnown || !hasSameRouting(it->second.entry, routed);
    m_endpoints[entry.id] = KnownEndpoint{routed, entry.isLeaving, false};
    return isChange;
}

bool EndpointDirectory::markLeaving(const EndpointId &id, std::int64_t startedAtMs, Instant now)
{
    m_leavingNotices[id] = {startedAtMs, now};
    const auto it = m_endpoints.find(id);
    const bool isChange = it != m_endpoints.end() && !it->second.entry.isLeaving && isMarkedLeaving(it->second.entry);
    if (isChange) {
        it->second.entry.isLeaving = true;
    }
    return isChange;
}

bool EndpointDirectory::isMarkedLeaving(const EndpointEntry &entry) const
{
    const auto it = m_leavingNotices.find(entry.id);
    return it != m_leavingNotices.end() && it->second.startedAtMs == entry.startedAtMs;
}

bool EndpointDirectory::mayHaveExpired(Instant now) const
{
    return m_isStoreUnreachable || (m_storeReachableAt && now < *m_storeReachableAt + ReregistrationTime);
}

bool EndpointDirectory::remove(const EndpointId &id, Instant now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return false;
    }
    if (mayHaveExpired(now) && !it->second.isRegisteredLeaving) {
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
    std::vector<EndpointId> unlisted;
    for (const auto &[id, known] : m_endpoints) {
        if (present.count(id) == 0) {
            unlisted.push_back(id);
        }
    }
    for (const EndpointId &id : unlisted) {
        isChange = remove(id, now) || isChange;
    }
    return isChange;
}

void EndpointDirectory::onStoreUnreachable()
{
    m_isStoreUnreachable = true;
}

void EndpointDirectory::onStoreReachable(Instant now)
{
    if (m_isStoreUnreachable) {
        m_isStoreUnreachable = false;
        m_storeReachableAt = now;
    }
}

bool EndpointDirectory::removeExpiredNotices(Instant now)
{
    bool isChange = false;
    for (auto it = m_leavingNotices.begin(); it != m_leavingNotices.end();) {
        if (now - it->second.receivedAt < LeavingNoticeLifetime) {
            ++it;
            continue;
        }
        const auto known = m_endpoints.find(it->first);
        if (known != m_endpoints.end() && known->second.entry.isLeaving != known->second.isRegisteredLeaving) {
            known->second.entry.isLeaving = known->second.isRegisteredLeaving;
            isChange = true;
        }
        it = m_leavingNotices.erase(it);
    }
    return isChange;
}

bool EndpointDirectory::removeExpired(Instant now)
{
    bool isChange = removeExpiredNotices(now);
    if (mayHaveExpired(now)) {
        return isChange;
    }
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
    for (const auto &[id, known] : m_endpoints) {
        entries.push_back(known.entry);
    }
    return entries;
}

bool EndpointDirectory::isEmpty() const
{
    return m_endpoints.empty();
}

} // namespace flamingo

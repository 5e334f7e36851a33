#include "instance/versionconfirmer.h"

#include "platform/recordcodec.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
/// The caller waits, and what isn't confirmed in this time is refused.
constexpr Milliseconds MaxCallTime{400};
/// The store answers at once; it isn't to wait for changes.
constexpr Milliseconds WatchWait{1};
} // namespace

VersionConfirmer::VersionConfirmer(asio::io_context &context, platform::PlatformStore &store)
    : m_store(store)
    , m_timer(context)
{
}

void VersionConfirmer::confirm(platform::Revision after, Handler onVersions)
{
    m_waiting.push_back({after, std::move(onVersions)});
    if (m_asked.empty()) {
        ask();
    }
}

void VersionConfirmer::ask()
{
    m_asked = std::exchange(m_waiting, {});
    if (m_asked.empty()) {
        return;
    }
    const auto earliest = std::min_element(m_asked.begin(), m_asked.end(), [](const Question &a, const Question &b) { return a.after < b.after; });
    const std::uint64_t callNumber = ++m_callNumber;
    m_timer.expires_after(MaxCallTime);
    m_timer.async_wait([this, callNumber](const asio::error_code &ec) {
        if (!ec) {
            finish(callNumber, std::nullopt);
        }
    });
    m_store.watch(
        platform::EndpointPrefix, earliest->after, WatchWait, [this, callNumber](const tl::expected<platform::StoreChanges, platform::StoreFailure> &changes) {
            if (!changes) {
                finish(callNumber, std::nullopt);
                return;
            }
            Versions versions;
            for (const platform::StoreItem &item : changes->items) {
                if (const auto entry = item.revision == 0 ? std::nullopt : platform::decodeEndpoint(item.key, item.data)) {
                    versions[entry->pool].insert(entry->version);
                }
            }
            finish(callNumber, versions);
        });
}

void VersionConfirmer::finish(std::uint64_t callNumber, const std::optional<Versions> &versions)
{
    if (callNumber != m_callNumber || m_asked.empty()) {
        return;
    }
    m_timer.cancel();
    const std::vector<Question> answered = std::exchange(m_asked, {});
    ask();
    for (const Question &it : answered) {
        it.onVersions(versions);
    }
}

} // namespace flamingo

#pragma once

#include "core/ids.h"
#include "platform/platformstore.h"
#include "serving/endpointentry.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace flamingo
{

/// Asks the store which software versions endpoints have registered with since a revision. Questions that come while a call is under way
/// share the next one, so that each is answered by a call which began after it.
class VersionConfirmer
{
public:
    using Versions = std::map<PoolId, std::set<SoftwareVersion>>;
    /// The handler gets nothing if the store doesn't tell in time, or has dropped that part of its history.
    using Handler = std::function<void(const std::optional<Versions> &)>;

    VersionConfirmer(asio::io_context &context, platform::PlatformStore &store);

    void confirm(platform::Revision after, Handler onVersions);

private:
    struct Question {
        platform::Revision after = 0;
        Handler onVersions;
    };

    void ask();
    void finish(std::uint64_t callNumber, const std::optional<Versions> &versions);

    platform::PlatformStore &m_store;
    asio::steady_timer m_timer;
    std::vector<Question> m_waiting; ///< For the next call.
    std::vector<Question> m_asked; ///< With the call under way.
    std::uint64_t m_callNumber = 0;
};

} // namespace flamingo

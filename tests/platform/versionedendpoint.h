#pragma once

#include "platform/scriptedendpoint.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flamingo
{

/// An endpoint of one software version. It begins streams with two events, whose data is the version, and ends those that are resumed.
class VersionedEndpoint
{
public:
    /// Those that break off close the connection after the first two events.
    VersionedEndpoint(std::string version, bool breaksOff)
        : m_version(std::move(version))
        , m_breaksOff(breaksOff)
        , m_endpoint([this](ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) { respond(connection, request); })
    {
    }

    const std::string &version() const
    {
        return m_version;
    }

    const ScriptedEndpoint &endpoint() const
    {
        return m_endpoint;
    }

    bool hasReceived(const std::string &attemptId) const
    {
        const auto requests = m_endpoint.requests();
        return std::any_of(requests.begin(), requests.end(), [&](const ReceivedRequest &it) { return it.head.fields.value("X-Attempt-Id") == attemptId; });
    }

private:
    /// Longer than the callers of the tests stay.
    static constexpr Milliseconds UnresumedTime{1500};

    void respond(ScriptedEndpoint::Connection &connection, const ReceivedRequest &request) const
    {
        const std::string head = ScriptedEndpoint::responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        const auto events = [this](int first) {
            return ScriptedEndpoint::chunk(ScriptedEndpoint::event(first, m_version)) + ScriptedEndpoint::chunk(ScriptedEndpoint::event(first + 1, m_version));
        };
        if (request.head.fields.value("Last-Event-Id") == "2") {
            connection.write(head + events(3) + "0\r\n\r\n");
            return;
        }
        connection.write(head + events(1));
        if (m_breaksOff) {
            connection.closeLater(Milliseconds(20));
        } else {
            connection.writeLater(UnresumedTime, events(3) + "0\r\n\r\n");
        }
    }

    std::string m_version;
    bool m_breaksOff;
    ScriptedEndpoint m_endpoint;
};

/// The versions of the endpoints that received a request; more than one if its response was joined.
inline std::set<std::string> versionsThatReceived(const std::vector<std::unique_ptr<VersionedEndpoint>> &endpoints, const std::string &attemptId)
{
    std::set<std::string> versions;
    for (const auto &it : endpoints) {
        if (it->hasReceived(attemptId)) {
            versions.insert(it->version());
        }
    }
    return versions;
}

} // namespace flamingo

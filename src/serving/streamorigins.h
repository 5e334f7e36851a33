#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/requestmetadata.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace flamingo
{

/// Where a stream began. It may go on only at endpoints of this pool and version.
struct StreamOrigin {
    PoolId pool;
    SoftwareVersion version;

    friend bool operator==(const StreamOrigin &a, const StreamOrigin &b)
    {
        return a.pool == b.pool && a.version == b.version;
    }
};

/// Where streams began, by the attempts of their callers. The oldest ones are forgotten. It does no I/O.
class StreamOrigins
{
public:
    /// An attempt that is noted again has been sent to another endpoint before its first event.
    void note(const RequestId &attempt, const StreamOrigin &origin, Instant now);

    /// Where the stream began, if that is known.
    std::optional<StreamOrigin> find(const RequestId &attempt) const;

    std::size_t size() const;

private:
    struct Note {
        RequestId attempt;
        Instant at;
    };

    void forgetOldest();

    struct NotedOrigin {
        StreamOrigin origin;
        std::size_t notes = 0; ///< Of this attempt in m_notes.
    };

    std::unordered_map<std::string, NotedOrigin> m_origins; ///< By attempt.
    std::deque<Note> m_notes; ///< All notes, the oldest first. An attempt is forgotten with its last one.
};

} // namespace flamingo

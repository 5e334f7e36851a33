#include "serving/streamorigins.h"

#include "serving/softwareversions.h"

namespace flamingo
{

namespace
{
constexpr std::size_t MaxNotes = 20000;
/// Attempts with longer ids aren't noted, so that callers can't make the notes large. The ids of the platform have 16 characters.
constexpr std::size_t MaxIdBytes = 128;
constexpr Milliseconds NoteLifetime = 2 * SoftwareVersions::MaxStreamLifetime;
} // namespace

void StreamOrigins::note(const RequestId &attempt, const StreamOrigin &origin, Instant now)
{
    if (attempt.value().empty() || attempt.value().size() > MaxIdBytes || origin.version.value().size() > MaxIdBytes) {
        return;
    }
    NotedOrigin &noted = m_origins[attempt.value()];
    noted.origin = origin;
    ++noted.notes;
    m_notes.push_back({attempt, now});
    // The note just made is never too old, so this ends before none is left.
    while (m_notes.size() > MaxNotes || now - m_notes.front().at > NoteLifetime) {
        forgetOldest();
    }
}

std::optional<StreamOrigin> StreamOrigins::find(const RequestId &attempt) const
{
    const auto it = m_origins.find(attempt.value());
    return it == m_origins.end() ? std::nullopt : std::optional<StreamOrigin>(it->second.origin);
}

std::size_t StreamOrigins::size() const
{
    return m_origins.size();
}

void StreamOrigins::forgetOldest()
{
    const auto it = m_origins.find(m_notes.front().attempt.value());
    if (--it->second.notes == 0) {
        m_origins.erase(it);
    }
    m_notes.pop_front();
}

} // namespace flamingo

#pragma once

#include "core/time.h"
#include "serving/requestmetadata.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace flamingo
{

/// The turns of an archive that wait to be uploaded. The oldest go first, so that none stays on the archives' disks for long. Turns
/// that the store has rejected together are tried one by one, and one that it rejects alone is set aside for a while, so that it
/// doesn't hold up the others.
class UploadQueue
{
public:
    /// Adds a turn that is uploaded from the given time on; does nothing if it is there already.
    void add(const RequestId &id, Instant receivedAt, Instant dueAt);
    void remove(const RequestId &id);

    /// The turns to upload now, the oldest first. A turn that has to be uploaded alone comes without others. With isUrgent, turns
    /// count as due at once.
    std::vector<RequestId> nextTurns(Instant now, bool isUrgent) const;

    /// The store has rejected these turns, which were written together.
    void onRejected(const std::vector<RequestId> &ids, Instant now);

    /// The number of turns that the store has rejected and that haven't been uploaded since then.
    std::size_t setAsideCount() const;

private:
    struct Waiting {
        Instant receivedAt;
        Instant dueAt;
        bool isAlone = false;
        bool isSetAside = false;
    };

    std::unordered_map<RequestId, Waiting> m_turns;
};

} // namespace flamingo

#pragma once

#include "http/memoryaccount.h"

#include <memory>
#include <string>

namespace flamingo
{

/// The body of a request as it is sent to endpoints: what the caller sent, after the history of its conversation. All attempts share
/// one copy, and the memory counts until the last of them has released it.
class ForwardedBody
{
public:
    /// Takes the caller's body, which memory accounts for. If the turn will be recorded, room for the record's copies is needed as
    /// well. Returns false if there is none; the request must be refused then.
    bool set(std::string input, std::shared_ptr<MemoryHolder> memory, bool isRecorded);

    /// Returns false if there is no room for the history.
    bool prependHistory(const std::string &history);

    std::shared_ptr<const std::string> bytes() const;

    /// What the caller sent. It is moved out if no attempt uses the body any more.
    std::string takeInput();

    void clear();

private:
    struct Held {
        std::string bytes;
        std::shared_ptr<MemoryHolder> memory;
    };

    std::shared_ptr<Held> m_held;
    std::size_t m_historyBytes = 0;
};

} // namespace flamingo

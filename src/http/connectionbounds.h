#pragma once

#include "core/time.h"
#include "http/memoryaccount.h"
#include "http/messagehead.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace flamingo
{

/// What was given up because memory or descriptors are short.
enum class ShedEvent {
    RequestRefused, ///< It has not run.
    RequestClosed, ///< An incomplete request without progress.
    ResponseCutOff, ///< The caller didn't read it.
    ConnectionRefused,
    ConnectionClosed, ///< It was idle, or stopped inside a request.
};

/// What the connections of one listening address may take up together.
struct ConnectionBounds {
    MemoryAccount *memory = nullptr; ///< Not bounded without an account.
    /// Each connection takes one, and each request in progress another one, for its endpoint; 0 for no bound.
    std::size_t maxDescriptors = 0;
    /// Returns the fields of a refusal of the request with this head, which may be incomplete.
    std::function<HeaderFields(const MessageHead &head)> refusalFields;
    std::function<void(ShedEvent event)> onShed;

    HeaderFields fieldsFor(const MessageHead &head) const;
    void report(ShedEvent event) const;
};

/// What a connection is doing.
struct ConnectionActivity {
    enum class State { Idle, ReceivingRequest, Other };

    State state = State::Other;
    Instant since; ///< Of the end of the last response, or of the request's last progress.
};

/// Chooses the connection to close when descriptors are short: the one that has been idle longest, and if none is idle, the one on
/// which a request has made no progress for longest. Returns its index, or nothing if none may be closed.
std::optional<std::size_t> chooseConnectionToClose(const std::vector<ConnectionActivity> &connections, Instant now);

/// The descriptors left to callers and their requests of all that a process may open; 0 (no bound) for 0.
std::size_t callerDescriptors(std::size_t maxDescriptors);

} // namespace flamingo

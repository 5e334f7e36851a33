#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo
{

/// Version that the store assigns to a key with each write; 0 if the key is absent.
using StoreVersion = std::uint64_t;

/// An operation on the platform's key-value store. Decision code, which does no I/O, asks for it and gets a StoreReply.
struct StoreOperation {
    enum class Kind { Read, Write, Delete };

    std::uint64_t id = 0; ///< Repeated in the reply.
    Kind kind = Kind::Read;
    std::string key;
    std::string value;
    StoreVersion expectedVersion = 0; ///< A write takes effect only if the key has this version.
};

/// Result of a StoreOperation.
struct StoreReply {
    enum class Status {
        Done,
        Conflict, ///< The key had another version; nothing was written.
        Absent,
        Unknown, ///< No answer came; a write may have taken effect.
    };

    std::uint64_t id = 0;
    Status status = Status::Unknown;
    StoreVersion version = 0;
    std::string value;
};

/// A key and its value.
struct StoreValue {
    std::string key;
    std::string value;
};

/// Result of a watch.
struct WatchResult {
    bool isOk = false;
    std::uint64_t revision = 0; ///< Store revision from which the next watch continues.
    std::vector<StoreValue> values; ///< Keys that have been written; deletions are left out.
};

} // namespace flamingo

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo
{

/// The version that the store gives a key with each write; 0 stands for an absent key.
using StoreVersion = std::uint64_t;

/// A call to the platform's key-value service that decision code asks for.
struct StoreOperation {
    enum class Kind { Read, Write, Delete };

    std::uint64_t id = 0; ///< Given back with the reply.
    Kind kind = Kind::Read;
    std::string key;
    std::string value;
    StoreVersion expectedVersion = 0; ///< A write takes effect only on this version.
};

/// What became of a StoreOperation.
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

/// A key with what it holds.
struct StoreValue {
    std::string key;
    std::string value;
};

/// What a watch has seen.
struct WatchResult {
    bool isOk = false;
    std::uint64_t revision = 0; ///< Where the next watch goes on.
    std::vector<StoreValue> values; ///< Keys that have been written; removals are left out.
};

} // namespace flamingo

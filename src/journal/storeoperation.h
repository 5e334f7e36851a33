#pragma once

#include <cstdint>
#include <string>

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

} // namespace flamingo

#pragma once

#include "core/codec.h"
#include "core/ids.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace flamingo
{

/// The newest scheduling decisions of each program, for operators who ask why a call was handled as it was.
class DecisionLog
{
public:
    void add(const ProgramId &program, std::int64_t nowMs, std::string decision);
    void forget(const ProgramId &program);

    /// A JSON list of objects with at_ms and decision, oldest first.
    nlohmann::json decisions(const ProgramId &program) const;

private:
    struct Entry {
        std::int64_t atMs;
        std::string decision;
    };

    std::unordered_map<ProgramId, std::deque<Entry>> m_entries;
};

} // namespace flamingo

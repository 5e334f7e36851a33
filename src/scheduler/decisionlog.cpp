#include "scheduler/decisionlog.h"

namespace flamingo
{

namespace
{
constexpr std::size_t MaxDecisionsPerProgram = 48;
}

void DecisionLog::add(const ProgramId &program, std::int64_t nowMs, std::string decision)
{
    auto &entries = m_entries[program];
    entries.push_back({nowMs, std::move(decision)});
    if (entries.size() > MaxDecisionsPerProgram) {
        entries.pop_front();
    }
}

void DecisionLog::forget(const ProgramId &program)
{
    m_entries.erase(program);
}

nlohmann::json DecisionLog::decisions(const ProgramId &program) const
{
    nlohmann::json list = nlohmann::json::array();
    const auto it = m_entries.find(program);
    if (it != m_entries.end()) {
        for (const Entry &entry : it->second) {
            list.push_back({{"at_ms", entry.atMs}, {"decision", entry.decision}});
        }
    }
    return list;
}

} // namespace flamingo

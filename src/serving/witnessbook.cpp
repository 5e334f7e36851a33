#include "serving/witnessbook.h"

#include <iterator>

namespace flamingo
{

WitnessBook::Result WitnessBook::note(const SpendLimit &limit, Instant now)
{
    const Key key(limit.program, limit.holder);
    const auto it = m_notes.find(key);
    const bool isNewTerm = it == m_notes.end() || it->second.limit.term < limit.term;
    if (isNewTerm) {
        if (!limit.isFirst) {
            return Result::Refused;
        }
        m_notes[key] = {limit, false, now};
        return Result::Noted;
    }
    Note &note = it->second;
    if (note.isFenced || limit.term < note.limit.term) {
        return Result::Refused;
    }
    if (limit.sequence > note.limit.sequence) {
        note.limit = limit;
    }
    note.usedAt = now;
    return Result::Noted;
}

std::optional<FencedLimit> WitnessBook::fence(const ProgramId &program, const IncarnationId &holder, WitnessTerm term, Instant now)
{
    const auto it = m_notes.find(Key(program, holder));
    if (it == m_notes.end() || it->second.limit.term != term) {
        return std::nullopt;
    }
    it->second.isFenced = true;
    it->second.usedAt = now;
    return FencedLimit{it->second.limit.limit, it->second.limit.unreserved};
}

void WitnessBook::removeIdle(Milliseconds idle, Instant now)
{
    for (auto it = m_notes.begin(); it != m_notes.end();) {
        it = now - it->second.usedAt > idle ? m_notes.erase(it) : std::next(it);
    }
}

std::size_t WitnessBook::size() const
{
    return m_notes.size();
}

} // namespace flamingo

#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "serving/incarnationid.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace flamingo
{

/// One time that a holder has chosen a witness for a program. A later choice of the same holder has a higher number.
using WitnessTerm = StrongId<struct WitnessTermTag, std::uint64_t>;

/// What a holder asks its witness to note before it uses more of a program's budget.
struct SpendLimit {
    ProgramId program;
    IncarnationId holder;
    WitnessTerm term;
    std::uint64_t sequence = 0; ///< Increases with each limit of a term. A limit that arrives late is ignored.
    bool isFirst = false; ///< The first limit of its term. Others are refused where the witness has no note of the term.
    Tokens limit; ///< The holder's turns use no more than this in total, those included that have ended.
    Tokens unreserved; ///< The part of the limit that no turn had reserved yet.
};

/// The last limit of a holder that can't get another one.
struct FencedLimit {
    Tokens limit;
    Tokens unreserved;
};

/// The notes of an instance that is the witness of other holders of budgets. A holder's turns use no more than the limit that its
/// witness has noted, so when the holder is gone the rest of its grant is free again. A holder that was fenced gets no higher limit,
/// also when it was only frozen or cut off and comes back.
class WitnessBook
{
public:
    enum class Result {
        Noted,
        Refused, ///< The holder was fenced, or there is no note of this term: the holder has to choose a witness anew.
    };

    Result note(const SpendLimit &limit, Instant now);

    /// Refuses any further limit of the term, and returns the last one. Returns nothing if there is no note of the term.
    std::optional<FencedLimit> fence(const ProgramId &program, const IncarnationId &holder, WitnessTerm term, Instant now);

    /// Forgets notes that were not used for longer than this.
    void removeIdle(Milliseconds idle, Instant now);

    std::size_t size() const;

private:
    struct Note {
        SpendLimit limit;
        bool isFenced = false;
        Instant usedAt;
    };
    using Key = std::pair<ProgramId, IncarnationId>;

    std::map<Key, Note> m_notes;
};

/// Result of asking a witness to note a limit.
enum class NoteResult {
    Noted,
    Refused, ///< Compare WitnessBook::Result.
    Unreachable, ///< No response: the limit may have been noted.
};

/// Access to the witnesses of this instance's grants. Handlers are called once, possibly before the function returns.
class WitnessNetwork
{
public:
    virtual ~WitnessNetwork() = default;

    /// An instance that can be reached and is fit as the program's witness, if there is one.
    virtual std::optional<IncarnationId> choose(const ProgramId &program) = 0;

    /// Asks the witness to note a limit.
    virtual void note(const IncarnationId &witness, const SpendLimit &limit, std::function<void(NoteResult)> onResult) = 0;

    /// Asks the witness of another holder to fence it. The handler gets nothing if there is no response or no note.
    virtual void fence(const IncarnationId &witness,
                       const ProgramId &program,
                       const IncarnationId &holder,
                       WitnessTerm term,
                       std::function<void(std::optional<FencedLimit>)> onResult) = 0;
};

} // namespace flamingo

#pragma once

#include "core/ids.h"
#include "serving/incarnationid.h"
#include "serving/witnessbook.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingo
{

/// The witness that a holder has named, without which it uses no more of its grant.
struct NamedWitness {
    IncarnationId incarnation;
    WitnessTerm term;
};

/// A program's token budget as stored: the total, and what each holder (an incarnation of an instance) has been granted of
/// it. Where a holder is gone, its witness tells how much of the grant may be spent; without a witness all of it counts as spent.
struct BudgetRecord {
    Tokens budget;
    std::map<IncarnationId, Tokens> granted;
    Tokens provisionalReserve; ///< Held back, since the preferred home may have granted itself as much without having recorded it.
    std::map<IncarnationId, NamedWitness> witnesses; ///< By holder.
    std::set<IncarnationId> closed; ///< Holders whose grants are what they may have spent: they have ended, or were fenced.
    /// A holder may still use tokens that are granted again or held for nobody, up to the one turn's maximum by which a budget may be
    /// exceeded. That is possible only once.
    bool mayExceed = false;

    /// Tokens that are neither granted nor held back.
    Tokens remaining() const;

    /// Tokens granted to the holder; 0 if there are none.
    Tokens grantOf(const IncarnationId &holder) const;

    /// Ends a holder that its witness has fenced: what lies beyond its last limit is free again.
    void close(const IncarnationId &holder, const FencedLimit &limit);

    /// For the log: what each holder was granted, and by which witness it could be fenced.
    std::string describeHolders() const;

    std::string encode() const;
    static std::optional<BudgetRecord> decode(const std::string &bytes);
};

/// Result of writing a budget record on condition that its revision is unchanged.
struct SwapResult {
    enum class Status {
        Done,
        Conflict, ///< The record has another revision, returned with its bytes; revision 0 means that there is no record.
        Refused, ///< Nothing was written.
        Unknown, ///< No response: the record may have been written, or may be written later.
    };

    Status status = Status::Unknown;
    std::uint64_t revision = 0;
    std::string bytes;
};

/// One state of a program's record in the store.
struct BudgetRevision {
    ProgramId program;
    std::uint64_t revision = 0;
};

/// Storage of budget records.
class BudgetStore
{
public:
    virtual ~BudgetStore() = default;
    virtual void
    compareAndSwap(const ProgramId &program, std::uint64_t expectedRevision, const std::string &bytes, std::function<void(SwapResult)> onResult) = 0;

    /// Removes the records that have not changed since these revisions.
    virtual void remove(const std::vector<BudgetRevision> &records) = 0;
};

} // namespace flamingo

#pragma once

#include "serving/budgetaccount.h"
#include "serving/witnessbook.h"

#include <functional>

namespace flamingo
{

/// Has the witnesses of a program's other holders fence them, so that what these haven't used can be granted again.
class HolderFencing
{
public:
    struct Hooks {
        std::function<BudgetAccount *(const ProgramId &program)> findAccount; ///< The account of a program whose fences are in progress.
        std::function<bool(const IncarnationId &holder)> isReachable;
        std::function<void(BudgetAccount &account)> onEnded; ///< All fences of the account that were begun have ended, by whatever result.
    };

    /// Without a network of witnesses nobody is fenced.
    HolderFencing(WitnessNetwork *network, Hooks hooks);

    /// Begins to fence the other holders that have a witness and weren't tried just before; those that can be reached only if
    /// they are included. Returns false if there is nobody to fence. Otherwise the account is busy until onEnded.
    bool fence(BudgetAccount &account, bool areReachableIncluded);

private:
    void fenceHolder(const BudgetAccount &account, const IncarnationId &holder, const NamedWitness &witness);
    void onResponse(const ProgramId &program, const IncarnationId &holder, WitnessTerm term, const std::optional<FencedLimit> &limit);

    WitnessNetwork *m_network;
    Hooks m_hooks;
};

} // namespace flamingo

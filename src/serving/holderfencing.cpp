#include "serving/holderfencing.h"

#include "core/log.h"

#include <utility>
#include <vector>

namespace flamingo
{

namespace
{
constexpr Milliseconds FenceRetryTime{500};

bool wasJustTried(const BudgetAccount &account, const IncarnationId &holder, WitnessTerm term)
{
    const auto it = account.fences.find(holder);
    if (it == account.fences.end() || it->second.term != term) {
        return false;
    }
    return it->second.limit || account.lastUsedAt - it->second.triedAt < FenceRetryTime;
}
} // namespace

HolderFencing::HolderFencing(WitnessNetwork *network, Hooks hooks)
    : m_network(network)
    , m_hooks(std::move(hooks))
{
}

bool HolderFencing::fence(BudgetAccount &account, bool areReachableIncluded)
{
    if (!m_network) {
        return false;
    }
    std::vector<std::pair<IncarnationId, NamedWitness>> fenced;
    for (const auto &[holder, witness] : account.record.witnesses) {
        const bool isSpared = holder == account.self() || (!areReachableIncluded && !account.isForwarded && m_hooks.isReachable(holder));
        if (!isSpared && !wasJustTried(account, holder, witness.term)) {
            fenced.emplace_back(holder, witness);
        }
    }
    account.fencesInProgress = static_cast<int>(fenced.size());
    for (const auto &[holder, witness] : fenced) {
        account.fences[holder] = {witness.term, std::nullopt, account.lastUsedAt};
    }
    for (const auto &[holder, witness] : fenced) {
        fenceHolder(account, holder, witness);
    }
    return !fenced.empty();
}

void HolderFencing::fenceHolder(const BudgetAccount &account, const IncarnationId &holder, const NamedWitness &witness)
{
    const auto onResponse = [this, program = account.program, holder, term = witness.term](const std::optional<FencedLimit> &limit) {
        this->onResponse(program, holder, term, limit);
    };
    m_network->fence(witness.incarnation, account.program, holder, witness.term, onResponse);
}

void HolderFencing::onResponse(const ProgramId &program, const IncarnationId &holder, WitnessTerm term, const std::optional<FencedLimit> &limit)
{
    BudgetAccount *account = m_hooks.findAccount(program);
    if (!account) {
        return;
    }
    HolderFence &fence = account->fences[holder];
    if (fence.term == term) {
        fence.limit = limit;
    }
    logChange("holder-fenced", "program={} holder={} limit={}", program.value(), holder.value(), limit ? limit->limit.value() : -1);
    --account->fencesInProgress;
    if (account->fencesInProgress == 0) {
        m_hooks.onEnded(*account);
    }
}

} // namespace flamingo

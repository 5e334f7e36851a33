#include "lasting/sweeper.h"

#include "core/log.h"
#include "lasting/memberentry.h"
#include "serving/budgetledger.h"
#include "serving/departure.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace flamingo
{

namespace
{
/// Each key takes two of the entries of a transaction.
constexpr std::size_t MaxConditionalRemovals = 15;
} // namespace

struct Sweeper::Pass {
    Instant now;
    std::vector<FleetMember> members;
    std::map<std::string, platform::Revision> signs; ///< By member.
};

Sweeper::Sweeper(platform::PlatformStore &store, FleetSweep::Settings settings)
    : m_store(store)
    , m_decisions(settings)
{
}

void Sweeper::sweep(Instant now, Milliseconds retention)
{
    m_decisions.setRetention(retention);
    if (std::exchange(m_isSweeping, true)) {
        return;
    }
    readMembers(m_store, [this, now](std::optional<std::vector<FleetMember>> members) {
        if (!members) {
            m_isSweeping = false;
            return;
        }
        readSigns(std::make_shared<Pass>(Pass{now, std::move(*members), {}}));
    });
}

void Sweeper::readSigns(const PassPtr &pass)
{
    const auto onPage = [pass](const platform::StorePage &page) {
        for (const platform::StoreItem &item : page.items) {
            pass->signs[item.key.substr(std::string_view(FleetSweep::SignPrefix).size())] = item.revision;
        }
    };
    m_store.listAll(FleetSweep::SignPrefix, onPage, [this, pass](bool isWhole) {
        m_isSweeping = isWhole;
        if (isWhole) {
            judgeMembers(pass);
            sweepBudgets(pass);
        }
    });
}

void Sweeper::judgeMembers(const PassPtr &pass)
{
    std::set<HolderId> lives;
    for (const FleetMember &member : pass->members) {
        lives.insert(member.holder);
    }
    m_decisions.beginPass(std::move(lives), pass->now);
    for (const FleetMember &member : pass->members) {
        const auto it = pass->signs.find(member.id.value());
        const platform::Revision revision = it == pass->signs.end() ? 0 : it->second;
        const auto verdict = m_decisions.judge(member, revision, pass->now);
        if (verdict != FleetSweep::Verdict::Present) {
            change(member, verdict, revision);
        }
    }
}

void Sweeper::change(const FleetMember &member, FleetSweep::Verdict verdict, std::uint64_t signRevision)
{
    const std::string sign = FleetSweep::SignPrefix + member.id.value();
    platform::StoreTransaction transaction;
    transaction.expected.push_back({sign, signRevision});
    if (verdict == FleetSweep::Verdict::Gone) {
        FleetMember gone = member;
        gone.isGone = true;
        transaction.writes.push_back({Fleet::KeyPrefix + member.id.value(), gone.encode()});
    } else {
        transaction.removals = {Fleet::KeyPrefix + member.id.value(), sign, Departure::KeyPrefix + member.id.value()};
    }
    logChange("member-swept", "id={} verdict={}", member.id.value(), verdict == FleetSweep::Verdict::Gone ? "gone" : "forgotten");
    commit(transaction, "member");
}

void Sweeper::sweepBudgets(const PassPtr &pass)
{
    const auto onPage = [this, pass](const platform::StorePage &page) {
        std::vector<platform::KeyExpectation> over;
        for (const platform::StoreItem &item : page.items) {
            const auto record = BudgetRecord::decode(item.data);
            const auto isOver = [&](const auto &grant) { return m_decisions.isLifeOver(grant.first, pass->now); };
            // All are asked, so that each life's time without a listing counts from its first pass on.
            const auto n = record ? std::count_if(record->granted.begin(), record->granted.end(), isOver) : 0;
            if (n > 0 && static_cast<std::size_t>(n) == record->granted.size()) {
                over.push_back({item.key, item.revision});
            }
        }
        removeUnchanged(over);
    };
    m_store.listAll(PlatformBudgetStore::KeyPrefix, onPage, [this, pass](bool) { sweepTurns(pass); });
}

void Sweeper::sweepTurns(const PassPtr &pass)
{
    const auto onPage = [this, pass](const platform::StorePage &page) {
        for (const platform::StoreItem &item : page.items) {
            const auto index = TurnIndex::decode(item.data);
            if (index && m_decisions.isLifeOver(index->writer, pass->now)) {
                removeTurns({item.key, item.revision}, *index);
            }
        }
    };
    m_store.listAll(TurnIndex::KeyPrefix, onPage, [this](bool) { m_isSweeping = false; });
}

void Sweeper::removeUnchanged(const std::vector<platform::KeyExpectation> &keys)
{
    for (std::size_t begin = 0; begin < keys.size(); begin += MaxConditionalRemovals) {
        platform::StoreTransaction transaction;
        for (std::size_t n = begin; n < std::min(begin + MaxConditionalRemovals, keys.size()); ++n) {
            transaction.expected.push_back(keys[n]);
            transaction.removals.push_back(keys[n].key);
        }
        commit(transaction, "budgets");
    }
}

// Turns never change, so the index alone is the condition.
void Sweeper::removeTurns(const platform::KeyExpectation &key, const TurnIndex &index)
{
    platform::StoreTransaction transaction;
    transaction.expected.push_back(key);
    transaction.removals = index.keys();
    transaction.removals.push_back(key.key);
    commit(transaction, "turns");
}

void Sweeper::commit(const platform::StoreTransaction &transaction, const char *what)
{
    m_store.commit(transaction, [what, n = transaction.removals.size()](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        const char *outcome = !result ? "failed" : result->isDone ? "done" : "changed-meanwhile";
        logChange("swept", "what={} keys={} outcome={} reason=\"{}\"", what, n, outcome, result ? std::string() : result.error().detail);
    });
}

} // namespace flamingo

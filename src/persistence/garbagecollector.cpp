#include "persistence/garbagecollector.h"

#include "core/log.h"
#include "persistence/memberregistration.h"
#include "persistence/platformbudgetstore.h"
#include "serving/budgetledger.h"
#include "serving/cleanshutdownmarker.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace flamingo
{

namespace
{
/// Each key takes two entries of a transaction, the condition and the removal.
constexpr std::size_t MaxConditionalRemovalsPerTransaction = 15;
constexpr std::size_t MaxRemovalsPerTransaction = 30;
/// A conversation has ended when it wasn't renewed for this many times its retention.
constexpr int RetentionFactor = 2;
} // namespace

struct GarbageCollector::Pass {
    Instant now;
    std::vector<MemberRecord> members;
    std::map<std::string, platform::Revision> heartbeats; ///< Revision of the heartbeat key, by member.
    ConversationRenewals renewals;
};

GarbageCollector::GarbageCollector(platform::PlatformStore &store, LivenessTracker::Settings settings)
    : m_store(store)
    , m_liveness(settings)
{
}

void GarbageCollector::collect(Instant now, Milliseconds retention)
{
    m_liveness.raiseRetention(retention);
    m_retention = std::max(m_retention, retention);
    if (std::exchange(m_isCollecting, true)) {
        return;
    }
    readMembers(m_store, [this, now](std::optional<std::vector<MemberRecord>> members) {
        if (!members) {
            m_isCollecting = false;
            return;
        }
        readHeartbeats(std::make_shared<Pass>(Pass{now, std::move(*members), {}, {}}));
    });
}

void GarbageCollector::readHeartbeats(const PassPtr &pass)
{
    const auto onPage = [pass](const platform::StorePage &page) {
        for (const platform::StoreItem &item : page.items) {
            pass->heartbeats[item.key.substr(std::string_view(LivenessTracker::HeartbeatPrefix).size())] = item.revision;
        }
    };
    m_store.listAll(LivenessTracker::HeartbeatPrefix, onPage, [this, pass](bool isWhole) {
        m_isCollecting = isWhole;
        if (isWhole) {
            assessMembers(pass);
            collectBudgets(pass);
        }
    });
}

void GarbageCollector::assessMembers(const PassPtr &pass)
{
    std::set<IncarnationId> incarnations;
    for (const MemberRecord &member : pass->members) {
        incarnations.insert(member.incarnation);
    }
    m_liveness.beginPass(std::move(incarnations), pass->now);
    for (const MemberRecord &member : pass->members) {
        const auto it = pass->heartbeats.find(member.id.value());
        const platform::Revision revision = it == pass->heartbeats.end() ? 0 : it->second;
        const auto action = m_liveness.assess(member, revision, pass->now);
        if (action != LivenessTracker::Action::Keep) {
            applyAction(member, action, revision);
        }
    }
}

void GarbageCollector::applyAction(const MemberRecord &member, LivenessTracker::Action action, std::uint64_t heartbeatRevision)
{
    const std::string heartbeatKey = LivenessTracker::HeartbeatPrefix + member.id.value();
    platform::StoreTransaction transaction;
    transaction.preconditions.push_back({heartbeatKey, heartbeatRevision});
    if (action == LivenessTracker::Action::MarkDead) {
        MemberRecord dead = member;
        dead.isPresumedDead = true;
        transaction.writes.push_back({MemberDirectory::KeyPrefix + member.id.value(), dead.encode()});
    } else {
        transaction.removals = {MemberDirectory::KeyPrefix + member.id.value(), heartbeatKey, CleanShutdownMarker::KeyPrefix + member.id.value()};
    }
    logChange("member-expired", "id={} action={}", member.id.value(), action == LivenessTracker::Action::MarkDead ? "mark-dead" : "remove");
    commit(transaction, "member");
}

void GarbageCollector::collectBudgets(const PassPtr &pass)
{
    const auto onPage = [this, pass](const platform::StorePage &page) {
        std::vector<platform::RevisionPrecondition> abandoned;
        for (const platform::StoreItem &item : page.items) {
            const auto record = BudgetRecord::decode(item.data);
            const auto isHolderDead = [&](const auto &grant) { return m_liveness.isIncarnationDead(grant.first, pass->now); };
            // Every holder is checked, so that the time for which it is missing from the list counts from the first pass.
            const auto n = record ? std::count_if(record->granted.begin(), record->granted.end(), isHolderDead) : 0;
            if (n > 0 && static_cast<std::size_t>(n) == record->granted.size()) {
                abandoned.push_back({item.key, item.revision});
            }
        }
        removeIfUnchanged(abandoned);
    };
    m_store.listAll(PlatformBudgetStore::KeyPrefix, onPage, [this, pass](bool) { collectTurns(pass); });
}

void GarbageCollector::collectTurns(const PassPtr &pass)
{
    readRenewals(m_store, [this, pass](std::optional<ConversationRenewals> renewals) {
        m_isCollecting = renewals.has_value();
        if (renewals) {
            pass->renewals = std::move(*renewals);
            collectTurnsOfDeadWriters(pass);
        }
    });
}

void GarbageCollector::collectTurnsOfDeadWriters(const PassPtr &pass)
{
    const auto onPage = [this, pass](const platform::StorePage &page) {
        for (const platform::StoreItem &item : page.items) {
            const auto index = TurnIndex::decode(item.data);
            if (!index || !m_liveness.isIncarnationDead(index->writer, pass->now)) {
                continue;
            }
            // Each conversation is looked at, so that the time without renewals counts from the first pass.
            const auto n = std::count_if(index->conversations.begin(), index->conversations.end(), [&](const StoredId &it) { return hasEnded(it, *pass); });
            if (static_cast<std::size_t>(n) == index->conversations.size()) {
                removeTurns({item.key, item.revision}, *index, pass->renewals);
            }
        }
    };
    m_store.listAll(TurnIndex::KeyPrefix, onPage, [this, pass](bool) { finishPass(pass); });
}

bool GarbageCollector::hasEnded(const StoredId &conversation, const Pass &pass)
{
    const auto it = pass.renewals.find(conversation);
    if (it == pass.renewals.end()) {
        return true;
    }
    ObservedRenewal &observed = m_observedRenewals[conversation];
    if (observed.revision != it->second.revision) {
        observed.revision = it->second.revision;
        observed.since = pass.now;
    }
    observed.seenAt = pass.now;
    return pass.now - observed.since >= std::max(m_retention, it->second.retention) * RetentionFactor;
}

void GarbageCollector::finishPass(const PassPtr &pass)
{
    for (auto it = m_observedRenewals.begin(); it != m_observedRenewals.end();) {
        it = it->second.seenAt == pass->now ? std::next(it) : m_observedRenewals.erase(it);
    }
    m_isCollecting = false;
}

void GarbageCollector::removeIfUnchanged(const std::vector<platform::RevisionPrecondition> &keys)
{
    for (std::size_t begin = 0; begin < keys.size(); begin += MaxConditionalRemovalsPerTransaction) {
        platform::StoreTransaction transaction;
        for (std::size_t n = begin; n < std::min(begin + MaxConditionalRemovalsPerTransaction, keys.size()); ++n) {
            transaction.preconditions.push_back(keys[n]);
            transaction.removals.push_back(keys[n].key);
        }
        commit(transaction, "budgets");
    }
}

// Turns are immutable, so a condition on the index alone is enough. The index goes last, so that a failure in between leaves it.
void GarbageCollector::removeTurns(const platform::RevisionPrecondition &key, const TurnIndex &index, const ConversationRenewals &renewals)
{
    std::vector<std::string> keys = index.keys();
    for (const StoredId &turn : index.turns) {
        if (renewals.count(turn) != 0) {
            keys.push_back(renewalKey(turn));
        }
    }
    keys.push_back(key.key);
    for (std::size_t begin = 0; begin < keys.size(); begin += MaxRemovalsPerTransaction) {
        const std::size_t end = std::min(begin + MaxRemovalsPerTransaction, keys.size());
        platform::StoreTransaction transaction;
        transaction.preconditions.push_back(key);
        transaction.removals.assign(keys.begin() + static_cast<std::ptrdiff_t>(begin), keys.begin() + static_cast<std::ptrdiff_t>(end));
        commit(transaction, "turns");
    }
}

void GarbageCollector::commit(const platform::StoreTransaction &transaction, const char *kind)
{
    m_store.commit(transaction, [kind, n = transaction.removals.size()](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        const char *outcome = !result ? "failed" : result->isCommitted ? "done" : "changed-meanwhile";
        logChange("garbage-collected", "kind={} keys={} outcome={} reason=\"{}\"", kind, n, outcome, result ? std::string() : result.error().detail);
    });
}

} // namespace flamingo

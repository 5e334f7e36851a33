#include "serving/turncache.h"

#include "core/log.h"

#include <algorithm>

namespace flamingo
{

namespace
{
/// Estimated memory of a turn besides its texts.
constexpr std::size_t RecordOverheadBytes = 300;

std::size_t memoryCost(const TurnRecord &turn)
{
    return turn.input.size() + turn.output.size() + RecordOverheadBytes;
}
} // namespace

/// A chain that is being assembled from cached turns and store lookups.
struct TurnCache::ChainLoad {
    RequestId lastTurn;
    std::optional<WorkspaceId> workspace; ///< Of the caller.
    Instant startedAt;
    std::map<RequestId, TurnRecordPtr> turns;
    std::size_t pending = 0;
    TurnLookup::Status status = TurnLookup::Status::Found;
    std::function<void(TurnChain)> onChain;
    bool hasAncestors = false;
};

TurnCache::TurnCache(TurnStore &store, std::size_t maxBytes)
    : m_store(store)
    , m_maxBytes(maxBytes)
{
}

void TurnCache::loadChain(const RequestId &previous, const std::optional<WorkspaceId> &workspace, Instant now, std::function<void(TurnChain)> onChain)
{
    auto load = std::make_shared<ChainLoad>();
    load->lastTurn = previous;
    load->workspace = workspace;
    load->startedAt = now;
    load->onChain = std::move(onChain);
    if (const TurnRecordPtr turn = find(previous)) {
        load->turns.emplace(previous, turn);
        loadAncestors(load);
        return;
    }
    m_store.load(previous, [this, load](const TurnLookup &lookup) {
        if (lookup.status != TurnLookup::Status::Found) {
            load->status = lookup.status;
            finish(*load);
            return;
        }
        insert({lookup.turn, std::nullopt});
        load->turns.emplace(load->lastTurn, lookup.turn);
        loadAncestors(load);
    });
}

// The last turn lists all its ancestors, so that those that are not cached can be looked up concurrently.
void TurnCache::loadAncestors(const std::shared_ptr<ChainLoad> &load)
{
    const TurnRecord &lastTurn = *load->turns.at(load->lastTurn);
    if (lastTurn.workspace != load->workspace) {
        finish(*load);
        return;
    }
    std::vector<RequestId> missing;
    for (const RequestId &id : lastTurn.ancestors) {
        if (const TurnRecordPtr turn = find(id)) {
            load->turns.emplace(id, turn);
        } else {
            missing.push_back(id);
        }
    }
    load->pending = missing.size();
    if (missing.empty()) {
        finish(*load);
        return;
    }
    for (const RequestId &id : missing) {
        m_store.load(id, [this, load, id](const TurnLookup &lookup) {
            if (lookup.status == TurnLookup::Status::Found) {
                insert({lookup.turn, std::nullopt});
                load->turns.emplace(id, lookup.turn);
            } else {
                // The last turn exists, so a missing ancestor means a replica that lags or fails, not a wrong id.
                load->status = TurnLookup::Status::Unknown;
            }
            if (--load->pending == 0) {
                finish(*load);
            }
        });
    }
}

void TurnCache::finish(ChainLoad &load) const
{
    // All turns of a chain belong to one workspace, unless another one's has been stored under the same id since.
    const auto isForeign = [&](const auto &it) { return it.second->workspace != load.workspace; };
    if (load.status == TurnLookup::Status::Found && std::any_of(load.turns.begin(), load.turns.end(), isForeign)) {
        logChange("turn-of-other-workspace", "turn={} workspace={}", load.lastTurn.value(), load.workspace ? load.workspace->value() : "-");
        load.status = TurnLookup::Status::Absent;
    }
    TurnChain chain;
    chain.status = load.status;
    if (chain.status == TurnLookup::Status::Found) {
        chain.ids = load.turns.at(load.lastTurn)->ancestors;
        chain.ids.push_back(load.lastTurn);
        chain.sinceRenewal = timeSinceRenewal(load.lastTurn, load.startedAt);
        chain.shortestRetention = load.turns.at(load.lastTurn)->retention;
        for (const RequestId &id : chain.ids) {
            const TurnRecord &turn = *load.turns.at(id);
            chain.shortestRetention = std::min(chain.shortestRetention, turn.retention);
            chain.text += turn.input;
            chain.text += turn.output;
        }
    }
    load.onChain(std::move(chain));
}

TurnRecordPtr TurnCache::find(const RequestId &id) const
{
    const auto it = m_turns.find(id);
    return it == m_turns.end() ? nullptr : it->second.record;
}

std::optional<Milliseconds> TurnCache::timeSinceRenewal(const RequestId &turn, Instant now) const
{
    const auto it = m_turns.find(turn);
    if (it == m_turns.end() || !it->second.endedAt) {
        return std::nullopt;
    }
    const auto sinceEnd = std::chrono::duration_cast<Milliseconds>(now - *it->second.endedAt);
    return it->second.record->sinceRenewal + sinceEnd;
}

void TurnCache::add(const TurnRecordPtr &turn, Instant now)
{
    insert({turn, now});
}

void TurnCache::insert(CachedTurn turn)
{
    const TurnRecordPtr record = turn.record;
    if (!m_turns.emplace(record->id, std::move(turn)).second) {
        return;
    }
    m_evictionOrder.push_back(record->id);
    m_sizeBytes += memoryCost(*record);
    while (m_sizeBytes > m_maxBytes && !m_evictionOrder.empty()) {
        const auto it = m_turns.find(m_evictionOrder.front());
        m_sizeBytes -= memoryCost(*it->second.record);
        m_turns.erase(it);
        m_evictionOrder.pop_front();
    }
}

std::size_t TurnCache::sizeBytes() const
{
    return m_sizeBytes;
}

} // namespace flamingo

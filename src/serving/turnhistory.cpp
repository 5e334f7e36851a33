#include "serving/turnhistory.h"

#include "core/codec.h"

#include <nlohmann/json.hpp>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

/// What a turn takes in memory besides its texts.
constexpr std::size_t RecordOverheadBytes = 300;

std::size_t sizeOf(const TurnRecord &turn)
{
    return turn.input.size() + turn.output.size() + RecordOverheadBytes;
}
} // namespace

std::string TurnRecord::encode() const
{
    const Json json = {{"before", ancestors}, {"in", toBinary(input)}, {"out", toBinary(output)}, {"keep", retention.count()}};
    return toCbor(json);
}

std::optional<TurnRecord> TurnRecord::decode(const RequestId &id, const std::string &bytes)
{
    try {
        const Json json = Json::from_cbor(bytes);
        TurnRecord turn;
        turn.id = id;
        turn.ancestors = json.at("before").get<std::vector<RequestId>>();
        turn.input = fromBinary(json.at("in"));
        turn.output = fromBinary(json.at("out"));
        turn.retention = Milliseconds(json.at("keep").get<std::int64_t>());
        return turn;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

/// A chain that is being put together from memory and look-ups.
struct TurnHistory::Assembly {
    RequestId last;
    std::map<RequestId, TurnRecordPtr> turns;
    std::size_t pending = 0;
    TurnLookup::Status worst = TurnLookup::Status::Found;
    std::function<void(TurnChain)> onChain;
    bool hasAncestors = false;
};

TurnHistory::TurnHistory(TurnStore &store, std::size_t maxMemoryBytes)
    : m_store(store)
    , m_maxMemoryBytes(maxMemoryBytes)
{
}

void TurnHistory::chain(const RequestId &previous, std::function<void(TurnChain)> onChain)
{
    auto assembly = std::make_shared<Assembly>();
    assembly->last = previous;
    assembly->onChain = std::move(onChain);
    if (const TurnRecordPtr turn = inMemory(previous)) {
        assembly->turns.emplace(previous, turn);
        assemble(assembly);
        return;
    }
    m_store.load(previous, [this, assembly](const TurnLookup &lookup) {
        if (lookup.status != TurnLookup::Status::Found) {
            assembly->worst = lookup.status;
            deliver(*assembly);
            return;
        }
        remember(lookup.turn);
        assembly->turns.emplace(assembly->last, lookup.turn);
        assemble(assembly);
    });
}

// The last turn names all that precede it, so that the missing ones are looked up side by side.
void TurnHistory::assemble(const std::shared_ptr<Assembly> &assembly)
{
    std::vector<RequestId> missing;
    for (const RequestId &id : assembly->turns.at(assembly->last)->ancestors) {
        if (const TurnRecordPtr turn = inMemory(id)) {
            assembly->turns.emplace(id, turn);
        } else {
            missing.push_back(id);
        }
    }
    assembly->pending = missing.size();
    if (missing.empty()) {
        deliver(*assembly);
        return;
    }
    for (const RequestId &id : missing) {
        m_store.load(id, [this, assembly, id](const TurnLookup &lookup) {
            if (lookup.status == TurnLookup::Status::Found) {
                remember(lookup.turn);
                assembly->turns.emplace(id, lookup.turn);
            } else {
                // The last turn exists, so a missing ancestor is a place that lags or fails, not a wrong name.
                assembly->worst = TurnLookup::Status::Unsure;
            }
            if (--assembly->pending == 0) {
                deliver(*assembly);
            }
        });
    }
}

void TurnHistory::deliver(Assembly &assembly)
{
    TurnChain chain;
    chain.status = assembly.worst;
    if (chain.status == TurnLookup::Status::Found) {
        chain.ids = assembly.turns.at(assembly.last)->ancestors;
        chain.ids.push_back(assembly.last);
        for (const RequestId &id : chain.ids) {
            const TurnRecord &turn = *assembly.turns.at(id);
            chain.text += turn.input;
            chain.text += turn.output;
        }
    }
    assembly.onChain(std::move(chain));
}

TurnRecordPtr TurnHistory::inMemory(const RequestId &id) const
{
    const auto it = m_turns.find(id);
    return it == m_turns.end() ? nullptr : it->second;
}

void TurnHistory::remember(const TurnRecordPtr &turn)
{
    if (!m_turns.emplace(turn->id, turn).second) {
        return;
    }
    m_order.push_back(turn->id);
    m_memoryBytes += sizeOf(*turn);
    while (m_memoryBytes > m_maxMemoryBytes && !m_order.empty()) {
        const auto it = m_turns.find(m_order.front());
        m_memoryBytes -= sizeOf(*it->second);
        m_turns.erase(it);
        m_order.pop_front();
    }
}

std::size_t TurnHistory::memoryBytes() const
{
    return m_memoryBytes;
}

} // namespace flamingo

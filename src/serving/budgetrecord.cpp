#include "serving/budgetrecord.h"

#include "core/decoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;
} // namespace

Tokens BudgetRecord::remaining() const
{
    Tokens rest = budget - provisionalReserve;
    for (const auto &[holder, tokens] : granted) {
        rest = rest - tokens;
    }
    return rest;
}

Tokens BudgetRecord::grantOf(const IncarnationId &holder) const
{
    const auto it = granted.find(holder);
    return it == granted.end() ? Tokens(0) : it->second;
}

// A holder that was only frozen may still use what no turn had reserved of its limit. That is at most one turn's maximum, so it need
// not be held back where the budget is exceeded by nothing else.
void BudgetRecord::close(const IncarnationId &holder, const FencedLimit &limit)
{
    const Tokens excess = mayExceed ? Tokens(0) : limit.unreserved;
    mayExceed = mayExceed || excess.value() > 0;
    granted[holder] = std::min(granted[holder], limit.limit - excess);
    witnesses.erase(holder);
    closed.insert(holder);
}

std::string BudgetRecord::describeHolders() const
{
    std::string text;
    for (const auto &[holder, tokens] : granted) {
        const auto witness = witnesses.find(holder);
        const std::string by = witness == witnesses.end() ? "none" : witness->second.incarnation.value();
        const bool isClosed = closed.count(holder) != 0;
        text += fmt::format("{}{}={}/{}", text.empty() ? "" : ",", holder.value(), tokens.value(), isClosed ? "closed" : by);
    }
    return text;
}

std::string BudgetRecord::encode() const
{
    Json json = {{"budget", budget}, {"granted", Json::object()}, {"reserve", provisionalReserve}};
    for (const auto &[holder, tokens] : granted) {
        json["granted"][holder.value()] = tokens;
    }
    for (const auto &[holder, witness] : witnesses) {
        json["witnesses"][holder.value()] = {{"by", witness.incarnation}, {"term", witness.term}};
    }
    if (!closed.empty()) {
        json["closed"] = closed;
    }
    if (mayExceed) {
        json["may-exceed"] = true;
    }
    return json.dump();
}

std::optional<BudgetRecord> BudgetRecord::decode(const std::string &bytes)
{
    return decodeJson<BudgetRecord>("budget", bytes, [](const Json &json) {
        BudgetRecord record;
        record.budget = json.at("budget").get<Tokens>();
        record.provisionalReserve = json.value("reserve", Tokens(0));
        for (const auto &[holder, tokens] : json.at("granted").get_ref<const Json::object_t &>()) {
            record.granted[IncarnationId(holder)] = tokens.get<Tokens>();
        }
        if (json.contains("witnesses")) {
            for (const auto &[holder, witness] : json.at("witnesses").get_ref<const Json::object_t &>()) {
                record.witnesses[IncarnationId(holder)] = {witness.at("by").get<IncarnationId>(), witness.at("term").get<WitnessTerm>()};
            }
        }
        if (json.contains("closed")) {
            record.closed = json.at("closed").get<std::set<IncarnationId>>();
        }
        record.mayExceed = json.value("may-exceed", record.provisionalReserve.value() > 0);
        return record;
    });
}

} // namespace flamingo

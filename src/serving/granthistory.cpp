#include "serving/granthistory.h"

#include "core/decoding.h"

#include <fmt/format.h>

#include <utility>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

/// A process that is restarted more often than this in a row names only the latest ones.
constexpr std::size_t MaxEarlierIncarnations = 8;

Json toJson(const GrantHistory::Entry &entry)
{
    return {{"holder", entry.incarnation}, {"period", entry.period}, {"marks", entry.marksGrants}};
}

GrantHistory::Entry entryFromJson(const Json &json)
{
    return {json.at("holder").get<IncarnationId>(), json.at("period").get<GrantPeriod>(), json.at("marks").get<bool>()};
}
} // namespace

// Header values hold no line feeds, so it differs from the ids of all callers.
RequestId GrantHistory::Entry::markId() const
{
    return RequestId(fmt::format("\nprovisional-grants/{}/{}", incarnation.value(), period.value()));
}

GrantHistory GrantHistory::next(const IncarnationId &incarnation) const
{
    GrantHistory history;
    history.own.incarnation = incarnation;
    history.earlier.push_back(own);
    history.earlier.insert(history.earlier.end(), earlier.begin(), earlier.end());
    history.isComplete = isComplete && history.earlier.size() <= MaxEarlierIncarnations;
    if (!history.isComplete) {
        history.earlier.clear();
    }
    return history;
}

GrantHistory GrantHistory::afterUnknown(const IncarnationId &incarnation)
{
    GrantHistory history;
    history.own.incarnation = incarnation;
    history.isComplete = false;
    return history;
}

std::string GrantHistory::encode() const
{
    Json json = {{"own", toJson(own)}, {"earlier", Json::array()}, {"complete", isComplete}};
    for (const Entry &entry : earlier) {
        json["earlier"].push_back(toJson(entry));
    }
    return json.dump();
}

std::optional<GrantHistory> GrantHistory::decode(const std::string &bytes)
{
    return decodeJson<GrantHistory>("grant-history", bytes, [](const Json &json) {
        GrantHistory history;
        history.own = entryFromJson(json.at("own"));
        for (const Json &entry : json.at("earlier").get_ref<const Json::array_t &>()) {
            history.earlier.push_back(entryFromJson(entry));
        }
        history.isComplete = json.at("complete").get<bool>();
        return history;
    });
}

} // namespace flamingo

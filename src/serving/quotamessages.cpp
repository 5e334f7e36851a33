#include "serving/quotamessages.h"

#include "core/decoding.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

/// Far above any limit; keeps sums of decoded counts inside the range of int.
constexpr int MaxCount = 10'000'000;

int decodeCount(const Json &json)
{
    return static_cast<int>(std::clamp<std::int64_t>(json.get<std::int64_t>(), 0, MaxCount));
}

/// Not a number counts as 0.
double decodeAmount(const Json &json)
{
    const auto amount = json.get<double>();
    return amount > 0 ? std::min<double>(amount, MaxCount) : 0;
}

Json encodePartition(const QuotaPartition &partition, const QuotaLimit &limit)
{
    return {{"workspace", partition.workspace},
            {"partition", partition.index},
            {"version", limit.version},
            {"rate", limit.requestsPerSecond},
            {"burst", limit.burst}};
}

std::optional<QuotaPartition> decodePartition(const Json &json)
{
    const auto index = json.at("partition").get<std::int64_t>();
    if (index < 0 || index >= QuotaPartitionCount) {
        return std::nullopt;
    }
    return QuotaPartition{json.at("workspace").get<WorkspaceId>(), static_cast<int>(index)};
}

QuotaLimit decodeLimit(const Json &json)
{
    return {json.at("version").get<ConfigurationVersion>(), decodeAmount(json.at("rate")), decodeAmount(json.at("burst"))};
}
} // namespace

ProgramId QuotaPartition::key() const
{
    return ProgramId(fmt::format("quota/{}/{}", index, workspace.value()));
}

std::string QuotaLeaseRequest::encode() const
{
    Json json = encodePartition(partition, limit);
    json["home"] = home;
    json["needed"] = needed;
    json["wanted"] = wanted;
    Json &returned = json["unused"] = Json::array();
    for (const ReturnedGrant &it : unused) {
        returned.push_back({it.slot, it.count});
    }
    return toCbor(json);
}

std::optional<QuotaLeaseRequest> QuotaLeaseRequest::decode(const std::string &bytes)
{
    return decodeCbor<QuotaLeaseRequest>("quota-lease-request", bytes, [](const Json &json) -> std::optional<QuotaLeaseRequest> {
        const auto partition = decodePartition(json);
        if (!partition) {
            return std::nullopt;
        }
        QuotaLeaseRequest request;
        request.home = json.at("home").get<IncarnationId>();
        request.partition = *partition;
        request.limit = decodeLimit(json);
        request.needed = decodeCount(json.at("needed"));
        request.wanted = decodeCount(json.at("wanted"));
        for (const Json &it : json.at("unused").get_ref<const Json::array_t &>()) {
            request.unused.push_back({it.at(0).get<std::int64_t>(), decodeCount(it.at(1))});
        }
        return request;
    });
}

std::string QuotaLease::encode() const
{
    return toCbor({{"outcome", static_cast<int>(outcome)}, {"granted", granted}, {"slot", slot}, {"retry-after-ms", retryAfter.count()}});
}

std::optional<QuotaLease> QuotaLease::decode(const std::string &bytes)
{
    return decodeCbor<QuotaLease>("quota-lease", bytes, [](const Json &json) -> std::optional<QuotaLease> {
        const auto outcome = json.at("outcome").get<std::int64_t>();
        if (outcome < 0 || outcome > static_cast<int>(Outcome::NotReady)) {
            return std::nullopt;
        }
        return QuotaLease{static_cast<Outcome>(outcome),
                          decodeCount(json.at("granted")),
                          json.at("slot").get<std::int64_t>(),
                          Milliseconds(decodeCount(json.at("retry-after-ms")))};
    });
}

std::string QuotaTransfer::encode() const
{
    Json encoded = Json::array();
    for (const TransferredPartition &it : partitions) {
        Json json = encodePartition(it.partition, it.limit);
        Json &grants = json["grants"] = Json::array();
        for (const AgedGrant &grant : it.grants) {
            grants.push_back({grant.age.count(), grant.count});
        }
        encoded.push_back(std::move(json));
    }
    return toCbor({{"from", from}, {"to", to}, {"partitions", std::move(encoded)}});
}

std::optional<QuotaTransfer> QuotaTransfer::decode(const std::string &bytes)
{
    return decodeCbor<QuotaTransfer>("quota-transfer", bytes, [](const Json &json) -> std::optional<QuotaTransfer> {
        QuotaTransfer transfer{json.at("from").get<IncarnationId>(), json.at("to").get<IncarnationId>(), {}};
        for (const Json &it : json.at("partitions").get_ref<const Json::array_t &>()) {
            const auto partition = decodePartition(it);
            if (!partition) {
                return std::nullopt;
            }
            TransferredPartition transferred{*partition, decodeLimit(it), {}};
            for (const Json &grant : it.at("grants").get_ref<const Json::array_t &>()) {
                // Nothing older than a day matters, and sums of such ages stay inside the range of clocks.
                constexpr std::int64_t MaxAgeMs = 86'400'000;
                transferred.grants.push_back({Milliseconds(std::clamp(grant.at(0).get<std::int64_t>(), -MaxAgeMs, MaxAgeMs)), decodeCount(grant.at(1))});
            }
            transfer.partitions.push_back(std::move(transferred));
        }
        return transfer;
    });
}

} // namespace flamingo

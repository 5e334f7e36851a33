#include "serving/witnessmessages.h"

#include "core/decoding.h"

#include <nlohmann/json.hpp>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

Json encodeLimit(const SpendLimit &limit)
{
    return {{"program", limit.program},
            {"holder", limit.holder},
            {"term", limit.term},
            {"sequence", limit.sequence},
            {"first", limit.isFirst},
            {"limit", limit.limit},
            {"unreserved", limit.unreserved}};
}

SpendLimit decodeLimit(const Json &json)
{
    SpendLimit limit;
    limit.program = json.at("program").get<ProgramId>();
    limit.holder = json.at("holder").get<IncarnationId>();
    limit.term = json.at("term").get<WitnessTerm>();
    limit.sequence = json.at("sequence").get<std::uint64_t>();
    limit.isFirst = json.at("first").get<bool>();
    limit.limit = json.at("limit").get<Tokens>();
    limit.unreserved = json.at("unreserved").get<Tokens>();
    return limit;
}
} // namespace

std::string NoteLimitsRequest::encode() const
{
    Json encoded = Json::array();
    for (const SpendLimit &limit : limits) {
        encoded.push_back(encodeLimit(limit));
    }
    return toCbor({{"witness", witness}, {"limits", std::move(encoded)}});
}

std::optional<NoteLimitsRequest> NoteLimitsRequest::decode(const std::string &bytes)
{
    return decodeCbor<NoteLimitsRequest>("note-limits-request", bytes, [](const Json &json) {
        NoteLimitsRequest request;
        request.witness = json.at("witness").get<IncarnationId>();
        for (const Json &limit : json.at("limits").get_ref<const Json::array_t &>()) {
            request.limits.push_back(decodeLimit(limit));
        }
        return request;
    });
}

std::string NoteLimitsResponse::encode() const
{
    return toCbor({{"noted", areNoted}});
}

std::optional<NoteLimitsResponse> NoteLimitsResponse::decode(const std::string &bytes)
{
    return decodeCbor<NoteLimitsResponse>(
        "note-limits-response", bytes, [](const Json &json) { return NoteLimitsResponse{json.at("noted").get<std::vector<bool>>()}; });
}

std::string FenceRequest::encode() const
{
    return toCbor({{"witness", witness}, {"program", program}, {"holder", holder}, {"term", term}});
}

std::optional<FenceRequest> FenceRequest::decode(const std::string &bytes)
{
    return decodeCbor<FenceRequest>("fence-request", bytes, [](const Json &json) {
        return FenceRequest{json.at("witness").get<IncarnationId>(),
                            json.at("program").get<ProgramId>(),
                            json.at("holder").get<IncarnationId>(),
                            json.at("term").get<WitnessTerm>()};
    });
}

std::string FenceResponse::encode() const
{
    Json json = Json::object();
    if (limit) {
        json = {{"limit", limit->limit}, {"unreserved", limit->unreserved}};
    }
    return toCbor(json);
}

std::optional<FenceResponse> FenceResponse::decode(const std::string &bytes)
{
    return decodeCbor<FenceResponse>("fence-response", bytes, [](const Json &json) {
        if (!json.contains("limit")) {
            return FenceResponse{};
        }
        return FenceResponse{FencedLimit{json.at("limit").get<Tokens>(), json.at("unreserved").get<Tokens>()}};
    });
}

} // namespace flamingo

#include "peerlink/messages.h"

#include "core/taggedvariant.h"

namespace flamingo
{

void to_json(nlohmann::json &json, const OwnedShard &owned)
{
    json = nlohmann::json::array({owned.shard, owned.fence});
}

void from_json(const nlohmann::json &json, OwnedShard &owned)
{
    owned.shard = json.at(0).get<ShardId>();
    owned.fence = json.at(1).get<FencingNumber>();
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartProgram, request, caller, agent, priority, budget, parent, program)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartProgramReply, request, program, isDurable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmitCall, request, caller, program, number, service, operation, input, maxTokens, mustNotRepeat, wantsDeltas, deadlineMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FetchAnswer, request, caller, program, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerDelta, request, offset, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerDone, request, program, number, outcome, digest, isDurable, endpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Refusal, request, kind, detail, retryAfterMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndProgram, request, caller, program, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndProgramReply, request, program, isDurable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExplainProgram, request, program)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Explanation, request, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Subscribe, role)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SchedulerReport, shards, fingerprint, isDraining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MembershipUpdate, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationUpdate, objects)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationDigest, bucketSums, isAnswer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestHandover, shard, to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardAvailable, shard)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EngineMemoryReport, endpoint, programs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndpointsLeaving, endpoints, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HandoverPending, shard)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StatusQuery, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StatusReply, request, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MembershipExchange, members, isAnswer)

void to_json(nlohmann::json &json, const DrainInstance &)
{
    json = nlohmann::json::object();
}

void from_json(const nlohmann::json &, DrainInstance &)
{
}

std::string encodeMessage(const PeerMessage &message)
{
    return toCbor(encodeTagged(message));
}

std::optional<PeerMessage> decodeMessage(const std::string &bytes)
{
    const auto json = fromCbor(bytes);
    if (!json) {
        return std::nullopt;
    }
    return decodeTagged<PeerMessage>(*json);
}

Refusal makeRefusal(RequestNumber request, const Error &error)
{
    Refusal refusal{request, errorInfo(error.kind).name, error.detail, std::nullopt};
    if (error.retryAfter) {
        refusal.retryAfterMs = error.retryAfter->count();
    }
    return refusal;
}

Error errorFromRefusal(const Refusal &refusal)
{
    Error error{errorKindFromName(refusal.kind).value_or(ErrorKind::OutcomeUnknown), refusal.detail, std::nullopt};
    if (refusal.retryAfterMs) {
        error.retryAfter = Milliseconds(*refusal.retryAfterMs);
    }
    return error;
}

} // namespace flamingo

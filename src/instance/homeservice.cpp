#include "instance/homeservice.h"

#include "core/codec.h"
#include "core/decoding.h"
#include "core/log.h"

#include <nlohmann/json.hpp>

#include <set>

namespace flamingo
{

namespace
{
using Json = nlohmann::json;

/// Longer than the home's own call to the store, which may be slow.
constexpr Milliseconds PeerResponseTimeout{900};
/// Number of homes that are tried one after the other.
constexpr std::size_t MaxHomeAttempts = 3;

ProgramId sessionKey(const ProgramId &program, const SessionId &session)
{
    return ProgramId(program.value() + '/' + session.value());
}

void writePrefix(Json &json, const std::optional<CachedPrefix> &prefix)
{
    if (prefix) {
        json["cached-at"] = prefix->endpoint;
        json["cached"] = prefix->tokens;
    }
}

std::optional<CachedPrefix> readPrefix(const Json &json)
{
    if (!json.contains("cached-at")) {
        return std::nullopt;
    }
    return CachedPrefix{json.at("cached-at").get<EndpointId>(), json.at("cached").get<Tokens>()};
}

void writeSession(Json &json, const std::optional<SessionId> &session)
{
    if (session) {
        json["session"] = *session;
    }
}

std::optional<SessionId> readSession(const Json &json)
{
    return json.contains("session") ? std::optional<SessionId>(json.at("session").get<SessionId>()) : std::nullopt;
}
} // namespace

std::string BeginTurnRequest::encode() const
{
    Json json = {{"program", program}, {"most", maxTokens}, {"referred", isForwarded}, {"versions", registryVersions}};
    writeSession(json, session);
    if (budget) {
        json["budget"] = *budget;
    }
    if (previousTurn) {
        json["previous"] = *previousTurn;
    }
    if (workspace) {
        json["workspace"] = *workspace;
    }
    return toCbor(json);
}

std::optional<BeginTurnRequest> BeginTurnRequest::decode(const std::string &bytes)
{
    return decodeCbor<BeginTurnRequest>("turn-begin", bytes, [](const Json &json) {
        BeginTurnRequest request;
        request.program = json.at("program").get<ProgramId>();
        request.maxTokens = json.at("most").get<Tokens>();
        request.session = readSession(json);
        request.registryVersions = json.at("versions").get<RegistryVersions>();
        request.isForwarded = json.at("referred").get<bool>();
        if (json.contains("budget")) {
            request.budget = json.at("budget").get<Tokens>();
        }
        if (json.contains("previous")) {
            request.previousTurn = json.at("previous").get<RequestId>();
        }
        if (json.contains("workspace")) {
            request.workspace = json.at("workspace").get<WorkspaceId>();
        }
        return request;
    });
}

std::string BeginTurnResponse::encode() const
{
    Json json = {{"verdict", static_cast<int>(verdict)},
                 {"lookup", static_cast<int>(history.status)},
                 {"ids", history.ids},
                 {"text", toBinary(history.text)},
                 {"kept", history.shortestRetention.count()},
                 {"holder", holder},
                 {"retry", retryAfter.count()},
                 {"versions", registryVersions}};
    if (history.sinceRenewal) {
        json["age"] = history.sinceRenewal->count();
    }
    writePrefix(json, cachedPrefix);
    return toCbor(json);
}

std::optional<BeginTurnResponse> BeginTurnResponse::decode(const std::string &bytes)
{
    return decodeCbor<BeginTurnResponse>("turn-grant", bytes, [](const Json &json) {
        BeginTurnResponse response;
        response.verdict = static_cast<BudgetVerdict>(json.at("verdict").get<int>());
        response.history.status = static_cast<TurnLookup::Status>(json.at("lookup").get<int>());
        response.history.ids = json.at("ids").get<std::vector<RequestId>>();
        response.history.text = fromBinary(json.at("text"));
        response.history.shortestRetention = Milliseconds(json.value("kept", std::int64_t(0)));
        if (json.contains("age")) {
            response.history.sinceRenewal = Milliseconds(json.at("age").get<std::int64_t>());
        }
        response.cachedPrefix = readPrefix(json);
        response.holder = json.at("holder").get<IncarnationId>();
        response.retryAfter = Milliseconds(json.value("retry", std::int64_t(0)));
        response.registryVersions = json.at("versions").get<RegistryVersions>();
        return response;
    });
}

std::string EndTurnRequest::encode() const
{
    Json json = {{"program", program}, {"reserved", reservedTokens}, {"used", usedTokens}};
    writeSession(json, session);
    writePrefix(json, cachedPrefix);
    if (turnRecord) {
        json["turn"] = turnRecord->id;
        json["record"] = toBinary(turnRecord->encode());
    }
    return toCbor(json);
}

std::optional<EndTurnRequest> EndTurnRequest::decode(const std::string &bytes)
{
    return decodeCbor<EndTurnRequest>("turn-end", bytes, [](const Json &json) {
        EndTurnRequest request;
        request.program = json.at("program").get<ProgramId>();
        request.reservedTokens = json.at("reserved").get<Tokens>();
        request.usedTokens = json.at("used").get<Tokens>();
        request.session = readSession(json);
        request.cachedPrefix = readPrefix(json);
        if (json.contains("turn")) {
            if (auto record = TurnRecord::decode(json.at("turn").get<RequestId>(), fromBinary(json.at("record")))) {
                request.turnRecord = std::make_shared<const TurnRecord>(std::move(*record));
            }
        }
        return request;
    });
}

HomeService::HomeService(BudgetLedger &budgets, TurnCache &turnCache, InstanceId self)
    : m_budgets(budgets)
    , m_turnCache(turnCache)
    , m_self(std::move(self))
{
}

void HomeService::beginTurn(const BeginTurnRequest &request, std::function<void(BeginTurnResponse)> onResponse)
{
    const auto onBudgetAnswer = [this, request, onResponse = std::move(onResponse)](const BudgetAnswer &answer) {
        BeginTurnResponse response;
        response.verdict = answer.verdict;
        response.holder = answer.holder;
        response.retryAfter = answer.retryAfter;
        response.home = m_self;
        response.cachedPrefix = findCachedPrefix(request);
        response.history.status = TurnLookup::Status::Found;
        if (answer.verdict != BudgetVerdict::Reserved || !request.previousTurn) {
            onResponse(std::move(response));
            return;
        }
        m_turnCache.loadChain(*request.previousTurn, request.workspace, std::chrono::steady_clock::now(), [response, onResponse](TurnChain chain) mutable {
            response.history = std::move(chain);
            onResponse(std::move(response));
        });
    };
    if (!request.budget) {
        onBudgetAnswer({BudgetVerdict::Reserved, {}, {}});
        return;
    }
    m_budgets.reserve({request.program, *request.budget, request.maxTokens, request.isForwarded}, std::chrono::steady_clock::now(), onBudgetAnswer);
}

void HomeService::endTurn(const EndTurnRequest &request)
{
    m_budgets.settle(request.program, request.reservedTokens, request.usedTokens, std::chrono::steady_clock::now());
    if (request.turnRecord) {
        m_turnCache.add(request.turnRecord, std::chrono::steady_clock::now());
    }
    if (request.cachedPrefix) {
        const PrefixCacheEntry entry{*request.cachedPrefix, std::chrono::steady_clock::now()};
        m_prefixCache[request.program] = entry;
        if (request.session) {
            m_prefixCache[sessionKey(request.program, *request.session)] = entry;
        }
    }
}

void HomeService::abandonTurn(const BeginTurnRequest &request, const BeginTurnResponse &response)
{
    if (request.budget && response.verdict == BudgetVerdict::Reserved) {
        m_budgets.settle(request.program, request.maxTokens, Tokens(0), std::chrono::steady_clock::now());
        logChange("turn-abandoned", "program={} tokens={}", request.program.value(), request.maxTokens.value());
    }
}

// A new session begins with the program's prompt so far, so the program's entry is used for it.
std::optional<CachedPrefix> HomeService::findCachedPrefix(const BeginTurnRequest &request) const
{
    const auto own = request.session ? m_prefixCache.find(sessionKey(request.program, *request.session)) : m_prefixCache.end();
    const auto it = own != m_prefixCache.end() ? own : m_prefixCache.find(request.program);
    return it == m_prefixCache.end() ? std::nullopt : std::optional<CachedPrefix>(it->second.prefix);
}

void HomeService::expireCachedPrefixes(Milliseconds maxIdle, Instant now)
{
    for (auto it = m_prefixCache.begin(); it != m_prefixCache.end();) {
        it = now - it->second.lastUsedAt > maxIdle ? m_prefixCache.erase(it) : std::next(it);
    }
}

struct HomeClient::PendingBegin {
    BeginTurnRequest request;
    std::function<void(BeginTurnResponse)> onResponse;
    std::vector<InstanceId> candidates;
    std::size_t nextCandidate = 0;
    std::set<InstanceId> askedHolders; ///< Instances that got the request; each gets it once for a shortage.
};

HomeClient::HomeClient(asio::io_context &context, MemberDirectory &members, HomeService &localHome, ConnectionPool &peerConnections, Hooks hooks)
    : m_context(context)
    , m_members(members)
    , m_localHome(localHome)
    , m_peerConnections(peerConnections)
    , m_hooks(std::move(hooks))
{
}

void HomeClient::beginTurn(const BeginTurnRequest &request, std::function<void(BeginTurnResponse)> onResponse)
{
    auto pending = std::make_shared<PendingBegin>();
    pending->request = request;
    pending->request.registryVersions = m_hooks.ownVersions();
    pending->onResponse = std::move(onResponse);
    pending->candidates = m_members.rankedHomes(request.program, std::chrono::steady_clock::now());
    tryNextHome(pending);
}

void HomeClient::tryNextHome(const std::shared_ptr<PendingBegin> &pending)
{
    if (pending->nextCandidate >= std::min(MaxHomeAttempts, pending->candidates.size())) {
        pending->onResponse({});
        return;
    }
    sendBegin(pending, pending->candidates[pending->nextCandidate++]);
}

void HomeClient::sendBegin(const std::shared_ptr<PendingBegin> &pending, const InstanceId &home)
{
    const MemberRecord *member = m_members.find(home);
    pending->askedHolders.insert(home);
    if (home == m_members.self() || !member) {
        m_localHome.beginTurn(pending->request, [this, pending](BeginTurnResponse response) { onBeginResponse(pending, std::move(response)); });
        return;
    }
    post(*member, BeginTurnPath, pending->request.encode(), [this, pending, home](const std::optional<std::string> &responseBody) {
        auto response = responseBody ? BeginTurnResponse::decode(*responseBody) : std::nullopt;
        if (!response) {
            m_members.recordFailure(home, std::chrono::steady_clock::now());
            logChange("home-unreachable", "program={} home={}", pending->request.program.value(), home.value());
            tryNextHome(pending);
            return;
        }
        m_members.recordSuccess(home);
        m_hooks.onPeerResponse(home);
        m_hooks.onPeerVersions(response->registryVersions);
        response->home = home;
        onBeginResponse(pending, std::move(*response));
    });
}

void HomeClient::onBeginResponse(const std::shared_ptr<PendingBegin> &pending, BeginTurnResponse response)
{
    const bool isHeldElsewhere = response.verdict == BudgetVerdict::HeldElsewhere;
    const auto holder = response.verdict == BudgetVerdict::Reserved ? std::nullopt : reachableHolder(response.holder);
    const bool mayHaveEnough = holder && (isHeldElsewhere ? !pending->request.isForwarded : pending->askedHolders.count(*holder) == 0);
    if (mayHaveEnough) {
        pending->request.isForwarded = true;
        sendBegin(pending, *holder);
        return;
    }
    if (isHeldElsewhere) {
        // This instance can't reach the holder, so the home takes what is left in the store.
        pending->request.isForwarded = true;
        sendBegin(pending, response.home);
        return;
    }
    pending->onResponse(std::move(response));
}

// The holder may be this instance itself.
std::optional<InstanceId> HomeClient::reachableHolder(const IncarnationId &holder) const
{
    const MemberRecord *self = m_members.find(m_members.self());
    if (self && self->incarnation == holder) {
        return self->id;
    }
    return m_members.reachableInstance(holder, std::chrono::steady_clock::now());
}

void HomeClient::endTurn(const InstanceId &home, const EndTurnRequest &request)
{
    const MemberRecord *member = m_members.find(home);
    if (home == m_members.self() || !member) {
        m_localHome.endTurn(request);
        return;
    }
    post(*member, EndTurnPath, request.encode(), [program = request.program, home](const std::optional<std::string> &responseBody) {
        if (!responseBody) {
            // The tokens stay reserved at the home, so the budget can only be under-used.
            logChange("end-turn-failed", "program={} home={}", program.value(), home.value());
        }
    });
}

void HomeClient::post(const MemberRecord &member, const char *path, std::string body, std::function<void(std::optional<std::string>)> onResponse)
{
    InternalRequest call;
    call.address = member.peerAddress;
    call.method = "POST";
    call.target = path;
    call.body = std::move(body);
    call.responseTimeout = PeerResponseTimeout;
    sendInternalRequest(m_context, m_peerConnections, std::move(call), [onResponse = std::move(onResponse)](std::optional<InternalResponse> response) {
        constexpr int StatusOk = 200;
        onResponse(response && response->status == StatusOk ? std::optional<std::string>(std::move(response->body)) : std::nullopt);
    });
}

} // namespace flamingo

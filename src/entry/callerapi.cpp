#include "entry/callerapi.h"

#include "core/codec.h"
#include "http/errorbody.h"
#include "membership/programshard.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace flamingo
{

namespace
{
constexpr const char *JsonType = "application/json";
constexpr std::int64_t MaxDeadlineMs = std::int64_t(3600) * 1000;
constexpr std::int64_t MaxAnswerTokens = 1000000;
constexpr std::size_t MaxNumberDigits = 9;
constexpr std::size_t MaxIdempotencyKeyBytes = 200;

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

Result<CallNumber> parseCallNumber(const std::string &text)
{
    const bool isNumber = !text.empty() && text.size() <= MaxNumberDigits && text.find_first_not_of("0123456789") == std::string::npos;
    if (!isNumber || std::stoul(text) == 0) {
        return failure(ErrorKind::MalformedRequest, "a call's number is a whole number above 0");
    }
    return CallNumber(static_cast<std::uint32_t>(std::stoul(text)));
}

Result<nlohmann::json> parseBody(const HttpExchange &exchange)
{
    auto json = parseJson(exchange.body());
    if (!json || !json->is_object()) {
        return failure(ErrorKind::MalformedRequest, "the body is not a JSON object");
    }
    return std::move(*json);
}

Result<void> checkFieldsAreKnown(const nlohmann::json &body, const std::vector<std::string> &known)
{
    for (auto it = body.begin(); it != body.end(); ++it) {
        if (std::find(known.begin(), known.end(), it.key()) == known.end()) {
            return failure(ErrorKind::MalformedRequest, fmt::format("{} is not a known field", it.key()));
        }
    }
    return {};
}

Result<std::int64_t> parseNumberField(const nlohmann::json &body, const std::string &name, std::int64_t fallback, std::int64_t max)
{
    const auto it = body.find(name);
    if (it == body.end()) {
        return fallback;
    }
    if (!it->is_number_integer() || it->get<std::int64_t>() < 1 || it->get<std::int64_t>() > max) {
        return failure(ErrorKind::MalformedRequest, fmt::format("{} is a whole number from 1 to {}", name, max));
    }
    return it->get<std::int64_t>();
}

Result<bool> parseBooleanField(const nlohmann::json &body, const std::string &name)
{
    const auto it = body.find(name);
    if (it == body.end()) {
        return false;
    }
    if (!it->is_boolean()) {
        return failure(ErrorKind::MalformedRequest, fmt::format("{} is true or false", name));
    }
    return it->get<bool>();
}

bool isMessageList(const nlohmann::json &messages)
{
    return messages.is_array() && !messages.empty() && std::all_of(messages.begin(), messages.end(), [](const nlohmann::json &message) {
               return message.is_object() && message.contains("role") && message["role"].is_string() && message.contains("content");
           });
}
} // namespace

CallerApi::CallerApi(EntryCore &core, Metrics &metrics, Milliseconds defaultDeadline)
    : m_core(core)
    , m_metrics(metrics)
    , m_defaultDeadline(defaultDeadline)
{
}

void CallerApi::setTime(Instant now)
{
    m_now = now;
}

void CallerApi::refuse(HttpExchange &exchange, const Error &error)
{
    m_metrics.addRefusal(error.kind);
    respondError(exchange, error);
}

void CallerApi::handle(const HttpExchangePtr &exchange)
{
    const auto routed = route(exchange);
    if (!routed) {
        refuse(*exchange, routed.error());
    }
}

Result<void> CallerApi::route(const HttpExchangePtr &exchange)
{
    if (m_core.isDraining()) {
        return tl::make_unexpected(Error{ErrorKind::ShuttingDown, "this instance is stopping; ask another", Milliseconds(100)});
    }
    if (!m_core.isReady()) {
        return tl::make_unexpected(Error{ErrorKind::NotReady, "this instance has no configuration yet; ask another", Milliseconds(500)});
    }
    Caller caller;
    caller.key = bearerToken(*exchange);
    const auto id = m_core.authenticate(caller.key);
    if (!id) {
        return tl::make_unexpected(id.error());
    }
    caller.id = *id;
    const std::string method = exchange->method();
    const auto parts = splitPath(exchange->path());
    const bool isPrograms = parts.size() >= 2 && parts[0] == "v1" && parts[1] == "programs";
    if (isPrograms && parts.size() == 2 && method == "POST") {
        return startProgram(exchange, caller);
    }
    if (isPrograms && parts.size() == 3 && method == "DELETE") {
        return endProgram(exchange, caller, ProgramId(parts[2]));
    }
    if (isPrograms && parts.size() == 5 && parts[3] == "calls") {
        const auto number = parseCallNumber(parts[4]);
        if (!number) {
            return tl::make_unexpected(number.error());
        }
        if (method == "POST") {
            return submitCall(exchange, caller, ProgramId(parts[2]), *number);
        }
        if (method == "GET") {
            return fetchAnswer(exchange, caller, ProgramId(parts[2]), *number);
        }
    }
    if (method == "POST" && exchange->path() == "/v1/chat/completions") {
        return handleChatCompletion(exchange, caller);
    }
    return failure(ErrorKind::NotFound, "there is no such page");
}

EntryCore::Request CallerApi::makeRequest(const HttpExchange &exchange, PeerMessage message, const ProgramId &program, std::int64_t deadlineMs) const
{
    EntryCore::Request request;
    request.message = std::move(message);
    request.shard = shardOf(program).value_or(ShardId(0));
    request.deadline = m_now + Milliseconds(deadlineMs);
    request.isFirstAttempt = exchange.header("Flamingo-Attempt") == "1";
    return request;
}

Result<StartProgram> CallerApi::parseStartProgram(const HttpExchange &exchange, const Caller &caller)
{
    const auto body = parseBody(exchange);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    const auto checked = checkFieldsAreKnown(*body, {"agent", "priority", "budget_tokens", "parent"});
    if (!checked) {
        return tl::make_unexpected(checked.error());
    }
    for (const char *name : {"agent", "priority", "parent"}) {
        if (body->contains(name) && !(*body)[name].is_string()) {
            return failure(ErrorKind::MalformedRequest, fmt::format("{} is a text", name));
        }
    }
    StartProgram start;
    start.caller = caller.id;
    start.agent = AgentId(body->value("agent", ""));
    const auto allowed = m_core.checkMayStartAgent(caller.key, start.agent);
    if (!allowed) {
        return tl::make_unexpected(allowed.error());
    }
    if (body->contains("priority")) {
        start.priority = priorityFromName((*body)["priority"].get<std::string>());
        if (!start.priority) {
            return failure(ErrorKind::MalformedRequest, "priority is none of urgent, normal, batch");
        }
    }
    const auto budget = parseNumberField(*body, "budget_tokens", 0, std::int64_t(1) << 40);
    if (!budget) {
        return tl::make_unexpected(budget.error());
    }
    if (*budget > 0) {
        start.budget = Tokens(*budget);
    }
    if (body->contains("parent")) {
        start.parent = ProgramId((*body)["parent"].get<std::string>());
    }
    return start;
}

Result<void> CallerApi::startProgram(const HttpExchangePtr &exchange, const Caller &caller)
{
    auto start = parseStartProgram(*exchange, caller);
    if (!start) {
        return tl::make_unexpected(start.error());
    }
    const std::string key = exchange->header("Idempotency-Key");
    if (key.size() > MaxIdempotencyKeyBytes) {
        return failure(ErrorKind::MalformedRequest, "the idempotency key is too long");
    }
    auto id = start->parent ? m_core.newSubAgentId(*start->parent) : m_core.newProgramId();
    if (!key.empty() && !start->parent) {
        id = m_core.programIdForKey(caller.id, key);
    }
    if (!id) {
        return tl::make_unexpected(id.error());
    }
    start->program = *id;
    auto request = makeRequest(*exchange, *start, *id, m_defaultDeadline.count());
    request.onReply = [exchange](const PeerMessage &reply) {
        if (const auto *started = std::get_if<StartProgramReply>(&reply)) {
            exchange->respond(201, JsonType, dumpJson({{"program", started->program}, {"durable", started->isDurable}}));
        }
    };
    request.onError = [exchange](const Error &error) { respondError(*exchange, error); };
    m_core.submit(std::move(request));
    return {};
}

Result<void> CallerApi::endProgram(const HttpExchangePtr &exchange, const Caller &caller, const ProgramId &program)
{
    auto request = makeRequest(*exchange, EndProgram{0, caller.id, program, "caller"}, program, m_defaultDeadline.count());
    request.onReply = [exchange](const PeerMessage &reply) {
        if (const auto *ended = std::get_if<EndProgramReply>(&reply)) {
            exchange->respond(200, JsonType, dumpJson({{"program", ended->program}, {"ended", true}, {"durable", ended->isDurable}}));
        }
    };
    request.onError = [exchange](const Error &error) { respondError(*exchange, error); };
    m_core.submit(std::move(request));
    return {};
}

void CallerApi::endOneShotProgram(const CallerId &caller, const ProgramId &program)
{
    EntryCore::Request request;
    request.message = EndProgram{0, caller, program, "one-shot"};
    request.shard = shardOf(program).value_or(ShardId(0));
    request.deadline = m_now + m_defaultDeadline;
    request.onReply = [](const PeerMessage &) {};
    request.onError = [](const Error &) {};
    m_core.submit(std::move(request));
}

Result<SubmitCall> CallerApi::parseCall(const nlohmann::json &body, const Caller &caller) const
{
    SubmitCall call;
    call.caller = caller.id;
    const auto maxTokens = parseNumberField(body, "max_tokens", 0, MaxAnswerTokens);
    const auto deadline = parseNumberField(body, "deadline_ms", m_defaultDeadline.count(), MaxDeadlineMs);
    const auto stream = parseBooleanField(body, "stream");
    const auto mustNotRepeat = parseBooleanField(body, "must_not_repeat");
    if (!maxTokens) {
        return tl::make_unexpected(maxTokens.error());
    }
    if (!deadline) {
        return tl::make_unexpected(deadline.error());
    }
    if (!stream || !mustNotRepeat) {
        return tl::make_unexpected(stream ? mustNotRepeat.error() : stream.error());
    }
    call.maxTokens = Tokens(*maxTokens);
    call.deadlineMs = *deadline;
    call.wantsDeltas = *stream;
    call.mustNotRepeat = *mustNotRepeat;
    if (body.contains("messages")) {
        if (!isMessageList(body["messages"]) || body.contains("service")) {
            return failure(ErrorKind::MalformedRequest, "messages is a list of objects with role and content, without a service beside it");
        }
        call.input = dumpJson(body["messages"]);
        return call;
    }
    const bool isService = body.contains("service") && body["service"].is_string() && body.contains("operation") && body["operation"].is_string();
    if (!isService || body["service"].get<std::string>().empty()) {
        return failure(ErrorKind::MalformedRequest, "a call has either messages or service and operation");
    }
    call.service = body["service"].get<std::string>();
    call.operation = body["operation"].get<std::string>();
    call.input = dumpJson(body.contains("body") ? body["body"] : nlohmann::json::object());
    return call;
}

Result<void> CallerApi::sendCall(const HttpExchange &exchange, SubmitCall call, const AnswerSinkPtr &sink, std::function<void()> onDone)
{
    const ProgramId program = call.program;
    const std::int64_t deadlineMs = call.deadlineMs;
    auto request = makeRequest(exchange, std::move(call), program, deadlineMs);
    request.onReply = [sink, onDone = std::move(onDone)](const PeerMessage &reply) {
        if (const auto *delta = std::get_if<AnswerDelta>(&reply)) {
            sink->onDelta(delta->offset, delta->text);
        } else if (const auto *done = std::get_if<AnswerDone>(&reply)) {
            sink->onDone(*done);
            if (onDone) {
                onDone();
            }
        }
    };
    request.onError = [sink](const Error &error) { sink->onError(error); };
    m_core.submit(std::move(request));
    return {};
}

Result<void> CallerApi::submitCall(const HttpExchangePtr &exchange, const Caller &caller, const ProgramId &program, CallNumber number)
{
    const auto body = parseBody(*exchange);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    auto checked = checkFieldsAreKnown(*body, {"messages", "service", "operation", "body", "max_tokens", "deadline_ms", "stream", "must_not_repeat"});
    if (!checked) {
        return checked;
    }
    auto call = parseCall(*body, caller);
    if (!call) {
        return tl::make_unexpected(call.error());
    }
    call->program = program;
    call->number = number;
    const auto sink = makeNativeSink(exchange, call->wantsDeltas);
    return sendCall(*exchange, std::move(*call), sink);
}

Result<void> CallerApi::fetchAnswer(const HttpExchangePtr &exchange, const Caller &caller, const ProgramId &program, CallNumber number)
{
    const auto sink = makeNativeSink(exchange, exchange->query("stream") == "true");
    auto request = makeRequest(*exchange, FetchAnswer{0, caller.id, program, number}, program, m_defaultDeadline.count());
    request.onReply = [sink](const PeerMessage &reply) {
        if (const auto *delta = std::get_if<AnswerDelta>(&reply)) {
            sink->onDelta(delta->offset, delta->text);
        } else if (const auto *done = std::get_if<AnswerDone>(&reply)) {
            sink->onDone(*done);
        }
    };
    request.onError = [sink](const Error &error) { sink->onError(error); };
    m_core.submit(std::move(request));
    return {};
}

// A request that doesn't name a program becomes a program of one call. With an idempotency key the program is kept until
// its idle timeout, so that a repeated request finds the answer; without one it ends right after the call.
Result<void> CallerApi::handleChatCompletion(const HttpExchangePtr &exchange, const Caller &caller)
{
    const auto body = parseBody(*exchange);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    if (!body->contains("messages")) {
        return failure(ErrorKind::MalformedRequest, "messages is missing");
    }
    auto call = parseCall(*body, caller);
    if (!call) {
        return tl::make_unexpected(call.error());
    }
    const bool hasModel = body->contains("model") && (*body)["model"].is_string();
    const AgentId agent(hasModel ? (*body)["model"].get<std::string>() : "");
    const auto sink = makeChatSink(exchange, agent.value(), call->wantsDeltas);
    const std::string programHeader = exchange->header("Flamingo-Program");
    if (!programHeader.empty()) {
        const auto number = parseCallNumber(exchange->header("Flamingo-Call"));
        if (!number) {
            return tl::make_unexpected(number.error());
        }
        call->program = ProgramId(programHeader);
        call->number = *number;
        return sendCall(*exchange, std::move(*call), sink);
    }
    auto allowed = m_core.checkMayStartAgent(caller.key, agent);
    if (!allowed) {
        return allowed;
    }
    const std::string key = exchange->header("Idempotency-Key");
    const auto id = key.empty() ? m_core.newProgramId() : Result<ProgramId>(m_core.programIdForKey(caller.id, key));
    if (!id) {
        return tl::make_unexpected(id.error());
    }
    StartProgram start;
    start.caller = caller.id;
    start.agent = agent;
    start.program = *id;
    start.priority = priorityFromName(exchange->header("Flamingo-Priority"));
    call->program = *id;
    call->number = CallNumber(1);
    auto request = makeRequest(*exchange, start, *id, call->deadlineMs);
    request.onReply = [this, exchange, sink, caller, isOneShot = key.empty(), call = *call](const PeerMessage &) {
        std::function<void()> onDone;
        if (isOneShot) {
            onDone = [this, caller = caller.id, program = call.program] { endOneShotProgram(caller, program); };
        }
        (void)sendCall(*exchange, call, sink, std::move(onDone));
    };
    request.onError = [sink](const Error &error) { sink->onError(error); };
    m_core.submit(std::move(request));
    return {};
}

} // namespace flamingo

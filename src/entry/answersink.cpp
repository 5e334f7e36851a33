#include "entry/answersink.h"

#include "core/codec.h"
#include "http/errorbody.h"

namespace flamingo
{

namespace
{
constexpr const char *Json = "application/json";
constexpr const char *EventStreamType = "text/event-stream";

nlohmann::json answerFields(const AnswerDone &done)
{
    nlohmann::json fields = {{"program", done.program},
                             {"call", done.number},
                             {"text", done.outcome.text},
                             {"cost_tokens", done.outcome.cost},
                             {"history_digest", done.digest},
                             {"durable", done.isDurable}};
    if (!done.endpoint.empty()) {
        fields["endpoint"] = done.endpoint;
    }
    return fields;
}

std::string event(const std::string &name, const nlohmann::json &data)
{
    return "event: " + name + "\ndata: " + dumpJson(data) + "\n\n";
}

std::string dataLine(const std::string &data)
{
    return "data: " + data + "\n\n";
}

/// The error that a call's stored outcome stands for.
Error storedError(const Outcome &outcome)
{
    return {errorKindFromName(*outcome.error).value_or(ErrorKind::OutcomeUnknown), outcome.text, std::nullopt};
}

class NativeJsonSink : public AnswerSink
{
public:
    using AnswerSink::AnswerSink;

    bool isStream() const override
    {
        return false;
    }

protected:
    void writePiece(const std::string &) override
    {
    }

    void restart() override
    {
    }

    void finish(const AnswerDone &done) override
    {
        exchange().respond(200, Json, dumpJson(answerFields(done)));
    }

    void finishWithError(const Error &error) override
    {
        respondError(exchange(), error);
    }
};

/// Streams begin with the first piece, so that an error before it still gets its own HTTP status.
class EventSink : public AnswerSink
{
public:
    using AnswerSink::AnswerSink;

    bool isStream() const override
    {
        return true;
    }

protected:
    void begin()
    {
        if (!m_hasBegun) {
            m_hasBegun = true;
            exchange().startStream(200, EventStreamType, {{"Cache-Control", "no-store"}});
        }
    }

    bool hasBegun() const
    {
        return m_hasBegun;
    }

private:
    bool m_hasBegun = false;
};

class NativeEventSink : public EventSink
{
public:
    using EventSink::EventSink;

protected:
    void writePiece(const std::string &text) override
    {
        begin();
        exchange().write(event("delta", {{"text", text}}));
    }

    void restart() override
    {
        begin();
        exchange().write(event("restart", nlohmann::json::object()));
    }

    void finish(const AnswerDone &done) override
    {
        begin();
        exchange().write(event("done", answerFields(done)));
        exchange().finishStream();
    }

    void finishWithError(const Error &error) override
    {
        if (!hasBegun()) {
            respondError(exchange(), error);
            return;
        }
        exchange().write("event: error\ndata: " + errorBody(error) + "\n\n");
        exchange().finishStream();
    }
};

nlohmann::json usageOf(const Outcome &outcome)
{
    return {{"total_tokens", outcome.cost}};
}

class ChatJsonSink : public NativeJsonSink
{
public:
    ChatJsonSink(HttpExchangePtr exchange, std::string model)
        : NativeJsonSink(std::move(exchange))
        , m_model(std::move(model))
    {
    }

protected:
    void finish(const AnswerDone &done) override
    {
        const nlohmann::json message = {{"role", "assistant"}, {"content", done.outcome.text}};
        const nlohmann::json body = {{"id", done.program},
                                     {"object", "chat.completion"},
                                     {"model", m_model},
                                     {"choices", {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
                                     {"usage", usageOf(done.outcome)}};
        exchange().respond(200, Json, dumpJson(body), {{"Flamingo-Program", done.program.value()}, {"Flamingo-Durable", done.isDurable ? "true" : "false"}});
    }

private:
    const std::string m_model;
};

class ChatEventSink : public EventSink
{
public:
    ChatEventSink(HttpExchangePtr exchange, std::string model)
        : EventSink(std::move(exchange))
        , m_model(std::move(model))
    {
    }

protected:
    void writePiece(const std::string &text) override
    {
        begin();
        exchange().write(chunk({{"content", text}}, nullptr, nullptr));
    }

    // The common shape has no way to take pieces back, so a client is told that the stream is broken.
    void restart() override
    {
        m_isBroken = true;
    }

    void finish(const AnswerDone &done) override
    {
        begin();
        if (m_isBroken) {
            finishWithError({ErrorKind::EndpointFailed, "the answer was generated anew; ask again", std::nullopt});
            return;
        }
        exchange().write(chunk(nlohmann::json::object(), "stop", usageOf(done.outcome)));
        exchange().write(dataLine("[DONE]"));
        exchange().finishStream();
    }

    void finishWithError(const Error &error) override
    {
        if (!hasBegun()) {
            respondError(exchange(), error);
            return;
        }
        exchange().write(dataLine(errorBody(error)));
        exchange().finishStream();
    }

private:
    std::string chunk(const nlohmann::json &delta, const nlohmann::json &reason, const nlohmann::json &usage) const
    {
        nlohmann::json body = {
            {"object", "chat.completion.chunk"}, {"model", m_model}, {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}}}};
        if (!usage.is_null()) {
            body["usage"] = usage;
        }
        return dataLine(dumpJson(body));
    }

    const std::string m_model;
    bool m_isBroken = false;
};
} // namespace

AnswerSink::AnswerSink(HttpExchangePtr exchange)
    : m_exchange(std::move(exchange))
{
}

HttpExchange &AnswerSink::exchange()
{
    return *m_exchange;
}

void AnswerSink::onDelta(std::uint64_t offset, const std::string &text)
{
    const std::uint64_t end = offset + text.size();
    if (m_isFinished || !isStream() || offset > m_passedOn.size() || end <= m_passedOn.size()) {
        return;
    }
    const std::string piece = text.substr(m_passedOn.size() - offset);
    m_passedOn += piece;
    writePiece(piece);
}

void AnswerSink::onDone(const AnswerDone &done)
{
    if (m_isFinished) {
        return;
    }
    if (done.outcome.error) {
        onError(storedError(done.outcome));
        return;
    }
    const std::string &text = done.outcome.text;
    if (text.compare(0, m_passedOn.size(), m_passedOn) != 0) {
        m_passedOn.clear();
        restart();
    }
    if (isStream() && text.size() > m_passedOn.size()) {
        writePiece(text.substr(m_passedOn.size()));
    }
    m_isFinished = true;
    finish(done);
}

void AnswerSink::onError(const Error &error)
{
    if (!m_isFinished) {
        m_isFinished = true;
        finishWithError(error);
    }
}

AnswerSinkPtr makeNativeSink(HttpExchangePtr exchange, bool isStream)
{
    if (isStream) {
        return std::make_shared<NativeEventSink>(std::move(exchange));
    }
    return std::make_shared<NativeJsonSink>(std::move(exchange));
}

AnswerSinkPtr makeChatSink(HttpExchangePtr exchange, const std::string &model, bool isStream)
{
    if (isStream) {
        return std::make_shared<ChatEventSink>(std::move(exchange), model);
    }
    return std::make_shared<ChatJsonSink>(std::move(exchange), model);
}

} // namespace flamingo

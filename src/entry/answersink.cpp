#include "entry/answersink.h"

#include "core/codec.h"
#include "http/errorbody.h"

namespace flamingo
{

namespace
{
constexpr const char *JsonType = "application/json";
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

std::string formatNamedEvent(const std::string &name, const nlohmann::json &data)
{
    return "event: " + name + "\ndata: " + dumpJson(data) + "\n\n";
}

std::string formatDataEvent(const std::string &data)
{
    return "data: " + data + "\n\n";
}

/// The error that a call's stored outcome reports.
Error errorFromOutcome(const Outcome &outcome)
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
    void writeDelta(const std::string &) override
    {
    }

    void writeRestart() override
    {
    }

    void finish(const AnswerDone &done) override
    {
        exchange().respond(200, JsonType, dumpJson(answerFields(done)));
    }

    void finishWithError(const Error &error) override
    {
        respondError(exchange(), error);
    }
};

/// The stream starts with the first delta, so that an error before it still gets its own HTTP status.
class EventStreamSink : public AnswerSink
{
public:
    using AnswerSink::AnswerSink;

    bool isStream() const override
    {
        return true;
    }

protected:
    void startStreamOnce()
    {
        if (!m_isStarted) {
            m_isStarted = true;
            exchange().startStream(200, EventStreamType, {{"Cache-Control", "no-store"}});
        }
    }

    bool isStarted() const
    {
        return m_isStarted;
    }

private:
    bool m_isStarted = false;
};

class NativeEventStreamSink : public EventStreamSink
{
public:
    using EventStreamSink::EventStreamSink;

protected:
    void writeDelta(const std::string &text) override
    {
        startStreamOnce();
        exchange().write(formatNamedEvent("delta", {{"text", text}}));
    }

    void writeRestart() override
    {
        startStreamOnce();
        exchange().write(formatNamedEvent("restart", nlohmann::json::object()));
    }

    void finish(const AnswerDone &done) override
    {
        startStreamOnce();
        exchange().write(formatNamedEvent("done", answerFields(done)));
        exchange().finishStream();
    }

    void finishWithError(const Error &error) override
    {
        if (!isStarted()) {
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
        exchange().respond(
            200, JsonType, dumpJson(body), {{"Flamingo-Program", done.program.value()}, {"Flamingo-Durable", done.isDurable ? "true" : "false"}});
    }

private:
    const std::string m_model;
};

class ChatEventStreamSink : public EventStreamSink
{
public:
    ChatEventStreamSink(HttpExchangePtr exchange, std::string model)
        : EventStreamSink(std::move(exchange))
        , m_model(std::move(model))
    {
    }

protected:
    void writeDelta(const std::string &text) override
    {
        startStreamOnce();
        exchange().write(formatChunk({{"content", text}}, nullptr, nullptr));
    }

    // The chat-completions format can't retract text that was already sent, so the stream ends with an error.
    void writeRestart() override
    {
        m_wasRestarted = true;
    }

    void finish(const AnswerDone &done) override
    {
        startStreamOnce();
        if (m_wasRestarted) {
            finishWithError({ErrorKind::EndpointFailed, "the answer was generated anew; ask again", std::nullopt});
            return;
        }
        exchange().write(formatChunk(nlohmann::json::object(), "stop", usageOf(done.outcome)));
        exchange().write(formatDataEvent("[DONE]"));
        exchange().finishStream();
    }

    void finishWithError(const Error &error) override
    {
        if (!isStarted()) {
            respondError(exchange(), error);
            return;
        }
        exchange().write(formatDataEvent(errorBody(error)));
        exchange().finishStream();
    }

private:
    std::string formatChunk(const nlohmann::json &delta, const nlohmann::json &reason, const nlohmann::json &usage) const
    {
        nlohmann::json body = {
            {"object", "chat.completion.chunk"}, {"model", m_model}, {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}}}};
        if (!usage.is_null()) {
            body["usage"] = usage;
        }
        return formatDataEvent(dumpJson(body));
    }

    const std::string m_model;
    bool m_wasRestarted = false;
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
    if (m_isFinished || !isStream() || offset > m_writtenText.size() || end <= m_writtenText.size()) {
        return;
    }
    const std::string delta = text.substr(m_writtenText.size() - offset);
    m_writtenText += delta;
    writeDelta(delta);
}

void AnswerSink::onDone(const AnswerDone &done)
{
    if (m_isFinished) {
        return;
    }
    if (done.outcome.error) {
        onError(errorFromOutcome(done.outcome));
        return;
    }
    const std::string &text = done.outcome.text;
    if (text.compare(0, m_writtenText.size(), m_writtenText) != 0) {
        m_writtenText.clear();
        writeRestart();
    }
    if (isStream() && text.size() > m_writtenText.size()) {
        writeDelta(text.substr(m_writtenText.size()));
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
        return std::make_shared<NativeEventStreamSink>(std::move(exchange));
    }
    return std::make_shared<NativeJsonSink>(std::move(exchange));
}

AnswerSinkPtr makeChatSink(HttpExchangePtr exchange, const std::string &model, bool isStream)
{
    if (isStream) {
        return std::make_shared<ChatEventStreamSink>(std::move(exchange), model);
    }
    return std::make_shared<ChatJsonSink>(std::move(exchange), model);
}

} // namespace flamingo

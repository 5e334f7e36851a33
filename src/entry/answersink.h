#pragma once

#include "core/error.h"
#include "http/httpserver.h"
#include "peerlink/messages.h"

#include <memory>
#include <string>

namespace flamingo
{

/// Brings one answer to a caller, in the shape that the caller asked for.
class AnswerSink
{
public:
    explicit AnswerSink(HttpExchangePtr exchange);
    virtual ~AnswerSink() = default;

    /// A piece of the answer that begins this many bytes into it. Pieces that came before are passed over.
    void onDelta(std::uint64_t offset, const std::string &text);

    /// The whole answer.
    void onDone(const AnswerDone &done);

    void onError(const Error &error);

    /// Whether pieces are wanted.
    virtual bool isStream() const = 0;

protected:
    virtual void writeDelta(const std::string &text) = 0;
    virtual void finish(const AnswerDone &done) = 0;
    virtual void finishWithError(const Error &error) = 0;

    /// The answer was generated anew and differs from what has been passed on already.
    virtual void writeRestart() = 0;

    HttpExchange &exchange();

private:
    HttpExchangePtr m_exchange;
    std::string m_writtenText;
    bool m_isFinished = false;
};

using AnswerSinkPtr = std::shared_ptr<AnswerSink>;

/// The project's own shape: one JSON object, or server-sent events.
AnswerSinkPtr makeNativeSink(HttpExchangePtr exchange, bool isStream);

/// The common chat-completions shape: one JSON object, or server-sent events.
AnswerSinkPtr makeChatSink(HttpExchangePtr exchange, const std::string &model, bool isStream);

} // namespace flamingo

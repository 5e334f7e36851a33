#pragma once

#include "core/error.h"
#include "http/httpserver.h"
#include "peerlink/messages.h"

#include <memory>
#include <string>

namespace flamingo
{

/// Writes one answer to a caller, in the format that the caller asked for.
class AnswerSink
{
public:
    explicit AnswerSink(HttpExchangePtr exchange);
    virtual ~AnswerSink() = default;

    /// Writes a part of the answer that begins \p offset bytes into it. Text that was written before is skipped, and a part
    /// that would leave a gap is dropped.
    void onDelta(std::uint64_t offset, const std::string &text);

    /// Writes what is missing of the complete answer and ends the response. Later calls have no effect.
    void onDone(const AnswerDone &done);

    void onError(const Error &error);

    /// Whether deltas are written as they arrive.
    virtual bool isStream() const = 0;

protected:
    virtual void writeDelta(const std::string &text) = 0;
    virtual void finish(const AnswerDone &done) = 0;
    virtual void finishWithError(const Error &error) = 0;

    /// Called if the answer was generated again and differs from the text already written.
    virtual void writeRestart() = 0;

    HttpExchange &exchange();

private:
    HttpExchangePtr m_exchange;
    std::string m_writtenText;
    bool m_isFinished = false;
};

using AnswerSinkPtr = std::shared_ptr<AnswerSink>;

/// Writes the native format: one JSON object, or server-sent events.
AnswerSinkPtr makeNativeSink(HttpExchangePtr exchange, bool isStream);

/// Writes the chat-completions format: one JSON object, or server-sent events.
AnswerSinkPtr makeChatSink(HttpExchangePtr exchange, const std::string &model, bool isStream);

} // namespace flamingo

#pragma once

#include "core/codec.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace flamingo
{

/// The service model of the engine stand-in; docs/standins.md gives its parameters.
struct EngineSettings {
    int slots = 8; ///< Sequences in a batch.
    double prefillTokensPerMs = 20;
    double decodeMs = 8; ///< One step of a batch of one.
    double decodeMsPerSequence = 0.6; ///< What each further sequence adds to a step.
    std::int64_t cacheTokens = 40000; ///< Of all cached prefixes together.
    double slowdown = 1; ///< All times are multiplied by it.
    bool checksFencing = true;
};

/// One request to the engine.
struct EngineJob {
    std::string id;
    std::string program;
    int priority = 1; ///< Lower goes first.
    std::string prompt; ///< All of its messages, as one text.
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    std::size_t resumeFromWord = 0; ///< Words that an earlier attempt has generated.
    std::function<void(const std::string &text)> onText;
    std::function<void(std::int64_t promptTokens, std::int64_t generatedTokens, std::int64_t cachedTokens)> onDone;
};

/// A continuously batching engine with a limited prefix cache, in simulated steps driven by real time.
class EngineModel
{
public:
    explicit EngineModel(EngineSettings settings);

    void submit(EngineJob job, Instant now);
    void cancel(const std::string &id);

    /// Goes on to the given time.
    void advance(Instant now);

    /// Drops what is cached for a program. Refused when the number is older than one seen before, if that is checked.
    bool releaseCache(const std::string &program, std::uint64_t fencingToken);

    std::vector<std::string> cachedPrograms() const;
    EngineSettings &settings();
    std::size_t runningCount() const;
    std::size_t waitingCount() const;
    std::int64_t prefilledTokens() const;

    /// The answer to a prompt: always the same words for the same prompt, so that callers can check what they get.
    static std::vector<std::string> answerWords(const std::string &prompt, std::int64_t maxTokens);

private:
    struct Sequence {
        EngineJob job;
        std::vector<std::string> words;
        std::size_t nextWord = 0;
        std::int64_t cachedTokens = 0;
        double prefillTokensLeft = 0; ///< Tokens.
    };

    void admit();
    double stepMs() const;
    void step();
    void finish(Sequence &sequence);
    void cachePrefix(const std::string &program, std::int64_t tokens);

    EngineSettings m_settings;
    std::list<EngineJob> m_waiting;
    std::list<Sequence> m_running;
    std::list<std::pair<std::string, std::int64_t>> m_cache; ///< Newest first.
    std::map<std::string, std::uint64_t> m_newestFencingTokens;
    Instant m_stepEndsAt{};
    bool m_isStepping = false;
    std::int64_t m_prefilledTokens = 0;
};

} // namespace flamingo

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

/// Parameters of the simulated engine; docs/standins.md explains them.
struct EngineSettings {
    int slots = 8; ///< Maximum number of sequences in a batch.
    double prefillTokensPerMs = 20;
    double decodeMs = 8; ///< Duration of a step with one sequence.
    double decodeMsPerSequence = 0.6; ///< Added to a step's duration by each further sequence.
    std::int64_t cacheTokens = 40000; ///< Limit for all cached prefixes together.
    double slowdown = 1; ///< Factor for the duration of each step.
    bool checksFencing = true; ///< Whether requests with outdated fencing tokens are refused.
};

/// One request to the engine.
struct EngineJob {
    std::string id;
    std::string program;
    int priority = 1; ///< Lower values are served first.
    std::string prompt; ///< All messages joined to one text.
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    std::size_t resumeFromWord = 0; ///< Number of words that an earlier attempt has generated; generation continues after them.
    std::function<void(const std::string &text)> onText;
    std::function<void(std::int64_t promptTokens, std::int64_t generatedTokens, std::int64_t cachedTokens)> onDone;
};

/// Simulates a model engine with continuous batching and a limited prefix cache. Steps are simulated against real
/// time: advance() runs those that end by the given time.
class EngineModel
{
public:
    explicit EngineModel(EngineSettings settings);

    void submit(EngineJob job, Instant now);
    void cancel(const std::string &id);

    /// Runs all steps that end by the given time.
    void advance(Instant now);

    /// Drops the cached prefix of a program. Returns false when fencing is checked and the token is lower than an earlier one
    /// of the program's shard.
    bool releaseCache(const std::string &program, std::uint64_t fencingToken);

    std::vector<std::string> cachedPrograms() const;
    EngineSettings &settings();
    std::size_t runningCount() const;
    std::size_t waitingCount() const;
    std::int64_t prefilledTokens() const;

    /// The words of the answer to a prompt. They depend only on the arguments, so that callers can check an answer.
    static std::vector<std::string> answerWords(const std::string &prompt, std::int64_t maxTokens);

private:
    struct Sequence {
        EngineJob job;
        std::vector<std::string> words;
        std::size_t nextWord = 0;
        std::int64_t cachedTokens = 0;
        double prefillTokensLeft = 0;
    };

    void admit();
    double stepMs() const;
    void step();
    void finish(Sequence &sequence);
    void cachePrefix(const std::string &program, std::int64_t tokens);

    EngineSettings m_settings;
    std::list<EngineJob> m_waiting;
    std::list<Sequence> m_running;
    std::list<std::pair<std::string, std::int64_t>> m_cache; ///< Programs with their cached tokens, most recently used first.
    std::map<std::string, std::uint64_t> m_newestFencingTokens; ///< By shard.
    Instant m_stepEndsAt{};
    bool m_isStepping = false;
    std::int64_t m_prefilledTokens = 0;
};

} // namespace flamingo

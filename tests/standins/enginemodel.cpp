#include "standins/enginemodel.h"

#include "core/digest.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingo
{

namespace
{
/// Prompt tokens that one step can prefill in addition to decoding.
constexpr double PrefillTokensPerStep = 512;
constexpr std::int64_t MinAnswerTokens = 4;
} // namespace

EngineModel::EngineModel(EngineSettings settings)
    : m_settings(settings)
{
}

std::vector<std::string> EngineModel::answerWords(const std::string &prompt, std::int64_t maxTokens)
{
    const std::uint64_t seed = stableHash(prompt);
    // Between three quarters of maxTokens and maxTokens, chosen by the prompt's hash.
    const std::int64_t count = std::max(std::min(MinAnswerTokens, maxTokens), maxTokens - static_cast<std::int64_t>(seed % (maxTokens / 4 + 1)));
    std::vector<std::string> words;
    for (std::int64_t n = 0; n < count; ++n) {
        words.push_back(fmt::format("w{:04x} ", stableHash(std::to_string(n), seed) & 0xffff));
    }
    return words;
}

void EngineModel::submit(EngineJob job, Instant now)
{
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const EngineJob &other) { return other.priority > job.priority; });
    m_waiting.insert(it, std::move(job));
    if (!m_isStepping) {
        admit();
        m_isStepping = !m_running.empty();
        m_stepEndsAt = now + std::chrono::microseconds(static_cast<std::int64_t>(stepMs() * 1000));
    }
}

void EngineModel::cancel(const std::string &id)
{
    m_waiting.remove_if([&](const EngineJob &job) { return job.id == id; });
    m_running.remove_if([&](const Sequence &sequence) { return sequence.job.id == id; });
}

void EngineModel::admit()
{
    while (!m_waiting.empty() && static_cast<int>(m_running.size()) < m_settings.slots) {
        Sequence sequence;
        sequence.job = std::move(m_waiting.front());
        m_waiting.pop_front();
        for (const auto &[program, tokens] : m_cache) {
            if (program == sequence.job.program) {
                sequence.cachedTokens = std::min(tokens, sequence.job.promptTokens);
            }
        }
        sequence.words = answerWords(sequence.job.prompt, sequence.job.maxTokens);
        sequence.nextWord = std::min(sequence.job.resumeFromWord, sequence.words.size());
        sequence.prefillTokensLeft = static_cast<double>(sequence.job.promptTokens - sequence.cachedTokens);
        m_prefilledTokens += sequence.job.promptTokens - sequence.cachedTokens;
        m_running.push_back(std::move(sequence));
    }
}

double EngineModel::stepMs() const
{
    double prefillTokens = 0;
    for (const Sequence &sequence : m_running) {
        prefillTokens = std::min(PrefillTokensPerStep, prefillTokens + sequence.prefillTokensLeft);
    }
    const auto others = static_cast<double>(m_running.empty() ? 0 : m_running.size() - 1);
    return m_settings.slowdown * (m_settings.decodeMs + m_settings.decodeMsPerSequence * others + prefillTokens / m_settings.prefillTokensPerMs);
}

void EngineModel::step()
{
    double stepTokensLeft = PrefillTokensPerStep;
    for (auto it = m_running.begin(); it != m_running.end();) {
        if (it->prefillTokensLeft > 0) {
            const double chunk = std::min(stepTokensLeft, it->prefillTokensLeft);
            it->prefillTokensLeft -= chunk;
            stepTokensLeft -= chunk;
            ++it;
            continue;
        }
        if (it->nextWord < it->words.size()) {
            it->job.onText(it->words[it->nextWord++]);
        }
        if (it->nextWord < it->words.size()) {
            ++it;
            continue;
        }
        finish(*it);
        it = m_running.erase(it);
    }
}

void EngineModel::finish(Sequence &sequence)
{
    const auto generated = static_cast<std::int64_t>(sequence.words.size());
    if (!sequence.job.program.empty()) {
        cachePrefix(sequence.job.program, sequence.job.promptTokens + generated);
    }
    sequence.job.onDone(sequence.job.promptTokens, generated, sequence.cachedTokens);
}

void EngineModel::cachePrefix(const std::string &program, std::int64_t tokens)
{
    m_cache.remove_if([&](const auto &item) { return item.first == program; });
    m_cache.emplace_front(program, tokens);
    std::int64_t total = 0;
    for (const auto &[name, cached] : m_cache) {
        total += cached;
    }
    while (total > m_settings.cacheTokens && m_cache.size() > 1) {
        total -= m_cache.back().second;
        m_cache.pop_back();
    }
}

void EngineModel::advance(Instant now)
{
    while (m_isStepping && now >= m_stepEndsAt) {
        step();
        admit();
        m_isStepping = !m_running.empty();
        m_stepEndsAt += std::chrono::microseconds(static_cast<std::int64_t>(stepMs() * 1000));
    }
}

bool EngineModel::releaseCache(const std::string &program, std::uint64_t fencingToken)
{
    const std::string shard = program.substr(0, program.find('-'));
    std::uint64_t &newest = m_newestFencingTokens[shard];
    if (m_settings.checksFencing && fencingToken < newest) {
        return false;
    }
    newest = std::max(newest, fencingToken);
    m_cache.remove_if([&](const auto &item) { return item.first == program; });
    return true;
}

std::vector<std::string> EngineModel::cachedPrograms() const
{
    std::vector<std::string> programs;
    for (const auto &[program, tokens] : m_cache) {
        programs.push_back(program);
    }
    return programs;
}

EngineSettings &EngineModel::settings()
{
    return m_settings;
}

std::size_t EngineModel::runningCount() const
{
    return m_running.size();
}

std::size_t EngineModel::waitingCount() const
{
    return m_waiting.size();
}

std::int64_t EngineModel::prefilledTokens() const
{
    return m_prefilledTokens;
}

} // namespace flamingo

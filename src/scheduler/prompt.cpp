#include "scheduler/prompt.h"

#include "core/codec.h"

namespace flamingo
{

namespace
{
/// Allowance for the tokens that an engine adds around a message.
constexpr std::int64_t MessageOverheadTokens = 16;

void appendTurn(nlohmann::json &messages, const Turn &turn)
{
    if (turn.outcome.error) {
        return;
    }
    const auto input = parseJson(turn.input);
    if (!input || !input->is_object()) {
        return;
    }
    if (input->contains("messages")) {
        for (const auto &message : input->at("messages")) {
            messages.push_back(message);
        }
        messages.push_back({{"role", "assistant"}, {"content", turn.outcome.text}});
    } else {
        messages.push_back({{"role", "tool"}, {"name", input->value("operation", "")}, {"content", turn.outcome.text}});
    }
}
} // namespace

std::string buildPrompt(const AgentSpec &agent, const Program &program, const std::string &input)
{
    nlohmann::json messages = nlohmann::json::array();
    if (!agent.systemPrompt.empty()) {
        messages.push_back({{"role", "system"}, {"content", agent.systemPrompt}});
    }
    for (const Turn &turn : program.turns) {
        appendTurn(messages, turn);
    }
    const auto json = parseJson(input);
    if (json && json->is_object() && json->contains("messages")) {
        for (const auto &message : json->at("messages")) {
            messages.push_back(message);
        }
    }
    return dumpJson(messages);
}

Tokens maxPromptTokens(const AgentSpec &agent, const Program &program, const std::string &input)
{
    std::size_t newBytes = input.size();
    if (program.contextTokens() == Tokens(0)) {
        newBytes += agent.systemPrompt.size();
    }
    return program.contextTokens() + Tokens(static_cast<std::int64_t>(newBytes) + MessageOverheadTokens);
}

} // namespace flamingo

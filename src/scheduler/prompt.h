#pragma once

#include "configuration/configobject.h"
#include "programs/program.h"

#include <string>

namespace flamingo
{

/// The JSON list of messages for a model: the agent's system prompt, the program's history, then the new input.
std::string buildPrompt(const AgentSpec &agent, const Program &program, const std::string &input);

/// An upper bound for the tokens of the prompt: the engine's own count of the history plus the bytes of what is new, which is the
/// input and, as long as that count is 0, the system prompt.
Tokens maxPromptTokens(const AgentSpec &agent, const Program &program, const std::string &input);

} // namespace flamingo

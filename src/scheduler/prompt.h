#pragma once

#include "configuration/objects.h"
#include "programs/program.h"

#include <string>

namespace flamingo
{

/// The messages for a model: the agent's system prompt, the program's history, then the new input. JSON.
std::string buildPrompt(const AgentSpec &agent, const Program &program, const std::string &input);

/// The most tokens that the prompt can have, by the engine's own count of the history and the bytes of what is new.
Tokens maxPromptTokens(const AgentSpec &agent, const Program &program, const std::string &input);

} // namespace flamingo

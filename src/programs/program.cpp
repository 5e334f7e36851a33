#include "programs/program.h"

namespace flamingo
{

CallNumber Program::nextCallNumber() const
{
    return CallNumber(static_cast<std::uint32_t>(turns.size()) + 1);
}

Tokens Program::contextTokens() const
{
    return turns.empty() ? Tokens(0) : turns.back().outcome.contextTokens;
}

Digest initialHistoryDigest(const ProgramId &program)
{
    return digestOf(program.value());
}

Digest extendHistoryDigest(const Digest &previous, const Digest &request, const Outcome &outcome)
{
    return chainDigest(previous, request.value() + outcome.error.value_or("") + '\n' + outcome.text);
}

} // namespace flamingo

#include "membership/programshard.h"

#include <string>

namespace flamingo
{

namespace
{
constexpr std::size_t MaxShardDigits = 9;
}

std::optional<ShardId> shardOf(const ProgramId &program)
{
    const std::string &text = program.value();
    const auto dash = text.find('-');
    if (dash == std::string::npos || dash == 0 || dash > MaxShardDigits || text.find_first_not_of("0123456789") != dash) {
        return std::nullopt;
    }
    return ShardId(static_cast<std::uint32_t>(std::stoul(text.substr(0, dash))));
}

} // namespace flamingo

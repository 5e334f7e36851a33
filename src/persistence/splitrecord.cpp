#include "persistence/splitrecord.h"

#include "core/codec.h"

namespace flamingo
{

namespace
{
constexpr const char *PartsField = "parts";
/// More parts than the longest turn has; a head that names more was not written by this project.
constexpr std::uint64_t MaxParts = 10000;
} // namespace

std::vector<std::string> splitRecord(const std::string &record, std::size_t maxPartBytes)
{
    std::vector<std::string> parts;
    for (std::size_t begin = 0; begin < record.size(); begin += maxPartBytes) {
        parts.push_back(record.substr(begin, maxPartBytes));
    }
    return parts;
}

std::string SplitRecordHead::encode() const
{
    return toCbor({{PartsField, parts}});
}

std::optional<SplitRecordHead> SplitRecordHead::decode(const std::string &bytes)
{
    const auto json = fromCbor(bytes);
    const bool isHead = json && json->is_object() && json->size() == 1 && json->contains(PartsField) && (*json)[PartsField].is_number_unsigned();
    if (!isHead) {
        return std::nullopt;
    }
    const auto parts = (*json)[PartsField].get<std::uint64_t>();
    return parts <= MaxParts ? std::optional<SplitRecordHead>(SplitRecordHead{static_cast<std::size_t>(parts)}) : std::nullopt;
}

} // namespace flamingo

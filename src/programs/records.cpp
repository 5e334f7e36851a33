#include "programs/records.h"

#include "core/taggedvariant.h"

namespace flamingo
{

namespace
{
constexpr const char *PriorityNames[] = {"urgent", "normal", "batch"};
} // namespace

std::optional<PriorityClass> priorityFromName(const std::string &name)
{
    for (int n = 0; n < PriorityClassCount; ++n) {
        if (name == PriorityNames[n]) {
            return static_cast<PriorityClass>(n);
        }
    }
    return std::nullopt;
}

const char *priorityName(PriorityClass priority)
{
    return PriorityNames[static_cast<int>(priority)];
}

void to_json(nlohmann::json &json, const PriorityClass &priority)
{
    json = priorityName(priority);
}

void from_json(const nlohmann::json &json, PriorityClass &priority)
{
    priority = priorityFromName(json.get<std::string>()).value_or(PriorityClass::Normal);
}

nlohmann::json encodeRecord(const Record &record)
{
    return encodeTagged(record);
}

std::optional<Record> decodeRecord(const nlohmann::json &json)
{
    return decodeTagged<Record>(json);
}

} // namespace flamingo

#include "serving/cleanshutdownmarker.h"

#include "core/decoding.h"

#include <nlohmann/json.hpp>

namespace flamingo
{

namespace
{
/// Half of the time for which other instances remember a member that left the list (240 s).
constexpr Milliseconds MaxDowntime{120000};
constexpr Milliseconds MaxClockDifference{10000};
} // namespace

CleanShutdownMarker CleanShutdownMarker::now()
{
    const auto boot = std::chrono::duration_cast<Milliseconds>(suspendAwareNow().time_since_epoch());
    const auto wall = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return {boot, wall};
}

std::string CleanShutdownMarker::encode() const
{
    return nlohmann::json{{"boot-ms", bootTime.count()}, {"wall-ms", wallTime.count()}}.dump();
}

std::optional<CleanShutdownMarker> CleanShutdownMarker::decode(const std::string &bytes)
{
    return decodeJson<CleanShutdownMarker>("shutdown-marker", bytes, [](const nlohmann::json &json) {
        return CleanShutdownMarker{Milliseconds(json.at("boot-ms").get<std::int64_t>()), Milliseconds(json.at("wall-ms").get<std::int64_t>())};
    });
}

bool CleanShutdownMarker::isRecent(const CleanShutdownMarker &now) const
{
    const Milliseconds byBoot = now.bootTime - bootTime;
    const Milliseconds byWall = now.wallTime - wallTime;
    const Milliseconds difference = byBoot > byWall ? byBoot - byWall : byWall - byBoot;
    return byBoot.count() >= 0 && byBoot <= MaxDowntime && difference <= MaxClockDifference;
}

} // namespace flamingo

#include "serving/originmessages.h"
#include "serving/softwareversions.h"
#include "serving/streamorigins.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <random>
#include <utility>

using namespace flamingo;

namespace
{
const PoolId Pool("llm");
const SoftwareVersion Old("v1");
const SoftwareVersion New("v1.1");
constexpr Milliseconds Lifetime = SoftwareVersions::MaxStreamLifetime;

EndpointEntry endpoint(const std::string &id, const SoftwareVersion &version)
{
    EndpointEntry entry;
    entry.id = EndpointId(id);
    entry.pool = Pool;
    entry.version = version;
    return entry;
}
} // namespace

TEST_CASE("A process that was just started doesn't know a pool's only software version", "[versions]")
{
    const Instant start{std::chrono::seconds(100)};
    SoftwareVersions versions;
    CHECK_FALSE(versions.soleVersion(Pool, start, start));
    versions.update({endpoint("a", Old)}, start);
    CHECK_FALSE(versions.soleVersion(Pool, start, start));
    const Instant later = start + Lifetime;
    CHECK(versions.soleVersion(Pool, later, later) == Old);
    // Others may know a newer version since.
    CHECK_FALSE(versions.soleVersion(Pool, start, later));
    CHECK_FALSE(versions.soleVersion(PoolId("other"), later, later));
}

// Guards against a version that came and went between two looks at the list.
TEST_CASE("A software version counts although its endpoint was gone before the next update", "[versions]")
{
    const Instant start{std::chrono::seconds(100)};
    SoftwareVersions versions;
    versions.setFirstStart();
    versions.update({endpoint("a", Old)}, start);
    versions.add(Pool, New, start);
    versions.update({endpoint("a", Old)}, start);
    CHECK(versions.seenVersions(Pool, start) == std::set<SoftwareVersion>{Old, New});
    CHECK_FALSE(versions.soleVersion(Pool, start, start));
    const Instant later = start + Lifetime;
    CHECK(versions.soleVersion(Pool, later, later) == Old);
}

TEST_CASE("After changes were missed a pool's only software version isn't known for as long as a stream can last", "[versions]")
{
    const Instant start{std::chrono::seconds(100)};
    SoftwareVersions versions;
    versions.setFirstStart();
    versions.update({endpoint("a", Old)}, start);
    CHECK(versions.isComplete(start));
    versions.restart(start);
    CHECK_FALSE(versions.isComplete(start + Lifetime - Milliseconds(1)));
    CHECK(versions.isComplete(start + Lifetime));
}

TEST_CASE("At the first start of all no stream is older than what is known", "[versions]")
{
    const Instant start{std::chrono::seconds(100)};
    SoftwareVersions versions;
    versions.setFirstStart();
    versions.update({endpoint("a", Old)}, start);
    CHECK(versions.soleVersion(Pool, start, start) == Old);
    versions.update({endpoint("a", Old), endpoint("b", New)}, start);
    CHECK_FALSE(versions.soleVersion(Pool, start, start));
}

TEST_CASE("A software version that has left counts as long as a stream can last", "[versions]")
{
    const Instant start{std::chrono::seconds(100)};
    SoftwareVersions versions;
    versions.setFirstStart();
    versions.update({endpoint("a", Old)}, start);
    // The old version is there until the new one replaces it, however long ago the list last changed.
    const Instant replacedAt = start + 2 * Lifetime;
    versions.update({endpoint("b", New)}, replacedAt);
    const Instant before = replacedAt + Lifetime - Milliseconds(1);
    CHECK_FALSE(versions.soleVersion(Pool, before, before));
    CHECK(versions.seenVersions(Pool, before) == std::set<SoftwareVersion>{Old, New});
    const Instant after = replacedAt + Lifetime;
    CHECK(versions.soleVersion(Pool, after, after) == New);
}

TEST_CASE("Origins of streams are kept within bounds, and the latest one counts", "[versions]")
{
    constexpr int NoteCount = 30000;
    const Instant start{std::chrono::seconds(100)};
    StreamOrigins origins;
    origins.note(RequestId("a"), {Pool, Old}, start);
    origins.note(RequestId("a"), {Pool, New}, start);
    CHECK(origins.find(RequestId("a"))->version == New);
    origins.note(RequestId(std::string(1000, 'x')), {Pool, New}, start);
    CHECK_FALSE(origins.find(RequestId(std::string(1000, 'x'))));
    CHECK_FALSE(origins.find(RequestId()));
    for (int n = 0; n < NoteCount; ++n) {
        origins.note(RequestId(fmt::format("n{}", n)), {Pool, Old}, start);
    }
    CHECK(origins.size() < NoteCount);
    CHECK_FALSE(origins.find(RequestId("a")));
    origins.note(RequestId("later"), {Pool, Old}, start + 3 * Lifetime);
    CHECK(origins.size() == 1);
}

TEST_CASE("An attempt that is noted again after its first note has expired is known by the second one", "[versions]")
{
    StreamOrigins origins;
    const Instant start{std::chrono::seconds(100)};
    const RequestId id("again");
    origins.note(id, {Pool, Old}, start);
    // It is the only one, and its first note is too old by now.
    origins.note(id, {Pool, New}, start + 3 * Lifetime);
    REQUIRE(origins.find(id).has_value());
    CHECK(origins.find(id)->version == New);
    CHECK(origins.size() == 1);
}

TEST_CASE("Notes of origins are pruned as a plain model says, for random attempts and times", "[versions]")
{
    constexpr Milliseconds NoteLifetime = 2 * Lifetime;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        StreamOrigins origins;
        std::map<std::string, std::pair<Instant, StreamOrigin>> model;
        Instant now{std::chrono::seconds(100)};
        for (int n = 0; n < 200; ++n) {
            now += Milliseconds(random() % (NoteLifetime.count() / (1 + random() % 40)));
            const std::string id = "attempt-" + std::to_string(random() % 12);
            const StreamOrigin origin{Pool, random() % 2 == 0 ? Old : New};
            origins.note(RequestId(id), origin, now);
            model[id] = {now, origin};
            for (auto it = model.begin(); it != model.end();) {
                it = now - it->second.first > NoteLifetime ? model.erase(it) : std::next(it);
            }
            INFO("seed " << seed << " step " << n);
            REQUIRE(origins.size() == model.size());
            for (const auto &[key, value] : model) {
                const auto found = origins.find(RequestId(key));
                REQUIRE(found.has_value());
                REQUIRE(*found == value.second);
            }
        }
    }
}

TEST_CASE("Messages about origins of streams are read as they were written", "[versions]")
{
    const OriginNote note{RequestId("a"), {Pool, Old}};
    const auto readNote = OriginNote::decode(note.encode());
    REQUIRE(readNote);
    CHECK(readNote->attempt == note.attempt);
    CHECK(readNote->origin == note.origin);
    const auto query = OriginQuery::decode(OriginQuery{RequestId("a"), Pool}.encode());
    REQUIRE(query);
    CHECK(query->pool == Pool);
    OriginAnswer answer;
    answer.seenVersions = {Old, New};
    answer.isComplete = true;
    answer.endpointsRevision = 7;
    const auto unknown = OriginAnswer::decode(answer.encode());
    REQUIRE(unknown);
    CHECK_FALSE(unknown->origin);
    CHECK(unknown->seenVersions.size() == 2);
    CHECK(unknown->isComplete);
    CHECK(unknown->endpointsRevision == 7);
    answer.origin = note.origin;
    CHECK(OriginAnswer::decode(answer.encode())->origin == note.origin);
}

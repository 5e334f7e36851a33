#include "serving/originmessages.h"
#include "serving/softwareversions.h"
#include "serving/streamorigins.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

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

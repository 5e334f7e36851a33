#include "archive/uploadqueue.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace
{
const Instant Start{};

Instant after(int ms)
{
    return Start + Milliseconds(ms);
}

std::vector<RequestId> ids(const std::vector<std::string> &texts)
{
    std::vector<RequestId> result;
    for (const std::string &it : texts) {
        result.emplace_back(it);
    }
    return result;
}
} // namespace

// Guards against turns that stay on two disks for long because newer ones are uploaded first.
TEST_CASE("The oldest turns are uploaded first, and those of another archive only after a while", "[archive]")
{
    UploadQueue queue;
    queue.add(RequestId("c"), after(30), after(30));
    queue.add(RequestId("a"), after(20), after(20));
    queue.add(RequestId("b"), after(10), after(3010));
    CHECK(queue.nextTurns(after(100), false) == ids({"a", "c"}));
    CHECK(queue.nextTurns(after(100), true) == ids({"b", "a", "c"}));
    CHECK(queue.nextTurns(after(3010), false) == ids({"b", "a", "c"}));
    queue.remove(RequestId("a"));
    CHECK(queue.nextTurns(after(100), false) == ids({"c"}));
}

// Guards against a turn that the store never takes and that holds up all others.
TEST_CASE("Rejected turns are tried one by one, and one that is rejected alone is set aside for a while", "[archive]")
{
    UploadQueue queue;
    for (const std::string &id : {"a", "b", "c"}) {
        queue.add(RequestId(id), Start, Start);
    }
    queue.onRejected(queue.nextTurns(after(1), false), after(1));
    queue.add(RequestId("d"), after(2), after(2));
    CHECK(queue.nextTurns(after(2), false) == ids({"a"}));
    queue.onRejected(ids({"a"}), after(2));
    CHECK(queue.setAsideCount() == 1);
    CHECK(queue.nextTurns(after(3), false) == ids({"b"}));
    queue.remove(RequestId("b"));
    queue.remove(RequestId("c"));
    CHECK(queue.nextTurns(after(3), false) == ids({"d"}));
    CHECK(queue.nextTurns(after(3), true) == ids({"d"}));
    queue.remove(RequestId("d"));
    CHECK(queue.nextTurns(after(3), false).empty());
    CHECK(queue.nextTurns(after(60002), false) == ids({"a"}));
}

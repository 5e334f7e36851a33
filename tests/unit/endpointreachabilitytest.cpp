#include "serving/endpointreachability.h"

#include <catch2/catch.hpp>

#include <string>

using namespace flamingo;

namespace
{
const InstanceId Near("near");
const InstanceId Far("far");

EndpointId endpoint(int number)
{
    return EndpointId("i-" + std::to_string(number));
}

struct Fixture {
    void fail(int count)
    {
        for (int n = 0; n < count; ++n) {
            reachability.recordUnreachable(endpoint(n), now);
        }
    }

    bool update()
    {
        return reachability.update(EndpointCount, now);
    }

    static constexpr std::size_t EndpointCount = 12;
    EndpointReachability reachability;
    Instant now = Instant() + Milliseconds(100000);
};
} // namespace

TEST_CASE("An instance is cut off when it connects to no endpoint and another one does", "[serving][reachability]")
{
    Fixture it;
    it.reachability.recordReport(Near, {true, 0}, it.now);
    it.fail(3);
    CHECK(it.update());
    CHECK(it.reachability.isCutOff());
    CHECK(it.reachability.chooseForwarder(it.now) == Near);
    CHECK_FALSE(it.update());
}

TEST_CASE("A few endpoints that can't be reached don't make an instance cut off", "[serving][reachability]")
{
    Fixture it;
    it.reachability.recordReport(Near, {true, 0}, it.now);
    for (int n = 0; n < 20; ++n) {
        it.fail(2);
        CHECK_FALSE(it.update());
        it.reachability.recordConnected(endpoint(5));
        CHECK_FALSE(it.update());
    }
    // Failures that are long past don't add up.
    it.fail(2);
    it.update();
    it.now += Milliseconds(4000);
    it.reachability.recordReport(Near, {true, 0}, it.now);
    it.update();
    it.reachability.recordUnreachable(endpoint(7), it.now);
    CHECK_FALSE(it.update());
}

TEST_CASE("An outage of all endpoints, which no instance reaches, isn't a cut", "[serving][reachability]")
{
    Fixture it;
    it.reachability.recordReport(Near, {false, 0}, it.now);
    it.fail(9);
    CHECK_FALSE(it.update());
    it.reachability.recordReport(Far, {true, 0}, it.now);
    CHECK(it.update());
    // The other one loses its way as well, or doesn't respond any more.
    it.reachability.recordForwardFailure(Far);
    CHECK(it.update());
    CHECK_FALSE(it.reachability.isCutOff());
}

TEST_CASE("A cut ends with connections to two endpoints and no failure in between", "[serving][reachability]")
{
    Fixture it;
    it.reachability.recordReport(Near, {true, 0}, it.now);
    it.fail(3);
    it.update();
    it.reachability.recordConnected(endpoint(1));
    CHECK_FALSE(it.update());
    it.reachability.recordUnreachable(endpoint(2), it.now);
    it.reachability.recordConnected(endpoint(3));
    CHECK_FALSE(it.update());
    it.reachability.recordConnected(endpoint(4));
    CHECK(it.update());
    CHECK_FALSE(it.reachability.isCutOff());
    CHECK_FALSE(it.reachability.isInDoubt());
}

TEST_CASE("Requests go to the instance with the least load, by recent reports and what it forwards for this one", "[serving][reachability]")
{
    Fixture it;
    it.reachability.recordReport(Near, {true, 2}, it.now);
    it.reachability.recordReport(Far, {true, 1}, it.now);
    CHECK(it.reachability.chooseForwarder(it.now) == Far);
    it.reachability.beginForward(Far);
    it.reachability.beginForward(Far);
    CHECK(it.reachability.chooseForwarder(it.now) == Near);
    it.reachability.endForward(Far);
    it.reachability.endForward(Far);
    CHECK(it.reachability.chooseForwarder(it.now) == Far);
    it.reachability.recordForwardFailure(Far);
    CHECK(it.reachability.chooseForwarder(it.now) == Near);
    CHECK_FALSE(it.reachability.chooseForwarder(it.now + Milliseconds(2001)).has_value());
}

TEST_CASE("A forwarded request that ends after its forwarder was forgotten counts nowhere", "[serving][reachability]")
{
    Fixture it;
    it.reachability.recordReport(Near, {true, 0}, it.now);
    it.reachability.beginForward(Near);
    it.now += Milliseconds(10000);
    it.update();
    it.reachability.endForward(Near);
    it.update();
    it.reachability.recordReport(Near, {true, 0}, it.now);
    it.reachability.recordReport(Far, {true, 1}, it.now);
    CHECK(it.reachability.chooseForwarder(it.now) == Near);
}

TEST_CASE("An instance without a forwarder for a while is cut off again with the next report", "[serving][reachability]")
{
    Fixture it;
    it.reachability.recordReport(Near, {true, 0}, it.now);
    it.fail(3);
    it.update();
    it.reachability.recordForwardFailure(Near);
    it.update();
    CHECK_FALSE(it.reachability.isCutOff());
    CHECK(it.reachability.isInDoubt());
    it.reachability.recordReport(Near, {true, 0}, it.now);
    CHECK(it.update());
    CHECK(it.reachability.isCutOff());
}

#include "serving/configurationage.h"
#include "instance/registryfeed.h"
#include "instance/registryreplica.h"
#include "platform/recordcodec.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace
{
constexpr Milliseconds Bound{5000};
const Instant Start = Instant() + std::chrono::hours(1);
} // namespace

// Guards against keys that are accepted for too long after the operator has taken them away, at an instance that can't learn of it.
TEST_CASE("Keys are refused before the bound is reached since the last confirmation was asked for", "[serving][promises]")
{
    ConfigurationAge age(Bound);
    CHECK_FALSE(age.mayAcceptKeys(Start));

    age.confirm(Start);
    CHECK(age.mayAcceptKeys(Start + Bound * 6 / 10));
    CHECK_FALSE(age.mayAcceptKeys(Start + Bound));

    SECTION("A later confirmation counts from when it was asked for")
    {
        age.confirm(Start + Bound / 2);
        CHECK(age.mayAcceptKeys(Start + Bound));
        CHECK_FALSE(age.mayAcceptKeys(Start + Bound + Bound / 2));
    }
    SECTION("A call that was sent earlier and ends later doesn't make the view look older or younger")
    {
        age.confirm(Start - Bound);
        CHECK(age.confirmedAt() == Start);
    }
}

// Guards against refusals where no limit is configured.
TEST_CASE("Without a bound keys are accepted at any age", "[serving]")
{
    ConfigurationAge age(std::nullopt);
    CHECK(age.mayAcceptKeys(Start));
    CHECK_FALSE(age.longestWait());
}

// Guards against refusals in calm operation: the age grows to twice the wait and the time of two calls.
TEST_CASE("Calls that wait for changes are short enough for the age to stay below the refusal", "[serving]")
{
    ConfigurationAge age(Bound);
    REQUIRE(age.longestWait());
    constexpr Milliseconds SlowCall{500};
    age.confirm(Start);
    CHECK(age.mayAcceptKeys(Start + 2 * (*age.longestWait() + SlowCall)));
}

// Guards against a view that counts as confirmed although the newest configuration, which may have removed keys, couldn't be read.
TEST_CASE("A configuration that is unreadable, removed or not listed leaves the one in force outdated", "[serving][promises]")
{
    RouteTable routes;
    EndpointDirectory endpoints;
    MemberDirectory members(InstanceId("self"), DomainId("near"));
    RegistryReplica replica(routes, endpoints, members, {[] {}, [](const EndpointEntry &) {}, [] {}});
    const auto configuration = [](const std::string &data, platform::Revision revision) {
        return platform::StoreItem{platform::ConfigurationKey, data, revision, revision};
    };
    const std::string valid = R"({"version":1,"routes":[],"services":[]})";
    CHECK_FALSE(replica.isConfigurationReadable());
    replica.replaceOperatorKeys({configuration(valid, 1)});
    REQUIRE(routes.isLoaded());
    CHECK(replica.isConfigurationReadable());

    SECTION("Unreadable")
    {
        replica.apply({configuration("{", 2)});
    }
    SECTION("Removed")
    {
        replica.apply({configuration({}, 0)});
    }
    SECTION("Not listed")
    {
        replica.replaceOperatorKeys({});
    }
    CHECK_FALSE(replica.isConfigurationReadable());
    replica.apply({{std::string(platform::OperatorPrefix) + "other", "x", 3, 3}});
    CHECK_FALSE(replica.isConfigurationReadable());
    replica.apply({configuration(valid, 4)});
    CHECK(replica.isConfigurationReadable());
}

// Guards against an instance that counts the reader's age from the end of its poll, which may have waited.
TEST_CASE("The age of a registry update survives encoding, also a negative one", "[serving]")
{
    RegistryUpdate update;
    update.isFromReader = true;
    update.confirmationAge = Milliseconds(-700);
    const auto decoded = RegistryUpdate::decode(update.encode());
    REQUIRE(decoded);
    CHECK(decoded->confirmationAge == Milliseconds(-700));

    update.confirmationAge.reset();
    CHECK_FALSE(RegistryUpdate::decode(update.encode())->confirmationAge);
}

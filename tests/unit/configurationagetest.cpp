#include "serving/configurationage.h"
#include "instance/registryfeed.h"

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

#include "platform/headercodec.h"

#include <catch2/catch.hpp>

using namespace flamingo;

// Guards against a budget that isn't enforced because its numbers are written in another way.
TEST_CASE("Token numbers are read however they are written, and a budget that can't be read is told apart", "[serving]")
{
    const auto metadataOf = [](const std::string &usage, const std::string &budget = "2900") {
        MessageHead head;
        head.fields.add("X-Token-Budget", budget);
        head.fields.add("X-Token-Usage", usage);
        return platform::decodeRequest(head);
    };
    for (const std::string usage :
         {"1460,290", "0000000001460,290", "1460,290             ", "1460,00000000000000290", " 1460 , 290", "000000000000000000000001460,290"}) {
        INFO(usage);
        CHECK(metadataOf(usage).promptTokens == Tokens(1460));
        CHECK(metadataOf(usage).maxOutputTokens == Tokens(290));
        CHECK_FALSE(metadataOf(usage).hasUnreadableBudget);
    }
    for (const std::string usage : {"1460", "1460,", "1460,x", "1460,-5", "1460,99999999999999999999999", "1,2,3", ""}) {
        INFO(usage);
        CHECK(metadataOf(usage).hasUnreadableBudget);
    }
    CHECK(metadataOf("1,2", "many").hasUnreadableBudget);
    CHECK(metadataOf("1,2", "-1").hasUnreadableBudget);
}

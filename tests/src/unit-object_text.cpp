/// @file
/// @brief json_object_writer output parses back to the members that were added.

#include "../../platform/json_object_writer.hpp"

#include <catch2/catch.hpp>

using plumspoke::platform::json_object_writer;

TEST_CASE("a serialized JSON object parses back to its members")
{
    json_object_writer writer;
    writer.add("number", -7).add("large", std::uint64_t(18446744073709551615U)).add("plain", "a.0.1.2");
    writer.add("quoted", "a \"b\" \\ c\n\t").add("wide", "\xc3\xa4").add("empty", "");
    const nlohmann::json parsed = nlohmann::json::parse(writer.finish());
    CHECK(parsed == nlohmann::json{{"number", -7},
                                   {"large", 18446744073709551615U},
                                   {"plain", "a.0.1.2"},
                                   {"quoted", "a \"b\" \\ c\n\t"},
                                   {"wide", "\xc3\xa4"},
                                   {"empty", ""}});
    CHECK(json_object_writer().finish() == "{}");
}

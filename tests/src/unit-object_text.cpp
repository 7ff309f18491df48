/// @file
/// @brief JSON objects that are written member by member read back as what was added.

#include "../../platform/json_object_writer.hpp"

#include <catch2/catch.hpp>

using plumspoke::platform::json_object_writer;

TEST_CASE("an object's text reads back as its members")
{
    json_object_writer content;
    content.add("number", -7).add("large", std::uint64_t(18446744073709551615U)).add("plain", "a.0.1.2");
    content.add("quoted", "a \"b\" \\ c\n\t").add("wide", "\xc3\xa4").add("empty", "");
    const nlohmann::json read = nlohmann::json::parse(content.finish());
    CHECK(read == nlohmann::json{{"number", -7},
                                 {"large", 18446744073709551615U},
                                 {"plain", "a.0.1.2"},
                                 {"quoted", "a \"b\" \\ c\n\t"},
                                 {"wide", "\xc3\xa4"},
                                 {"empty", ""}});
    CHECK(json_object_writer().finish() == "{}");
}

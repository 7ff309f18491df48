/// @file
/// @brief docs/JOB_COUNTERS.md names the counters that the program has, and no others; docs/OPERATIONS.md
/// names
///        the events of its log.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace
{

using names = std::set<std::string>;

void collect(const std::filesystem::path& file, const std::regex& pattern, names& into)
{
    std::ifstream in(file);
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    for (std::sregex_iterator at(text.begin(), text.end(), pattern), end; at != end; ++at)
    {
        into.insert((*at)[1]);
    }
}

} // namespace

TEST_CASE("the page of counters for jobs made of steps is complete")
{
    const std::filesystem::path root(PLUMSPOKE_SOURCE_FOLDER);
    names in_program;
    for (const auto& file : std::filesystem::directory_iterator(root / "src" / "job_server"))
    {
        collect(file.path(), std::regex("\"(plumspoke_[a-z_]+)"), in_program);
    }
    names on_page;
    collect(root / "docs" / "JOB_COUNTERS.md", std::regex("`(plumspoke_[a-z_]+)"), on_page);
    CHECK(in_program.size() > 30);
    CHECK(in_program == on_page);
}

TEST_CASE("the page of events names each one that the program writes")
{
    const std::filesystem::path root(PLUMSPOKE_SOURCE_FOLDER);
    names in_program;
    for (const char* folder : {"job_server", "dispatch", "replica"})
    {
        for (const auto& file : std::filesystem::directory_iterator(root / "src" / folder))
        {
            collect(file.path(),
                    std::regex("event(?: [a-z_]+)?\\(\\s*(?:part|\"[a-z]+\"),\\s*\"([a-z_]+)\""),
                    in_program);
        }
    }
    names on_page;
    collect(root / "docs" / "OPERATIONS.md", std::regex("`([a-z_]+)`"), on_page);
    CHECK(in_program.size() > 20);
    for (const std::string& name : in_program)
    {
        CAPTURE(name);
        CHECK(on_page.contains(name));
    }
}

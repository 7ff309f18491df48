/// @file
/// @brief docs/JOB_COUNTERS.md lists exactly the counters in the source; docs/OPERATIONS.md lists all log
///        events.

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

TEST_CASE("docs/JOB_COUNTERS.md lists exactly the counters in the source")
{
    const std::filesystem::path root(PLUMSPOKE_SOURCE_FOLDER);
    names in_source;
    for (const auto& file : std::filesystem::directory_iterator(root / "src" / "job_server"))
    {
        collect(file.path(), std::regex("\"(plumspoke_[a-z_]+)"), in_source);
    }
    names in_docs;
    collect(root / "docs" / "JOB_COUNTERS.md", std::regex("`(plumspoke_[a-z_]+)"), in_docs);
    CHECK(in_source.size() > 30);
    CHECK(in_source == in_docs);
}

TEST_CASE("docs/OPERATIONS.md lists every log event in the source")
{
    const std::filesystem::path root(PLUMSPOKE_SOURCE_FOLDER);
    names in_source;
    for (const char* folder : {"job_server", "dispatch", "replica"})
    {
        for (const auto& file : std::filesystem::directory_iterator(root / "src" / folder))
        {
            collect(file.path(),
                    std::regex("event(?: [a-z_]+)?\\(\\s*(?:part|\"[a-z]+\"),\\s*\"([a-z_]+)\""),
                    in_source);
        }
    }
    names in_docs;
    collect(root / "docs" / "OPERATIONS.md", std::regex("`([a-z_]+)`"), in_docs);
    CHECK(in_source.size() > 20);
    for (const std::string& name : in_source)
    {
        CAPTURE(name);
        CHECK(in_docs.contains(name));
    }
}

#include "plumspoke/metrics/memory.hpp"

#include <fstream>
#include <string>

namespace plumspoke::metrics
{

namespace
{

constexpr std::uint64_t bytes_per_kb = 1024;

} // namespace

std::uint64_t read_anonymous_bytes()
{
    std::ifstream status("/proc/self/status");
    std::string key;
    for (std::string rest; status >> key; std::getline(status, rest))
    {
        if (key == "RssAnon:")
        {
            std::uint64_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes * bytes_per_kb;
        }
    }
    return 0;
}

} // namespace plumspoke::metrics

#include "plumspoke/time/boot_id.hpp"

#include <fstream>

namespace plumspoke
{

std::string read_boot_id()
{
    std::ifstream in("/proc/sys/kernel/random/boot_id");
    std::string id;
    in >> id;
    return id;
}

} // namespace plumspoke

#include "plumspoke/settings/log_budget.hpp"

#include <algorithm>

namespace plumspoke::settings
{

namespace
{

constexpr std::int64_t mebibyte = 1024 * 1024;
constexpr std::int64_t default_bytes = 16 * mebibyte;
constexpr std::int64_t min_bytes = mebibyte;
constexpr std::int64_t memory_divisor = 16;
constexpr std::int64_t disk_divisor = 8;

} // namespace

std::size_t recommended_log_bytes(const vm_limits& limits) noexcept
{
    const std::int64_t of_memory = limits.memory_mb * mebibyte / memory_divisor;
    const std::int64_t of_disk = limits.disk_mb * mebibyte / disk_divisor;
    if (of_memory == 0 && of_disk == 0)
    {
        return default_bytes;
    }
    const bool both_known = of_memory > 0 && of_disk > 0;
    const std::int64_t share = both_known ? std::min(of_memory, of_disk) : std::max(of_memory, of_disk);
    return static_cast<std::size_t>(std::max(share, min_bytes));
}

} // namespace plumspoke::settings

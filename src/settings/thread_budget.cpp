#include "plumspoke/settings/thread_budget.hpp"

#include <algorithm>
#include <cmath>

namespace plumspoke::settings
{

namespace
{

// Threads per processor: calls answered per second times the time each call occupies its thread. Assumes that
// a call to an entry takes 2 ms of CPU time (HTTP, JSON and a gRPC call), which is 500 calls per second, and
// occupies its thread for 0.4 s until a leader answers.
constexpr double entry_threads_per_processor = 200;
// Calls to a control VM are announcements of workers, assumed to take 1 ms each; they are answered
// immediately if the leader is known.
constexpr double control_threads_per_processor = 80;
// Fewer threads can't absorb bursts: a quarter is reserved for connections that aren't kept alive
// (see http::server).
constexpr std::int64_t min_threads = 16;
constexpr std::int64_t max_threads = 256;
constexpr std::int64_t default_threads = 64;

// A CivetWeb thread has a stack of 100 KB and buffers for a request of up to 16 KB and its response.
constexpr std::int64_t thread_kb = 256;
constexpr double memory_share = 0.25; // for threads; the rest is for state and libraries
constexpr std::int64_t kb_per_mb = 1024;
constexpr std::int64_t bytes_per_mb = 1024 * 1024;
constexpr std::int64_t max_body_bytes = 4 * bytes_per_mb;
constexpr std::int64_t min_body_bytes = 64 * 1024;
constexpr std::int64_t body_memory_divisor = 8;
constexpr double descriptor_share = 0.125; // of the file descriptors, for incoming HTTP connections

// A leader has two connections to each worker that runs tasks. Three eighths of the file descriptors stay
// available for all others: if none is left, a gRPC server of this version permanently stops listening.
constexpr double worker_connection_share = 0.625;

} // namespace

std::int64_t recommended_http_threads(process_role role, const vm_limits& limits) noexcept
{
    if (limits.processors <= 0)
    {
        return std::min(default_threads, max_http_threads(limits));
    }
    const double each =
        role == process_role::entry ? entry_threads_per_processor : control_threads_per_processor;
    const auto needed = static_cast<std::int64_t>(std::ceil(each * limits.processors));
    return std::min(std::clamp(needed, min_threads, max_threads), max_http_threads(limits));
}

std::int64_t max_http_threads(const vm_limits& limits) noexcept
{
    std::int64_t limit = 4096;
    if (limits.memory_mb > 0)
    {
        const double kb = memory_share * static_cast<double>(limits.memory_mb * kb_per_mb);
        limit = std::min(limit, static_cast<std::int64_t>(kb) / thread_kb);
    }
    if (limits.open_files > 0)
    {
        limit = std::min(
            limit, static_cast<std::int64_t>(descriptor_share * static_cast<double>(limits.open_files)));
    }
    return limit;
}

std::int64_t recommended_max_body_bytes(const vm_limits& limits, std::int64_t threads) noexcept
{
    if (limits.memory_mb <= 0)
    {
        return max_body_bytes;
    }
    const std::int64_t share = limits.memory_mb * bytes_per_mb / body_memory_divisor;
    return std::clamp(share / std::max<std::int64_t>(threads, 1), min_body_bytes, max_body_bytes);
}

std::int64_t max_worker_connections(const vm_limits& limits) noexcept
{
    return static_cast<std::int64_t>(worker_connection_share * static_cast<double>(limits.open_files));
}

} // namespace plumspoke::settings

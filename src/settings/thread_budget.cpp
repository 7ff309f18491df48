#include "plumspoke/settings/thread_budget.hpp"

#include <algorithm>
#include <cmath>

namespace plumspoke::settings
{

namespace
{

// Threads for each processor: calls that it can answer a second, times how long each holds its thread.
// Assumed, not measured: an entry's call takes 2 ms of processor time (HTTP, JSON and a gRPC call) and is
// held for 0.4 s while a leader answers: 500 calls a second and processor.
constexpr double entry_threads_per_processor = 200;
// A control VM's calls are announcements of workers, assumed at 1 ms: answered at once where the leader is
// known.
constexpr double control_threads_per_processor = 80;
// Fewer serve no burst: a quarter is left for connections that aren't kept (see http::server).
constexpr std::int64_t least_threads = 16;
constexpr std::int64_t most_threads = 256;
constexpr std::int64_t threads_where_not_told = 64;

// A thread of CivetWeb has a stack of 100 KB and buffers for a request of up to 16 KB and its answer.
constexpr std::int64_t thread_kb = 256;
constexpr double memory_share = 0.25; // for threads; the rest for state and libraries
constexpr std::int64_t kb_per_mb = 1024;
constexpr double file_share = 0.125; // of the descriptors, for connections to us over HTTP

// A leader has two connections to each worker that runs something. Three eighths stay for all others: with
// none left a gRPC server of this version stops listening for good.
constexpr double worker_connection_share = 0.625;

} // namespace

std::int64_t needed_http_threads(process_role role, const vm_limits& of) noexcept
{
    if (of.processors <= 0)
    {
        return std::min(threads_where_not_told, most_http_threads(of));
    }
    const double each =
        role == process_role::entry ? entry_threads_per_processor : control_threads_per_processor;
    const auto needed = static_cast<std::int64_t>(std::ceil(each * of.processors));
    return std::min(std::clamp(needed, least_threads, most_threads), most_http_threads(of));
}

std::int64_t most_http_threads(const vm_limits& of) noexcept
{
    std::int64_t most = 4096;
    if (of.memory_mb > 0)
    {
        const double kb = memory_share * static_cast<double>(of.memory_mb * kb_per_mb);
        most = std::min(most, static_cast<std::int64_t>(kb) / thread_kb);
    }
    if (of.open_files > 0)
    {
        most = std::min(most, static_cast<std::int64_t>(file_share * static_cast<double>(of.open_files)));
    }
    return most;
}

std::int64_t most_worker_connections(const vm_limits& of) noexcept
{
    return static_cast<std::int64_t>(worker_connection_share * static_cast<double>(of.open_files));
}

} // namespace plumspoke::settings

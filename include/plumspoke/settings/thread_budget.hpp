#pragma once

/// @file
/// @brief Derives the number of connections that a daemon serves at once, each with a thread, from the
///        resources of its VM.
///
/// Sized for hundreds of daemons on small VMs of which few are busy at the same time, and for callers that
/// arrive faster than one processor can answer. More threads than the processor can use only occupy memory
/// and thread ids: 152 daemons with 256 threads each, plus those of their libraries, had 46,000 threads,
/// more than the 32,768 thread ids of one machine.

#include "plumspoke/settings/process_settings.hpp"

#include <cstdint>

namespace plumspoke::settings
{

/// @brief Resources of the VM available to a process; 0: unknown.
struct vm_limits
{
    double processors = 0;
    std::int64_t memory_mb = 0;
    std::int64_t open_files = 0;
    std::int64_t disk_mb = 0;

    bool operator==(const vm_limits&) const = default;
};

/// @brief Number of connection threads that a role can use on such a VM.
[[nodiscard]] std::int64_t recommended_http_threads(process_role role, const vm_limits& limits) noexcept;

/// @brief Maximum number of connection threads that the memory and file descriptors of such a VM allow.
[[nodiscard]] std::int64_t max_http_threads(const vm_limits& limits) noexcept;

/// @brief Maximum size of a request body, in bytes, at which all threads together may hold a body and keep
///        the memory of it.
/// @param threads number of connection threads
[[nodiscard]] std::int64_t recommended_max_body_bytes(const vm_limits& limits, std::int64_t threads) noexcept;

/// @brief Maximum number of connections from a leader to workers. The remaining file descriptors stay
///        available for peers, entries, operators and files.
/// @return 0 (no limit) if the number of file descriptors is unknown
[[nodiscard]] std::int64_t max_worker_connections(const vm_limits& limits) noexcept;

} // namespace plumspoke::settings

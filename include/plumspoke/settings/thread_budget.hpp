#pragma once

/// @file
/// @brief How many connections a daemon serves at once, each with a thread, from what its VM has.
///
/// Load that it answers: hundreds of daemons on small VMs, of which a few are busy at a time; and, on one of
/// them, callers that come faster than its processor answers. More threads than the processor can feed only
/// hold memory and thread ids: 152 daemons with 256 threads each and those of their libraries were 46,000,
/// more than the 32,768 ids of one machine.

#include "plumspoke/settings/process_settings.hpp"

#include <cstdint>

namespace plumspoke::settings
{

/// @brief What a VM gives to a process; 0 where it isn't told.
struct vm_limits
{
    double processors = 0;
    std::int64_t memory_mb = 0;
    std::int64_t open_files = 0;

    bool operator==(const vm_limits&) const = default;
};

/// @brief The threads for connections that a role needs at most on such a VM.
[[nodiscard]] std::int64_t needed_http_threads(process_role role, const vm_limits& of) noexcept;

/// @brief The most threads for connections that such a VM bears, by its memory and its descriptors.
[[nodiscard]] std::int64_t most_http_threads(const vm_limits& of) noexcept;

/// @brief The most connections that a leader may hold to workers: the rest of the descriptors is left to
///        peers, entries, operators and files, whatever happens to the workers' connections.
/// @return 0 where the VM's descriptors aren't told: no limit
[[nodiscard]] std::int64_t most_worker_connections(const vm_limits& of) noexcept;

} // namespace plumspoke::settings

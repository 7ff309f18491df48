#pragma once

/// @file
/// @brief Notices that a gRPC server of this process has stopped listening.
///
/// Symptom that it answers: a control VM that nobody could connect to until its process was started again, 35
/// s later; its own connections went on. gRPC's server gives its listening socket up for good where accept
/// fails, as it does when the process has no descriptors left for a moment; it only logs that.

#include <cstdint>

namespace plumspoke::job_server
{

/// @brief Takes the library's error lines into our log, and counts those of a failed accept.
void install_grpc_log_handler();

/// @brief Times that a gRPC server of this process failed to accept a connection.
[[nodiscard]] std::uint64_t failed_accepts() noexcept;

} // namespace plumspoke::job_server

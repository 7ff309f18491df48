#pragma once

/// @file
/// @brief Detects from gRPC's log that a gRPC server of this process has stopped listening.
///
/// When accept fails, for example because the process is briefly out of file descriptors, gRPC's server
/// closes its listening socket for good and only logs the error. A control VM then stayed unreachable for 35
/// s, until its process was restarted, while its own outgoing connections kept working.

#include <cstdint>

namespace plumspoke::job_server
{

/// @brief Installs a gRPC log handler that writes the library's error lines to our log and counts failed
///        accepts.
void install_grpc_log_handler();

/// @brief How often a gRPC server of this process failed to accept a connection.
[[nodiscard]] std::uint64_t failed_accepts() noexcept;

} // namespace plumspoke::job_server

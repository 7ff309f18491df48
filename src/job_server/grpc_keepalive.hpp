#pragma once

/// @file
/// @brief Keepalive settings of a gRPC server.

#include "plumspoke/time/time.hpp"

#include <grpcpp/server_builder.h>

namespace plumspoke::job_server
{

// Calls detect an unresponsive peer by their own timeouts; keepalive only frees what the server holds for it.
constexpr auto keepalive_interval = milliseconds(5000);
constexpr auto keepalive_timeout = milliseconds(3000); // a frozen VM resumes sooner, or is restarted

/// @brief Makes a server close connections whose peer answers no pings, including those without calls.
inline void enable_keepalive(grpc::ServerBuilder& builder)
{
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(keepalive_interval.count()));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(keepalive_timeout.count()));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
}

} // namespace plumspoke::job_server

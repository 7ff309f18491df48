#pragma once

/// @file
/// @brief A gRPC server's watch over connections whose other end has gone silent.

#include "plumspoke/time/time.hpp"

#include <grpcpp/server_builder.h>

namespace plumspoke::job_server
{

// Calls notice silence by their own limits; this only frees what a server holds for a peer that left.
constexpr auto keepalive_interval = milliseconds(5000);
constexpr auto keepalive_timeout = milliseconds(3000); // a VM that stands still comes back sooner or anew

/// @brief Lets a server end connections that answer nothing, also those without calls.
inline void enable_keepalive(grpc::ServerBuilder& of)
{
    of.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(keepalive_interval.count()));
    of.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(keepalive_timeout.count()));
    of.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    of.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
}

} // namespace plumspoke::job_server

#pragma once

/// @file
/// @brief A gRPC server's watch over connections whose other end has gone silent.

#include "plumspoke/time/time.hpp"

#include <grpcpp/server_builder.h>

namespace plumspoke::job_server
{

// Calls notice silence by their own limits; this only frees what a server holds for a peer that left.
constexpr auto ask_silent_peer_after = milliseconds(5000);
constexpr auto silent_peer_answer_limit =
    milliseconds(3000); // a VM that stands still comes back sooner or anew

/// @brief Lets a server end connections that answer nothing, also those without calls.
inline void end_silent_connections(grpc::ServerBuilder& of)
{
    of.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(ask_silent_peer_after.count()));
    of.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(silent_peer_answer_limit.count()));
    of.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    of.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
}

} // namespace plumspoke::job_server

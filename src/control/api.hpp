#pragma once

// The control role's interfaces: HTTP for operators and workers, gRPC for entries.

#include "plumspoke/control/server.hpp"
#include "plumspoke/metrics/metrics.hpp"

namespace grpc
{
class Service;
}

namespace plumspoke::control
{

/// Handles one HTTP request of an operator or a worker.
http::response answer(server& self, const http::request& request);

std::unique_ptr<grpc::Service> make_entry_service(server& self);

} // namespace plumspoke::control

#pragma once

/// @file
/// @brief A peer of the replicas' transport that replies late.

#include "plumspoke/plumspoke.grpc.pb.h"
#include "plumspoke/replica/grpc_transport.hpp"
#include "plumspoke/time/time.hpp"

#include "free_address.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace plumspoke::test
{

/// @brief Records when each message arrives, by term, and replies after a delay.
class delayed_peer final : public wire::ReplicaPeer::Service
{
  public:
    /// @param delay the delay of each reply, by the number of calls before
    explicit delayed_peer(std::function<milliseconds(int)> delay) : delay_(std::move(delay))
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address_, grpc::InsecureServerCredentials());
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
        REQUIRE(server_ != nullptr);
    }
    delayed_peer(const delayed_peer&) = delete;
    delayed_peer& operator=(const delayed_peer&) = delete;
    ~delayed_peer() override
    {
        server_->Shutdown();
    }

    [[nodiscard]] const std::string& address() const noexcept
    {
        return address_;
    }

    /// @brief When each message arrived first.
    [[nodiscard]] std::map<replica::term_number, time_point> arrivals()
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }

    grpc::Status Deliver(grpc::ServerContext* /*context*/,
                         const wire::ReplicaBatch* request,
                         wire::Ack* /*reply*/) override
    {
        const time_point now = boot_clock::now();
        {
            const std::lock_guard lock(mutex_);
            for (const wire::ReplicaMessage& one : request->messages())
            {
                arrivals_.try_emplace(one.term(), now);
            }
        }
        std::this_thread::sleep_for(delay_(calls_++));
        return grpc::Status::OK;
    }

  private:
    std::string address_ = free_address();
    std::function<milliseconds(int)> delay_;
    std::atomic<int> calls_{0};
    std::mutex mutex_;
    std::map<replica::term_number, time_point> arrivals_;
    std::unique_ptr<grpc::Server> server_;
};

inline replica::message make_heartbeat(replica::term_number term)
{
    return {"a", "b", term, replica::append{}};
}

} // namespace plumspoke::test

/// @file
/// @brief What the transport keeps for a peer that is slow: one snapshot at most, the newest.

#include "plumspoke/plumspoke.grpc.pb.h"
#include "plumspoke/replica/grpc_transport.hpp"

#include "free_address.hpp"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>

using namespace plumspoke;
using namespace plumspoke::replica;

namespace
{

/// @brief Holds the first call until it is let go, and keeps what the later ones bring.
class slow_peer final : public wire::ReplicaPeer::Service
{
  public:
    grpc::Status Deliver(grpc::ServerContext* /*context*/,
                         const wire::ReplicaBatch* request,
                         wire::Ack* /*reply*/) override
    {
        std::unique_lock lock(mutex_);
        if (++calls_ == 1)
        {
            changed_.notify_all();
            changed_.wait_for(lock,
                              seconds(10),
                              [this]
                              {
                                  return let_go_;
                              });
            return grpc::Status::OK;
        }
        for (const wire::ReplicaMessage& one : request->messages())
        {
            received_.push_back(one);
        }
        changed_.notify_all();
        return grpc::Status::OK;
    }

    [[nodiscard]] bool wait_for_first()
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock,
                                 seconds(5),
                                 [this]
                                 {
                                     return calls_ > 0;
                                 });
    }
    void let_go()
    {
        const std::lock_guard lock(mutex_);
        let_go_ = true;
        changed_.notify_all();
    }

    /// @brief What came after the first call, once a message of `last_term` is among it.
    [[nodiscard]] std::vector<wire::ReplicaMessage> wait_for(term_number last_term)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock,
                          seconds(5),
                          [this, last_term]
                          {
                              return !received_.empty() && received_.back().term() == last_term;
                          });
        return received_;
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int calls_ = 0;
    bool let_go_ = false;
    std::vector<wire::ReplicaMessage> received_;
};

message of_term(term_number term, message_body body)
{
    return {"a", "b", term, std::move(body)};
}

} // namespace

TEST_CASE("of the snapshots that wait for a slow peer only the newest is sent, and all else that waits")
{
    const std::string address = test::free_address();
    slow_peer peer;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(&peer);
    const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    REQUIRE(server != nullptr);
    {
        grpc_transport sender("127.0.0.1:1");
        sender.send(address, of_term(1, append{}));
        REQUIRE(peer.wait_for_first());
        sender.send(address, of_term(2, install_snapshot{}));
        sender.send(address, of_term(3, append{}));
        sender.send(address, of_term(4, install_snapshot{}));
        sender.send(address, of_term(5, install_snapshot{}));
        sender.send(address, of_term(6, append{}));
        peer.let_go();
        std::vector<term_number> terms;
        for (const wire::ReplicaMessage& one : peer.wait_for(6))
        {
            if (one.term() > 1) // the first message may come again where the call ran into its limit
            {
                terms.push_back(one.term());
            }
        }
        CHECK(terms == std::vector<term_number>{3, 5, 6});
    }
    server->Shutdown();
}

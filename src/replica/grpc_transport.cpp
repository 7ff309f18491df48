#include "plumspoke/replica/grpc_transport.hpp"

#include "grpc_peer.hpp"
#include "plumspoke/logging/event.hpp"
#include "plumspoke/plumspoke.grpc.pb.h"
#include "plumspoke/replica/call_order.hpp"
#include "plumspoke/replica/codec.hpp"
#include "plumspoke/replica/snapshot_queue.hpp"

#include <algorithm>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace plumspoke::replica
{

namespace
{

constexpr auto join_timeout = milliseconds(500);
// Nothing queues behind a snapshot, which has a separate connection. Its deadline grows with its size, so
// that it is met even if both ends are busy and have a third of a processor each.
constexpr auto snapshot_call_timeout = milliseconds(2000);
constexpr std::size_t min_snapshot_bytes_per_ms = 500;
// Flow-control window of a stream. With the library's default of 64 KB, each window waits until both ends
// were scheduled on a busy processor, about 50 ms, which limits a transfer to 1 MB/s.
constexpr int stream_lookahead_bytes = 8 << 20;

constexpr auto reorder_timeout = milliseconds(20); // calls of one sender differ by less, unless one was lost
constexpr std::size_t max_senders = 64;
// For snapshots: connecting takes longer if both ends are busy. With 100 ms, none of six attempts within 5 s
// got as far as a connection.
constexpr auto snapshot_connect_timeout = milliseconds(2000);

std::int64_t to_ms(boot_clock::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace

/// @brief Sends snapshots to one address on a separate connection and thread, so that heartbeats are not
///        delayed.
class grpc_transport::snapshot_sender
{
  public:
    snapshot_sender(std::string address, std::string own_address, transport_counts& counts)
        : address_(std::move(address)), own_address_(std::move(own_address)), counts_(counts), thread_(
                                                                                                   [this]
                                                                                                   {
                                                                                                       run();
                                                                                                   })
    {
    }
    snapshot_sender(const snapshot_sender&) = delete;
    snapshot_sender& operator=(const snapshot_sender&) = delete;

    ~snapshot_sender()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
            if (in_flight_call_ != nullptr)
            {
                in_flight_call_->TryCancel();
            }
        }
        wake_.notify_one();
        thread_.join();
    }

    void send(const message& sent)
    {
        {
            const std::lock_guard lock(mutex_);
            queued_at_ = boot_clock::now();
            if (queue_.push(sent) && in_flight_call_ != nullptr)
            {
                in_flight_call_->TryCancel();
            }
        }
        wake_.notify_one();
    }

  private:
    void run()
    {
        while (true)
        {
            wire::ReplicaBatch next;
            next.set_from_address(own_address_);
            grpc::ClientContext context;
            time_point queued_at;
            {
                std::unique_lock lock(mutex_);
                wake_.wait(lock,
                           [this]
                           {
                               return stopping_ || queue_.has_pending();
                           });
                if (stopping_)
                {
                    return;
                }
                queued_at = queued_at_;
                *next.add_messages() = to_wire(*queue_.pop());
                in_flight_call_ = &context;
            }
            const bool delivered = deliver(context, next, queued_at);
            const std::lock_guard lock(mutex_);
            in_flight_call_ = nullptr;
            queue_.finish(delivered);
        }
    }

    [[nodiscard]] bool
    deliver(grpc::ClientContext& context, const wire::ReplicaBatch& sent, time_point queued_at)
    {
        const time_point started_at = boot_clock::now();
        const std::size_t bytes = sent.ByteSizeLong();
        const wire::SnapshotMeta& what = sent.messages(0).install_snapshot().snapshot().meta();
        context.set_deadline(std::chrono::system_clock::now() + snapshot_call_timeout +
                             milliseconds(bytes / min_snapshot_bytes_per_ms));
        counts_.bytes += bytes;
        // Uses a new connection each time: snapshots are rare, and an old connection may be unresponsive.
        const auto stub =
            wire::ReplicaPeer::NewStub(make_replica_channel(address_, snapshot_connect_timeout));
        wire::Ack ack;
        const grpc::Status status = stub->Deliver(&context, sent, &ack);
        const auto elapsed = boot_clock::now() - started_at;
        logging::write(logging::event("replica", "snapshot_sent", "Finished sending a snapshot to a member.")
                           .with("to", address_)
                           .with("member", sent.messages(0).to())
                           .with("index", static_cast<std::int64_t>(what.index()))
                           .with("bytes", static_cast<std::int64_t>(bytes))
                           .with("queued_ms", to_ms(started_at - queued_at))
                           .with("took_ms", to_ms(elapsed))
                           .with("error", status.ok() ? "" : status.error_message()));
        return status.ok();
    }

    std::string address_;
    std::string own_address_;
    transport_counts& counts_;
    std::mutex mutex_;
    std::condition_variable wake_;
    snapshot_queue queue_;
    time_point queued_at_; // of the pending snapshot
    grpc::ClientContext* in_flight_call_ = nullptr;
    bool stopping_ = false;
    std::thread thread_;
};

/// @brief The senders of all addresses.
class grpc_transport::peers
{
  public:
    explicit peers(std::string own_address) : own_address_(std::move(own_address))
    {
    }

    grpc_peer& at(const std::string& address)
    {
        const std::lock_guard lock(mutex_);
        std::unique_ptr<grpc_peer>& found = peers_[address];
        if (found == nullptr)
        {
            found = std::make_unique<grpc_peer>(address, own_address_, counts_);
        }
        return *found;
    }

    snapshot_sender& snapshot_sender_for(const std::string& address)
    {
        const std::lock_guard lock(mutex_);
        std::unique_ptr<snapshot_sender>& found = snapshot_senders_[address];
        if (found == nullptr)
        {
            found = std::make_unique<snapshot_sender>(address, own_address_, counts_);
        }
        return *found;
    }

    [[nodiscard]] const transport_counts& counts() const noexcept
    {
        return counts_;
    }

  private:
    std::string own_address_;
    std::mutex mutex_;
    transport_counts counts_;
    std::map<std::string, std::unique_ptr<grpc_peer>> peers_;
    std::map<std::string, std::unique_ptr<snapshot_sender>> snapshot_senders_;
};

grpc_transport::grpc_transport(std::string own_address)
    : peers_(std::make_unique<peers>(std::move(own_address)))
{
}

grpc_transport::~grpc_transport() = default;

void grpc_transport::send(const std::string& address, const message& sent)
{
    if (std::holds_alternative<install_snapshot>(sent.body))
    {
        peers_->snapshot_sender_for(address).send(sent);
        return;
    }
    peers_->at(address).send(to_wire(sent));
}

void grpc_transport::reconnect(const std::string& address)
{
    peers_->at(address).reconnect();
}

std::uint64_t grpc_transport::bytes_sent() const noexcept
{
    return peers_->counts().bytes;
}

std::uint64_t grpc_transport::timed_out_calls() const noexcept
{
    return peers_->counts().timed_out_calls;
}

namespace
{

/// @brief Passes received messages to the driver.
class replica_service final : public wire::ReplicaPeer::Service
{
  public:
    explicit replica_service(driver& target) : target_(target)
    {
    }

    grpc::Status Deliver(grpc::ServerContext* /*context*/,
                         const wire::ReplicaBatch* request,
                         wire::Ack* /*reply*/) override
    {
        const call_number number{request->connection(), request->sequence()};
        if (number.sequence == 0)
        {
            return receive(*request);
        }
        order_.begin(request->from_address(), number);
        grpc::Status status = receive(*request);
        order_.end(request->from_address(), number);
        return status;
    }

    grpc::Status
    Join(grpc::ServerContext* /*context*/, const wire::JoinRequest* request, wire::JoinReply* reply) override
    {
        reply->set_accepted(target_.join(from_wire(request->member())));
        reply->set_leader_address(target_.status().leader_address);
        return grpc::Status::OK;
    }

  private:
    [[nodiscard]] grpc::Status receive(const wire::ReplicaBatch& batch)
    {
        for (const wire::ReplicaMessage& item : batch.messages())
        {
            std::optional<message> received = from_wire(item);
            if (!received.has_value())
            {
                return {grpc::StatusCode::INVALID_ARGUMENT, "a message has no body that this version knows"};
            }
            target_.receive(std::move(*received), batch.from_address());
        }
        return grpc::Status::OK;
    }

    driver& target_;
    call_order order_{reorder_timeout, max_senders};
};

} // namespace

void allow_large_messages(grpc::ServerBuilder& builder)
{
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, stream_lookahead_bytes);
}

std::unique_ptr<grpc::Service> make_replica_service(driver& target)
{
    return std::make_unique<replica_service>(target);
}

bool request_join(std::string& address, const member& joining)
{
    const auto stub = wire::ReplicaPeer::NewStub(make_replica_channel(address, join_timeout));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + join_timeout);
    wire::JoinRequest request;
    *request.mutable_member() = to_wire(joining);
    wire::JoinReply reply;
    const grpc::Status status = stub->Join(&context, request, &reply);
    if (status.ok() && !reply.accepted() && !reply.leader_address().empty())
    {
        address = reply.leader_address();
    }
    return status.ok() && reply.accepted();
}

} // namespace plumspoke::replica

#include "plumspoke/replica/grpc_transport.hpp"

#include "plumspoke/logging/event.hpp"
#include "plumspoke/plumspoke.grpc.pb.h"
#include "plumspoke/replica/codec.hpp"
#include "plumspoke/replica/snapshot_queue.hpp"

#include <algorithm>
#include <condition_variable>
#include <deque>
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

constexpr std::size_t max_queued_messages = 256;
constexpr auto join_timeout = milliseconds(500);
// A call usually takes about 2 ms. A heartbeat (every 150 ms) and its reply may both hit an unresponsive
// connection, and have to succeed on new ones within the shortest lease of a leader (600 ms).
constexpr auto min_call_timeout = milliseconds(150);
constexpr auto max_call_timeout = milliseconds(500);
constexpr auto slow_call = min_call_timeout; // for the log
constexpr int timeout_factor = 4;            // timeout of a peer, in multiples of its last call's duration
// Two busy machines with a third of a processor each transfer 1.2 MB in 1.35 s.
constexpr std::size_t min_bytes_per_ms = 1000;
// Heartbeats queue behind a batch, and a batch that grows with each failed attempt would never meet its
// deadline.
constexpr std::size_t max_batch_bytes = 128 * 1024;
// Nothing queues behind a snapshot, which has a separate connection. Its deadline grows with its size, so
// that it is met even if both ends are busy and have a third of a processor each.
constexpr auto snapshot_call_timeout = milliseconds(2000);
constexpr std::size_t min_snapshot_bytes_per_ms = 500;
constexpr int max_message_bytes = 256 << 20;
// Flow-control window of a stream. With the library's default of 64 KB, each window waits until both ends
// were scheduled on a busy processor, about 50 ms, which limits a transfer to 1 MB/s.
constexpr int stream_lookahead_bytes = 8 << 20;

// For batches: short, so that a restarted VM is reached soon.
constexpr auto connect_timeout = milliseconds(100);
// For snapshots: connecting takes longer if both ends are busy. With 100 ms, none of six attempts within 5 s
// got as far as a connection.
constexpr auto snapshot_connect_timeout = milliseconds(2000);

std::int64_t to_ms(boot_clock::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

std::shared_ptr<grpc::Channel> make_channel(const std::string& address, milliseconds limit = connect_timeout)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(limit.count()));
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    // Otherwise a new channel would reuse the connection of the old one, which may be unresponsive.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

/// @brief Counters shared by all peers.
struct grpc_transport::transport_counts
{
    std::atomic<std::uint64_t> bytes{0};
    std::atomic<std::uint64_t> timed_out_calls{0};
};

/// @brief The queue and the sending thread of one address.
class grpc_transport::peer
{
  public:
    peer(const std::string& address, const std::string& own_address, transport_counts& counts)
        : address_(address), own_address_(own_address),
          stub_(wire::ReplicaPeer::NewStub(make_channel(address))), counts_(counts), thread_(
                                                                                         [this]
                                                                                         {
                                                                                             run();
                                                                                         })
    {
    }
    peer(const peer&) = delete;
    peer& operator=(const peer&) = delete;

    ~peer()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_one();
        thread_.join();
    }

    /// @brief Uses a new channel for the next call if the last one failed: the library delays further
    /// attempts
    ///        on a channel that could not connect.
    void reconnect() noexcept
    {
        reconnect_requested_ = true;
    }

    void send(wire::ReplicaMessage sent)
    {
        {
            const std::lock_guard lock(mutex_);
            if (queue_.size() >= max_queued_messages)
            {
                queue_.pop_front(); // the oldest message is the least useful; nodes repeat what is needed
            }
            queue_.push_back({std::move(sent), boot_clock::now()});
        }
        wake_.notify_one();
    }

  private:
    struct queued_message
    {
        wire::ReplicaMessage sent;
        time_point queued_at;
    };
    struct batch
    {
        wire::ReplicaBatch sent;
        time_point queued_at; // of its oldest message
    };

    void run()
    {
        while (true)
        {
            batch next;
            next.sent.set_from_address(own_address_);
            {
                std::unique_lock lock(mutex_);
                wake_.wait(lock,
                           [this]
                           {
                               return stopping_ || !queue_.empty();
                           });
                if (stopping_)
                {
                    return;
                }
                next.queued_at = queue_.front().queued_at;
                add_queued(next.sent);
            }
            deliver(next);
        }
    }

    /// @brief Moves queued messages into a batch, up to its maximum size. Requires mutex_ to be held.
    void add_queued(wire::ReplicaBatch& to)
    {
        std::size_t bytes = to.ByteSizeLong();
        while (!queue_.empty())
        {
            bytes += queue_.front().sent.ByteSizeLong();
            if (to.messages_size() > 0 && bytes > max_batch_bytes)
            {
                return; // the rest goes into the next call
            }
            *to.add_messages() = std::move(queue_.front().sent);
            queue_.pop_front();
        }
    }

    void deliver(batch& sent)
    {
        if (try_deliver(sent))
        {
            return;
        }
        // Retries at once, together with messages queued since: nodes repeat a lost message too late to keep
        // a lease, and they tolerate duplicates.
        {
            const std::lock_guard lock(mutex_);
            if (stopping_)
            {
                return;
            }
            add_queued(sent.sent);
        }
        (void)try_deliver(sent); // after a second failure the node repeats its messages
    }

    /// @brief Logs a call that fails, or that is slow together with the wait of its oldest message, except
    ///        calls to a peer that isn't running.
    void log_slow_call(const batch& called, time_point started_at, const grpc::Status& status) const
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_at);
        const auto queued = std::chrono::duration_cast<milliseconds>(started_at - called.queued_at);
        if (elapsed + queued < slow_call && (status.ok() || !answered_))
        {
            return;
        }
        logging::write(logging::event("replica", "slow_call", "A call to a peer was slow or failed.")
                           .with("to", address_)
                           .with("messages", called.sent.messages_size())
                           .with("bytes", static_cast<std::int64_t>(called.sent.ByteSizeLong()))
                           .with("queued_ms", queued.count())
                           .with("took_ms", elapsed.count())
                           .with("error", status.ok() ? "" : status.error_message()));
    }

    [[nodiscard]] bool try_deliver(const batch& called)
    {
        if (reconnect_requested_.exchange(false) && failed_)
        {
            stub_ = wire::ReplicaPeer::NewStub(make_channel(address_));
        }
        const time_point started_at = boot_clock::now();
        const std::size_t bytes = called.sent.ByteSizeLong();
        const auto transfer_time = milliseconds(bytes / min_bytes_per_ms);
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + call_timeout_ + transfer_time);
        wire::Ack ack;
        counts_.bytes += bytes;
        const grpc::Status status = stub_->Deliver(&context, called.sent, &ack);
        const auto elapsed = std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_at);
        log_slow_call(called, started_at, status);
        failed_ = !status.ok();
        if (status.ok())
        {
            answered_ = true;
            call_timeout_ =
                std::clamp<milliseconds>(timeout_factor * elapsed, min_call_timeout, max_call_timeout);
            return true;
        }
        call_timeout_ = std::min<milliseconds>(2 * call_timeout_, max_call_timeout);
        if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
        {
            counts_.timed_out_calls += answered_ ? 1 : 0;
            answered_ = false;
            // An unresponsive connection may never recover while a new one works. A refused connection needs
            // no new channel, since gRPC reports and reconnects it.
            stub_ = wire::ReplicaPeer::NewStub(make_channel(address_));
        }
        return false;
    }

    std::string address_;
    std::string own_address_;
    std::unique_ptr<wire::ReplicaPeer::Stub> stub_;
    bool answered_ = false; // on this stub's connection
    bool failed_ = false;   // the last call
    std::atomic<bool> reconnect_requested_{false};
    milliseconds call_timeout_ = min_call_timeout;
    transport_counts& counts_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<queued_message> queue_;
    bool stopping_ = false;
    std::thread thread_;
};

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
        const auto stub = wire::ReplicaPeer::NewStub(make_channel(address_, snapshot_connect_timeout));
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

    peer& at(const std::string& address)
    {
        const std::lock_guard lock(mutex_);
        std::unique_ptr<peer>& found = peers_[address];
        if (found == nullptr)
        {
            found = std::make_unique<peer>(address, own_address_, counts_);
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
    std::map<std::string, std::unique_ptr<peer>> peers_;
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
        for (const wire::ReplicaMessage& item : request->messages())
        {
            std::optional<message> received = from_wire(item);
            if (!received.has_value())
            {
                return {grpc::StatusCode::INVALID_ARGUMENT, "a message has no body that this version knows"};
            }
            target_.receive(std::move(*received), request->from_address());
        }
        return grpc::Status::OK;
    }

    grpc::Status
    Join(grpc::ServerContext* /*context*/, const wire::JoinRequest* request, wire::JoinReply* reply) override
    {
        reply->set_accepted(target_.join(from_wire(request->member())));
        reply->set_leader_address(target_.status().leader_address);
        return grpc::Status::OK;
    }

  private:
    driver& target_;
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
    const auto stub = wire::ReplicaPeer::NewStub(make_channel(address, join_timeout));
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

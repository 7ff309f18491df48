#pragma once

/// @file
/// @brief Sends messages to one replica, with several calls in flight.

#include "plumspoke/plumspoke.grpc.pb.h"
#include "plumspoke/time/time.hpp"

#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <deque>
#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace plumspoke::replica
{

/// @brief Largest message between replicas, in bytes: a snapshot.
inline constexpr int max_message_bytes = 256 << 20;

/// @brief Longest time to establish a connection for batches: short, so that a restarted VM is reached soon.
inline constexpr auto batch_connect_timeout = milliseconds(100);

/// @brief Opens a channel with a connection of its own.
[[nodiscard]] std::shared_ptr<grpc::Channel> make_replica_channel(const std::string& address,
                                                                  milliseconds connect_timeout);

/// @brief Counters shared by all peers.
struct transport_counts
{
    std::atomic<std::uint64_t> bytes{0};
    std::atomic<std::uint64_t> timed_out_calls{0};
};

/// @brief The queue of one address and a thread that sends it in batches.
///
/// A batch doesn't wait for the reply to the one before: on a busy machine a call takes longer than a
/// heartbeat interval, and a leader's lease would end while heartbeats and their acknowledgements wait.
/// Batches take effect in the order in which they were sent (see call_order).
class grpc_peer
{
  public:
    grpc_peer(std::string address, std::string own_address, transport_counts& counts);
    grpc_peer(const grpc_peer&) = delete;
    grpc_peer& operator=(const grpc_peer&) = delete;
    ~grpc_peer();

    /// @brief Uses a new channel for the next call if the last one failed: the library delays further
    ///        attempts on a channel that could not connect.
    void reconnect() noexcept;

    void send(wire::ReplicaMessage sent);

  private:
    struct queued_message
    {
        wire::ReplicaMessage sent;
        time_point queued_at;
    };

    /// @brief A batch in flight.
    struct call : boost::intrusive_ref_counter<call>
    {
        grpc::ClientContext context;
        std::unique_ptr<grpc::ClientAsyncResponseReader<wire::Ack>> reader;
        wire::ReplicaBatch sent;
        wire::Ack reply;
        grpc::Status status; // of a call that has ended
        bool ended = false;
        std::size_t bytes = 0;
        time_point queued_at; // of its oldest message
        time_point started_at;
        time_point ended_at;
    };

    void run();
    void wake();
    void start_due_call();
    [[nodiscard]] bool has_capacity() const;
    [[nodiscard]] std::size_t bytes_in_flight() const;
    [[nodiscard]] time_point next_start_at() const;
    [[nodiscard]] bool has_queued();
    [[nodiscard]] boost::intrusive_ptr<call> add_call();
    void start(call& added);

    /// @brief Waits for the end of a call or for a message.
    void wait_for_event(time_point until);
    void handle_event(void* tag);
    void finish_ended_calls();
    /// @brief Whether a call timed out although its connection answers: nothing is sent again.
    [[nodiscard]] bool was_late_only(const call& failed);
    void on_success(const call& ended);
    void on_failure(const call& failed);
    void record_duration(time_point ended_at, milliseconds elapsed);
    void cancel_calls();
    [[nodiscard]] bool all_calls_ended() const;
    void requeue_unanswered();
    void begin_sequence();
    void use_new_channel();
    void log_slow_call(const call& ended) const;

    std::string address_;
    std::string own_address_;
    std::unique_ptr<wire::ReplicaPeer::Stub> stub_;
    std::uint64_t connection_ = 0;
    std::uint64_t sequence_ = 0;
    bool answered_ = false; // on this connection
    bool failed_ = false;   // the last call
    bool retrying_ = false; // messages of a failed call are sent once more
    std::atomic<bool> reconnect_requested_{false};
    milliseconds call_timeout_;
    milliseconds longest_call_{0}; // within longest_call_lifetime
    time_point longest_call_ended_at_{};
    time_point last_start_at_{};
    time_point last_answer_at_{}; // on this connection
    transport_counts& counts_;
    // Calls end on this queue rather than in handlers on the library's threads: a channel must not be
    // destroyed there.
    grpc::CompletionQueue events_;
    grpc::Alarm message_queued_;
    std::vector<boost::intrusive_ptr<call>> calls_; // in the order in which they were sent
    std::mutex mutex_;                              // guards the two members below
    std::deque<queued_message> queue_;
    bool wake_pending_ = false;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace plumspoke::replica

#include "grpc_peer.hpp"

#include "plumspoke/logging/event.hpp"

#include <algorithm>
#include <numeric>
#include <random>
#include <utility>

namespace plumspoke::replica
{

namespace
{

constexpr std::size_t max_queued_messages = 256;
// A call usually takes about 2 ms. A heartbeat (every 150 ms) and its reply may both hit an unresponsive
// connection, and have to succeed on new ones within the shortest lease of a leader (600 ms).
constexpr auto min_call_timeout = milliseconds(150);
constexpr auto max_call_timeout = milliseconds(500);
constexpr auto slow_call = min_call_timeout; // for the log
// Timeout of a peer, in multiples of the duration of its longest call of late.
constexpr int timeout_factor = 4;
// A busy peer answers some calls at once and others late.
constexpr auto longest_call_lifetime = seconds(2);
// Two busy machines with a third of a processor each transfer 1.2 MB in 1.35 s.
constexpr std::size_t min_bytes_per_ms = 1000;
// Heartbeats queue behind a batch, and a batch that grows with each failed attempt would never meet its
// deadline.
constexpr std::size_t max_batch_bytes = 128 * 1024;
// Heartbeats on their way wait behind all that was sent before, so more is queued where it may be merged.
constexpr std::size_t max_bytes_in_flight = 2 * max_batch_bytes;
constexpr std::size_t max_calls_in_flight = 4;
constexpr int max_message_bytes = 256 << 20;

std::uint64_t random_number()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

std::shared_ptr<grpc::Channel> make_replica_channel(const std::string& address, milliseconds connect_timeout)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(connect_timeout.count()));
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    // Otherwise a new channel would reuse the connection of the old one, which may be unresponsive.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

grpc_peer::grpc_peer(std::string address, std::string own_address, transport_counts& counts)
    : address_(std::move(address)), own_address_(std::move(own_address)), call_timeout_(min_call_timeout),
      counts_(counts)
{
    use_new_channel();
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

grpc_peer::~grpc_peer()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void grpc_peer::reconnect() noexcept
{
    reconnect_requested_ = true;
}

void grpc_peer::send(wire::ReplicaMessage sent)
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

void grpc_peer::run()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        wait_for_work(lock);
        if (stopping_)
        {
            break;
        }
        finish_ended_calls(lock);
        if (!stopping_ && has_capacity() && boot_clock::now() >= next_start_at())
        {
            const boost::intrusive_ptr<call> added = add_call();
            lock.unlock();
            start(added);
            lock.lock();
        }
    }
    cancel_calls();
    wait_for_calls(lock);
}

void grpc_peer::wait_for_work(std::unique_lock<std::mutex>& lock)
{
    while (!stopping_ && !has_ended_call())
    {
        if (!has_capacity())
        {
            wake_.wait(lock);
            continue;
        }
        const time_point now = boot_clock::now();
        if (now >= next_start_at())
        {
            return;
        }
        wake_.wait_for(lock, next_start_at() - now);
    }
}

// Spread over the time that a call takes. Otherwise calls with a message each would fill the window within a
// few milliseconds, and later messages would wait for the whole duration of a call.
time_point grpc_peer::next_start_at() const
{
    return calls_.empty() ? time_point{}
                          : last_start_at_ + last_call_duration_ / static_cast<int>(max_calls_in_flight);
}

bool grpc_peer::has_capacity() const
{
    if (queue_.empty())
    {
        return false;
    }
    if (failed_ || !answered_)
    {
        return calls_.empty(); // whether the connection works is unknown
    }
    return calls_.size() < max_calls_in_flight && bytes_in_flight() < max_bytes_in_flight;
}

std::size_t grpc_peer::bytes_in_flight() const
{
    return std::accumulate(calls_.begin(),
                           calls_.end(),
                           std::size_t{0},
                           [](std::size_t sum, const auto& one)
                           {
                               return sum + one->bytes;
                           });
}

bool grpc_peer::has_ended_call() const
{
    return std::any_of(calls_.begin(),
                       calls_.end(),
                       [](const auto& one)
                       {
                           return one->status.has_value();
                       });
}

/// @brief Moves queued messages into a new call, up to the maximum size of a batch.
boost::intrusive_ptr<grpc_peer::call> grpc_peer::add_call()
{
    boost::intrusive_ptr<call> added(new call);
    calls_.push_back(added);
    added->sent.set_from_address(own_address_);
    added->queued_at = queue_.front().queued_at;
    added->bytes = added->sent.ByteSizeLong();
    while (!queue_.empty())
    {
        const std::size_t bytes = queue_.front().sent.ByteSizeLong();
        if (added->sent.messages_size() > 0 && added->bytes + bytes > max_batch_bytes)
        {
            break; // the rest goes into the next call
        }
        added->bytes += bytes;
        *added->sent.add_messages() = std::move(queue_.front().sent);
        queue_.pop_front();
    }
    return added;
}

// Only this thread adds and removes calls, so the list may be read here without the lock.
void grpc_peer::start(const boost::intrusive_ptr<call>& added)
{
    if (reconnect_requested_.exchange(false) && failed_)
    {
        use_new_channel();
    }
    added->sent.set_connection(connection_);
    added->sent.set_sequence(++sequence_);
    added->context.set_deadline(std::chrono::system_clock::now() + call_timeout_ +
                                milliseconds(bytes_in_flight() / min_bytes_per_ms));
    added->started_at = boot_clock::now();
    last_start_at_ = added->started_at;
    counts_.bytes += added->bytes;
    stub_->async()->Deliver(&added->context,
                            &added->sent,
                            &added->reply,
                            [this, added](grpc::Status status)
                            {
                                const std::lock_guard lock(mutex_);
                                added->ended_at = boot_clock::now();
                                added->status = std::move(status);
                                wake_.notify_one(); // under the lock: the destructor waits for this call
                            });
}

void grpc_peer::finish_ended_calls(std::unique_lock<std::mutex>& lock)
{
    for (auto at = calls_.begin(); at != calls_.end();)
    {
        if (!(*at)->status.has_value())
        {
            ++at;
            continue;
        }
        log_slow_call(**at);
        if (!(*at)->status->ok())
        {
            on_failure(lock, **at);
            return;
        }
        on_success(**at);
        at = calls_.erase(at);
    }
}

void grpc_peer::on_success(const call& ended)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(ended.ended_at - ended.started_at);
    record_duration(ended.ended_at, elapsed);
    call_timeout_ =
        std::clamp<milliseconds>(timeout_factor * longest_call_, min_call_timeout, max_call_timeout);
    last_call_duration_ = std::chrono::duration_cast<duration>(ended.ended_at - ended.started_at);
    answered_ = true;
    failed_ = false;
    retrying_ = false;
}

void grpc_peer::record_duration(time_point ended_at, milliseconds elapsed)
{
    if (elapsed >= longest_call_ || ended_at > longest_call_ended_at_ + longest_call_lifetime)
    {
        longest_call_ = elapsed;
        longest_call_ended_at_ = ended_at;
    }
}

// Sends the messages once more at once, on a new connection if the old one may be unresponsive: nodes repeat
// a lost message too late to keep a lease, and they tolerate duplicates.
void grpc_peer::on_failure(std::unique_lock<std::mutex>& lock, const call& failed)
{
    const bool timed_out = failed.status->error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    if (timed_out)
    {
        // The call may only have been late: doubles the timeout for a while.
        record_duration(failed.ended_at, 2 * call_timeout_ / timeout_factor);
    }
    cancel_calls();
    wait_for_calls(lock);
    if (!retrying_)
    {
        requeue_unanswered();
    }
    calls_.clear(); // after a second failure the node repeats its messages
    retrying_ = !retrying_;
    failed_ = true;
    call_timeout_ = std::min<milliseconds>(2 * call_timeout_, max_call_timeout);
    if (timed_out)
    {
        // An unresponsive connection may never recover while a new one works. A refused connection needs no
        // new channel, since gRPC reports and reconnects it.
        counts_.timed_out_calls += answered_ ? 1 : 0;
        use_new_channel();
    }
}

void grpc_peer::cancel_calls()
{
    for (const auto& one : calls_)
    {
        if (!one->status.has_value())
        {
            one->context.TryCancel();
        }
    }
}

void grpc_peer::wait_for_calls(std::unique_lock<std::mutex>& lock)
{
    wake_.wait(lock,
               [this]
               {
                   return std::all_of(calls_.begin(),
                                      calls_.end(),
                                      [](const auto& one)
                                      {
                                          return one->status.has_value();
                                      });
               });
}

void grpc_peer::requeue_unanswered()
{
    std::deque<queued_message> again;
    for (const auto& one : calls_)
    {
        if (one->status->ok())
        {
            continue;
        }
        for (wire::ReplicaMessage& sent : *one->sent.mutable_messages())
        {
            again.push_back({std::move(sent), one->queued_at});
        }
    }
    queue_.insert(
        queue_.begin(), std::make_move_iterator(again.begin()), std::make_move_iterator(again.end()));
}

void grpc_peer::use_new_channel()
{
    stub_ = wire::ReplicaPeer::NewStub(make_replica_channel(address_, batch_connect_timeout));
    connection_ = random_number();
    sequence_ = 0;
    answered_ = false;
}

/// @brief Logs a call that fails, or that is slow together with the wait of its oldest message, except calls
///        to a peer that isn't running.
void grpc_peer::log_slow_call(const call& ended) const
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(ended.ended_at - ended.started_at);
    const auto queued = std::chrono::duration_cast<milliseconds>(ended.started_at - ended.queued_at);
    if (elapsed + queued < slow_call && (ended.status->ok() || !answered_))
    {
        return;
    }
    logging::write(logging::event("replica", "slow_call", "A call to a peer was slow or failed.")
                       .with("to", address_)
                       .with("messages", ended.sent.messages_size())
                       .with("bytes", static_cast<std::int64_t>(ended.bytes))
                       .with("in_flight", static_cast<std::int64_t>(calls_.size()))
                       .with("queued_ms", queued.count())
                       .with("took_ms", elapsed.count())
                       .with("error", ended.status->ok() ? "" : ended.status->error_message()));
}

} // namespace plumspoke::replica

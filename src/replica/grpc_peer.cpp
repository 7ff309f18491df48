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
    begin_sequence();
    use_new_channel();
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

grpc_peer::~grpc_peer()
{
    stopping_ = true;
    wake();
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
    wake();
}

void grpc_peer::wake()
{
    const std::lock_guard lock(mutex_);
    if (!std::exchange(wake_pending_, true))
    {
        message_queued_.Set(&events_, std::chrono::system_clock::now(), nullptr);
    }
}

// ---- the thread --------------------------------------------------------------------------------

void grpc_peer::run()
{
    while (!stopping_)
    {
        finish_ended_calls();
        start_due_call();
        const bool paced = has_capacity() && has_queued();
        wait_for_event(paced ? next_start_at() : time_point::max());
    }
    cancel_calls();
    events_.Shutdown();
    void* tag = nullptr;
    for (bool ok = false; events_.Next(&tag, &ok);)
    {
    }
}

void grpc_peer::start_due_call()
{
    if (!stopping_ && has_capacity() && has_queued() && boot_clock::now() >= next_start_at())
    {
        start(*add_call());
    }
}

bool grpc_peer::has_queued()
{
    const std::lock_guard lock(mutex_);
    return !queue_.empty();
}

bool grpc_peer::has_capacity() const
{
    if (failed_ || !answered_)
    {
        return calls_.empty(); // whether the connection works is unknown
    }
    return calls_.size() < max_calls_in_flight && bytes_in_flight() < max_bytes_in_flight;
}

// Spread over the time that a call takes. Otherwise calls with a message each would fill the window within a
// few milliseconds, and later messages would wait for the whole duration of a call.
time_point grpc_peer::next_start_at() const
{
    return calls_.empty() ? time_point{}
                          : last_start_at_ + longest_call_ / static_cast<int>(max_calls_in_flight);
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

/// @brief Moves queued messages into a new call, up to the maximum size of a batch.
boost::intrusive_ptr<grpc_peer::call> grpc_peer::add_call()
{
    boost::intrusive_ptr<call> added(new call);
    calls_.push_back(added);
    added->sent.set_from_address(own_address_);
    added->bytes = added->sent.ByteSizeLong();
    const std::lock_guard lock(mutex_);
    added->queued_at = queue_.front().queued_at;
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

void grpc_peer::start(call& added)
{
    if (reconnect_requested_.exchange(false) && failed_)
    {
        begin_sequence();
        use_new_channel();
    }
    added.sent.set_connection(connection_);
    added.sent.set_sequence(++sequence_);
    added.context.set_deadline(std::chrono::system_clock::now() + call_timeout_ +
                               milliseconds(bytes_in_flight() / min_bytes_per_ms));
    added.started_at = boot_clock::now();
    last_start_at_ = added.started_at;
    counts_.bytes += added.bytes;
    added.reader = stub_->AsyncDeliver(&added.context, added.sent, &events_);
    added.reader->Finish(&added.reply, &added.status, &added);
}

void grpc_peer::wait_for_event(time_point until)
{
    void* tag = nullptr;
    bool ok = false;
    if (until == time_point::max())
    {
        if (events_.Next(&tag, &ok))
        {
            handle_event(tag);
        }
        return;
    }
    const auto left = std::max(time_point::duration::zero(), until - boot_clock::now());
    if (events_.AsyncNext(&tag, &ok, std::chrono::system_clock::now() + left) ==
        grpc::CompletionQueue::GOT_EVENT)
    {
        handle_event(tag);
    }
}

void grpc_peer::handle_event(void* tag)
{
    if (tag == nullptr)
    {
        const std::lock_guard lock(mutex_);
        wake_pending_ = false;
        return;
    }
    call& ended = *static_cast<call*>(tag);
    ended.ended = true;
    ended.ended_at = boot_clock::now();
}

void grpc_peer::finish_ended_calls()
{
    for (auto at = calls_.begin(); at != calls_.end();)
    {
        const boost::intrusive_ptr<call> one = *at;
        if (!one->ended)
        {
            ++at;
            continue;
        }
        log_slow_call(*one);
        if (one->status.ok())
        {
            on_success(*one);
        }
        else if (!was_late_only(*one))
        {
            on_failure(*one);
            return;
        }
        at = calls_.erase(at);
    }
}

// The node repeats the messages, if they are lost.
bool grpc_peer::was_late_only(const call& failed)
{
    const bool timed_out = failed.status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    if (!timed_out || last_answer_at_ <= failed.started_at)
    {
        return false;
    }
    record_duration(failed.ended_at, max_call_timeout / timeout_factor);
    return true;
}

void grpc_peer::on_success(const call& ended)
{
    record_duration(ended.ended_at,
                    std::chrono::duration_cast<milliseconds>(ended.ended_at - ended.started_at));
    call_timeout_ =
        std::clamp<milliseconds>(timeout_factor * longest_call_, min_call_timeout, max_call_timeout);
    last_answer_at_ = ended.ended_at;
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
void grpc_peer::on_failure(const call& failed)
{
    const bool timed_out = failed.status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    if (timed_out && answered_)
    {
        // The call may only have been late: doubles the timeout for a while.
        record_duration(failed.ended_at, 2 * call_timeout_ / timeout_factor);
    }
    cancel_calls();
    while (!all_calls_ended())
    {
        wait_for_event(time_point::max());
    }
    if (!retrying_)
    {
        requeue_unanswered();
    }
    calls_.clear(); // after a second failure the node repeats its messages
    retrying_ = !retrying_;
    failed_ = true;
    begin_sequence();
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
        if (!one->ended)
        {
            one->context.TryCancel();
        }
    }
}

bool grpc_peer::all_calls_ended() const
{
    return std::all_of(calls_.begin(),
                       calls_.end(),
                       [](const auto& one)
                       {
                           return one->ended;
                       });
}

void grpc_peer::requeue_unanswered()
{
    std::deque<queued_message> again;
    for (const auto& one : calls_)
    {
        if (one->status.ok())
        {
            continue;
        }
        for (wire::ReplicaMessage& sent : *one->sent.mutable_messages())
        {
            again.push_back({std::move(sent), one->queued_at});
        }
    }
    const std::lock_guard lock(mutex_);
    queue_.insert(
        queue_.begin(), std::make_move_iterator(again.begin()), std::make_move_iterator(again.end()));
}

// A gap in the sequence would make the next call wait at the peer.
void grpc_peer::begin_sequence()
{
    connection_ = random_number();
    sequence_ = 0;
}

void grpc_peer::use_new_channel()
{
    stub_ = wire::ReplicaPeer::NewStub(make_replica_channel(address_, batch_connect_timeout));
    answered_ = false;
    last_answer_at_ = {};
}

/// @brief Logs a call that is slow together with the wait of its oldest message, and one that fails on a
///        connection that has answered.
void grpc_peer::log_slow_call(const call& ended) const
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(ended.ended_at - ended.started_at);
    const auto queued = std::chrono::duration_cast<milliseconds>(ended.started_at - ended.queued_at);
    if (elapsed + queued < slow_call && (ended.status.ok() || !answered_))
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
                       .with("error", ended.status.ok() ? "" : ended.status.error_message()));
}

} // namespace plumspoke::replica

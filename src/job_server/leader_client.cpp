#include "plumspoke/job_server/leader_client.hpp"

#include "control_channel.hpp"
#include "plumspoke/logging/event.hpp"

#include <algorithm>
#include <atomic>

namespace plumspoke::job_server
{

namespace
{

// Of polls of the leader: half of the shortest time that users allow an entry to detect its loss.
constexpr auto poll_interval = milliseconds(500);
constexpr auto query_timeout = milliseconds(300); // an answer takes about 2 ms
// Destroying a channel inside a gRPC callback makes gRPC abort the process ("prior > 0"). The queries, which
// own the channels, are therefore destroyed on the search thread, long after their timeout.
constexpr auto query_retention = seconds(2);
constexpr auto stop_check_interval = milliseconds(50); // during a search
constexpr auto connect_timeout = milliseconds(250);
constexpr auto max_attempt_timeout = milliseconds(900); // then the next attempt starts
constexpr auto min_split_timeout = milliseconds(150);   // less time is not split between two attempts

/// @brief The timeout of one attempt: the connection may be unresponsive, so half of the time is kept for a
///        retry.
duration attempt_timeout(duration left)
{
    return left / 2 < min_split_timeout ? left : std::min<duration>(left / 2, max_attempt_timeout);
}

} // namespace

// ---- control_channel ---------------------------------------------------------------------------

control_channel::control_channel(const std::string& address) : address_(address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 300);
    // Otherwise a new channel would reuse the old one's connection, which may be unresponsive.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    channel_ = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    stub_ = wire::JobControl::NewStub(channel_);
}

bool control_channel::connect(std::chrono::microseconds limit)
{
    return channel_->WaitForConnected(std::chrono::system_clock::now() + limit);
}

void set_timeout(grpc::ClientContext& context, std::chrono::microseconds limit)
{
    context.set_deadline(std::chrono::system_clock::now() + limit);
}

// ---- construction ------------------------------------------------------------------------------

leader_client::leader_client(std::string self, std::function<std::vector<std::string>()> seeds)
    : self_(std::move(self)), seeds_(std::move(seeds)), leaderless_since_(boot_clock::now())
{
    add_addresses(seeds_());
}

leader_client::~leader_client()
{
    stop();
}

void leader_client::start()
{
    thread_ = std::thread(
        [this]
        {
            run_poll_loop();
        });
}

void leader_client::begin_stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    leader_changed_.notify_all();
    search_signal_.notify_all();
}

void leader_client::stop()
{
    begin_stop();
    if (thread_.joinable())
    {
        thread_.join();
        cancel_queries();
    }
}

void leader_client::limit_deadlines(time_point limit)
{
    {
        const std::lock_guard lock(mutex_);
        deadline_limit_ = limit;
    }
    leader_changed_.notify_all();
}

// ---- calls -------------------------------------------------------------------------------------

call_result leader_client::call(time_point deadline,
                                const std::function<call_result(control_channel&, duration)>& attempt,
                                const leader_timeout& timeout)
{
    bool may_be_done = false;
    while (true)
    {
        const std::optional<std::string> address = wait_for_leader(deadline, timeout);
        if (!address.has_value())
        {
            return may_be_done ? call_result::unknown : call_result::not_executed;
        }
        const std::shared_ptr<control_channel> to = channel(*address);
        const auto time_left = [this, deadline]
        {
            return std::chrono::duration_cast<duration>(effective_deadline(deadline) - boot_clock::now());
        };
        if (!to->connect(std::min<duration>(time_left(), connect_timeout)))
        {
            report_failure(*to, true);
            continue;
        }
        const duration left = time_left(); // connecting has taken a part of it
        if (left <= duration::zero())
        {
            continue;
        }
        const duration limit = attempt_timeout(left);
        const time_point started_at = boot_clock::now();
        const call_result end = attempt(*to, limit);
        const bool timed_out = end == call_result::unknown && boot_clock::now() >= started_at + limit;
        record_call(*to, end != call_result::unknown, timed_out);
        switch (end)
        {
        case call_result::answered:
            return call_result::answered;
        case call_result::not_executed:
            break;
        case call_result::unknown:
            may_be_done = true;
            break;
        }
        report_failure(*to, end == call_result::unknown);
    }
}

void leader_client::record_call(control_channel& used_channel, bool answered, bool timed_out) noexcept
{
    timed_out_calls_ += used_channel.answered() && timed_out ? 1 : 0;
    if (answered)
    {
        used_channel.note_answered();
    }
}

void leader_client::hint(const std::string& address)
{
    if (!address.empty())
    {
        add_addresses({address});
    }
}

time_point leader_client::effective_deadline(time_point deadline) const
{
    const std::lock_guard lock(mutex_);
    return std::min(deadline, deadline_limit_);
}

std::optional<std::string> leader_client::wait_for_leader(time_point deadline, const leader_timeout& timeout)
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        const time_point bound = deadline_limit_;
        const time_point end = std::min(deadline, bound);
        const time_point now = boot_clock::now();
        const auto since = std::chrono::duration_cast<duration>(now - leaderless_since_);
        const auto left = std::chrono::duration_cast<duration>(end - now);
        const bool woken =
            leader_changed_.wait_until(lock,
                                       now + timeout.wait_limit(left, since),
                                       [this, bound]
                                       {
                                           return stopping_ || !leader_.empty() || deadline_limit_ != bound;
                                       });
        if (!woken || stopping_ || boot_clock::now() >= std::min(deadline, deadline_limit_))
        {
            return std::nullopt;
        }
        if (!leader_.empty())
        {
            return leader_;
        }
    }
}

void leader_client::report_failure(const control_channel& used_channel, bool unresponsive)
{
    const std::lock_guard lock(mutex_);
    if (unresponsive)
    {
        replace_channel(used_channel);
    }
    if (leader_ == used_channel.address())
    {
        leader_.clear();
        leaderless_since_ = boot_clock::now();
    }
    search_requested_ = true;
    search_signal_.notify_all();
}

// Requires mutex_. Of many calls that fail on one connection, only the first replaces it.
void leader_client::replace_channel(const control_channel& used_channel)
{
    const auto found = channels_.find(used_channel.address());
    if (found == channels_.end() || found->second.get() != &used_channel)
    {
        return;
    }
    if (reconnect_backoffs_[used_channel.address()].may_reconnect(boot_clock::now(), used_channel.answered()))
    {
        channels_.erase(found);
    }
}

std::shared_ptr<control_channel> leader_client::channel(const std::string& address)
{
    const std::lock_guard lock(mutex_);
    std::shared_ptr<control_channel>& found = channels_[address];
    if (found == nullptr)
    {
        found = std::make_shared<control_channel>(address);
    }
    return found;
}

// ---- access ------------------------------------------------------------------------------------

std::optional<time_point> leader_client::last_contact() const
{
    const std::lock_guard lock(mutex_);
    return last_contact_;
}

std::string leader_client::leader() const
{
    const std::lock_guard lock(mutex_);
    return leader_;
}

std::uint64_t leader_client::leader_term() const
{
    const std::lock_guard lock(mutex_);
    return leader_.empty() ? 0 : term_;
}

std::vector<std::string> leader_client::known_addresses() const
{
    const std::lock_guard lock(mutex_);
    return addresses_;
}

void leader_client::add_addresses(const std::vector<std::string>& addresses)
{
    const std::lock_guard lock(mutex_);
    for (const std::string& one : addresses)
    {
        if (one != self_ && std::find(addresses_.begin(), addresses_.end(), one) == addresses_.end())
        {
            addresses_.push_back(one);
        }
    }
}

void leader_client::set_leader(const std::string& address, std::uint64_t term)
{
    const std::lock_guard lock(mutex_);
    if (term < term_)
    {
        return; // from a former leader that does not know yet that it was replaced
    }
    if (leader_ != address)
    {
        logging::write(logging::event("link", "leader_found", "Found the leader.")
                           .with("leader", address)
                           .with("term", static_cast<std::int64_t>(term)));
    }
    leader_ = address;
    term_ = term;
    search_backoff_.reset();
    last_contact_ = boot_clock::now();
    search_requested_ = false;
    leader_changed_.notify_all();
}

// ---- the search --------------------------------------------------------------------------------

void leader_client::run_poll_loop()
{
    while (true)
    {
        bool lost = false;
        {
            std::unique_lock lock(mutex_);
            search_signal_.wait_for(lock,
                                    leader_.empty() && !search_requested_ ? next_search_pause()
                                                                          : duration(poll_interval),
                                    [this]
                                    {
                                        return stopping_ || search_requested_;
                                    });
            if (stopping_)
            {
                return;
            }
            lost = leader_.empty();
        }
        if (!lost && poll_leader())
        {
            continue;
        }
        search();
    }
}

duration leader_client::next_search_pause()
{
    return search_backoff_.next(std::uniform_real_distribution<double>(0, 1)(random_));
}

bool leader_client::poll_leader()
{
    const std::string address = leader();
    if (address.empty())
    {
        return false;
    }
    const std::shared_ptr<control_channel> to = channel(address);
    grpc::ClientContext context;
    set_timeout(context, query_timeout);
    wire::LeaderQuery query;
    wire::LeaderAnswer answer;
    const grpc::Status status = to->stub().Leader(&context, query, &answer);
    record_call(*to, status.ok(), status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED);
    if (!status.ok() || !answer.acting())
    {
        logging::write(
            logging::event("link", "leader_lost", "The leader does not answer, or no longer leads.")
                .with("leader", address)
                .with("error", status.error_message()));
        report_failure(*to, status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED);
        return false;
    }
    add_addresses({answer.members().begin(), answer.members().end()});
    set_leader(address, answer.term());
    return true;
}

/// @brief One query of a search.
struct leader_client::leader_query
{
    std::shared_ptr<query_batch> all;
    std::shared_ptr<control_channel> to;
    grpc::ClientContext context;
    wire::LeaderQuery query;
    wire::LeaderAnswer answer;
    grpc::Status status;
    time_point asked_at{};
    bool done = false;

    [[nodiscard]] bool found_leader() const
    {
        return status.ok() && answer.acting();
    }
};

/// @brief Tracks the pending queries of one search, and whether one has found the leader.
struct leader_client::query_batch
{
    std::mutex mutex;
    std::condition_variable ended;
    std::size_t open = 0;
    bool found = false;
};

void leader_client::search()
{
    {
        const std::lock_guard lock(mutex_);
        search_requested_ = false;
    }
    add_addresses(seeds_());
    const std::vector<std::string> addresses = known_addresses();
    const auto all = std::make_shared<query_batch>();
    all->open = addresses.size();
    drop_queries(boot_clock::now() - query_retention);
    std::vector<std::shared_ptr<leader_query>> queries;
    queries.reserve(addresses.size());
    for (const std::string& address : addresses)
    {
        queries.push_back(send_query(address, all));
    }
    queries_.insert(queries_.end(), queries.begin(), queries.end());
    std::unique_lock lock(all->mutex);
    while (!stopping_ && all->open > 0 && !all->found)
    {
        all->ended.wait_for(lock, stop_check_interval);
    }
    for (const std::shared_ptr<leader_query>& one : queries)
    {
        if (one->done)
        {
            process_answer(*one);
        }
    }
}

std::shared_ptr<leader_client::leader_query>
leader_client::send_query(const std::string& address, const std::shared_ptr<query_batch>& all)
{
    auto one = std::make_shared<leader_query>();
    one->all = all;
    one->to = channel(address);
    one->asked_at = boot_clock::now();
    set_timeout(one->context, query_timeout);
    one->to->stub().async()->Leader(&one->context,
                                    &one->query,
                                    &one->answer,
                                    [one = one.get(), all](grpc::Status status)
                                    {
                                        const std::lock_guard lock(all->mutex);
                                        one->status = std::move(status);
                                        one->done = true;
                                        --all->open;
                                        all->found = all->found || one->found_leader();
                                        all->ended.notify_all();
                                    });
    return one;
}

void leader_client::drop_queries(time_point asked_before)
{
    std::erase_if(queries_,
                  [asked_before](const std::shared_ptr<leader_query>& one)
                  {
                      return one->asked_at < asked_before;
                  });
}

// gRPC's threads write the answers and must be done with them before this object is destroyed.
void leader_client::cancel_queries()
{
    for (const std::shared_ptr<leader_query>& one : queries_)
    {
        one->context.TryCancel();
    }
    const time_point limit = boot_clock::now() + query_timeout;
    for (const std::shared_ptr<leader_query>& one : queries_)
    {
        std::unique_lock lock(one->all->mutex);
        one->all->ended.wait_until(lock,
                                   limit,
                                   [&one]
                                   {
                                       return one->done;
                                   });
    }
}

void leader_client::process_answer(const leader_query& ended)
{
    const bool timed_out = ended.status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    record_call(*ended.to, ended.status.ok(), timed_out);
    if (!ended.status.ok())
    {
        const std::lock_guard lock(mutex_);
        if (timed_out)
        {
            replace_channel(*ended.to); // it may never recover; after an error status, gRPC reconnects
        }
        return;
    }
    add_addresses({ended.answer.members().begin(), ended.answer.members().end()});
    if (ended.found_leader())
    {
        set_leader(ended.to->address(), ended.answer.term());
        return;
    }
    hint(ended.answer.leader_address());
}

} // namespace plumspoke::job_server

#include "plumspoke/job_server/leader_link.hpp"

#include "control_channel.hpp"
#include "plumspoke/logging/event.hpp"

#include <algorithm>
#include <atomic>

namespace plumspoke::job_server
{

namespace
{

// Between looks at a leader that answers: half of the shortest time that users give an entry to notice.
constexpr auto watch_interval = milliseconds(500);
constexpr auto ask_limit = milliseconds(300); // an answer takes about 2 ms
// gRPC must not lose a channel inside a callback of its own: it ends the process ("prior > 0"). So the
// questions, which hold the channels, are dropped by the searching thread, long after their limit.
constexpr auto keep_questions = seconds(2);
constexpr auto stop_check_interval = milliseconds(50); // of a search
constexpr auto connect_limit = milliseconds(250);
constexpr auto longest_attempt = milliseconds(900); // then another process is asked
constexpr auto least_attempt = milliseconds(150);   // less than this is not split in two

/// @brief Time for one attempt: the connection may be silent, so half is left for the next one.
duration attempt_limit(duration left)
{
    return left / 2 < least_attempt ? left : std::min<duration>(left / 2, longest_attempt);
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
    // Without this a new channel would take over the old one's connection, which may hang.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    channel_ = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    stub_ = wire::JobControl::NewStub(channel_);
}

bool control_channel::connect(std::chrono::microseconds limit)
{
    return channel_->WaitForConnected(std::chrono::system_clock::now() + limit);
}

void set_limit(grpc::ClientContext& context, std::chrono::microseconds limit)
{
    context.set_deadline(std::chrono::system_clock::now() + limit);
}

// ---- construction ------------------------------------------------------------------------------

leader_link::leader_link(std::string self, std::function<std::vector<std::string>()> seeds)
    : self_(std::move(self)), seeds_(std::move(seeds)), leaderless_since_(std::chrono::steady_clock::now())
{
    learn(seeds_());
}

leader_link::~leader_link()
{
    stop();
}

void leader_link::start()
{
    thread_ = std::thread(
        [this]
        {
            watch();
        });
}

void leader_link::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    search_wanted_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
        cancel_questions();
    }
}

void leader_link::end_calls_by(time_point limit)
{
    {
        const std::lock_guard lock(mutex_);
        calls_end_by_ = limit;
    }
    changed_.notify_all();
}

// ---- calls -------------------------------------------------------------------------------------

call_end leader_link::call(time_point deadline,
                           const std::function<call_end(control_channel&, duration)>& attempt,
                           const leader_timeout& timeout)
{
    bool may_be_done = false;
    while (true)
    {
        const std::optional<std::string> address = wait_for_leader(deadline, timeout);
        if (!address.has_value())
        {
            return may_be_done ? call_end::unknown : call_end::not_done;
        }
        const std::shared_ptr<control_channel> to = channel(*address);
        const auto left =
            std::chrono::duration_cast<duration>(bounded(deadline) - std::chrono::steady_clock::now());
        if (!to->connect(std::min<duration>(left, connect_limit)))
        {
            doubt(*to, true);
            continue;
        }
        const duration limit = attempt_limit(left);
        const time_point begun = std::chrono::steady_clock::now();
        const call_end end = attempt(*to, limit);
        const bool timed_out = end == call_end::unknown && std::chrono::steady_clock::now() >= begun + limit;
        note_ended(*to, end != call_end::unknown, timed_out);
        switch (end)
        {
        case call_end::answered:
            return call_end::answered;
        case call_end::not_done:
            break;
        case call_end::unknown:
            may_be_done = true;
            break;
        }
        doubt(*to, end == call_end::unknown);
    }
}

void leader_link::note_ended(control_channel& over, bool answered, bool timed_out) noexcept
{
    silent_calls_ += over.answered() && timed_out ? 1 : 0;
    if (answered)
    {
        over.note_answered();
    }
}

void leader_link::hint(const std::string& address)
{
    if (!address.empty())
    {
        learn({address});
    }
}

time_point leader_link::bounded(time_point deadline) const
{
    const std::lock_guard lock(mutex_);
    return std::min(deadline, calls_end_by_);
}

std::optional<std::string> leader_link::wait_for_leader(time_point deadline, const leader_timeout& timeout)
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        const time_point bound = calls_end_by_;
        const time_point end = std::min(deadline, bound);
        const time_point now = std::chrono::steady_clock::now();
        const auto since = std::chrono::duration_cast<duration>(now - leaderless_since_);
        const auto left = std::chrono::duration_cast<duration>(end - now);
        const bool woken =
            changed_.wait_until(lock,
                                now + timeout.wait_limit(left, since),
                                [this, bound]
                                {
                                    return stopping_ || !leader_.empty() || calls_end_by_ != bound;
                                });
        if (!woken || stopping_ || std::chrono::steady_clock::now() >= std::min(deadline, calls_end_by_))
        {
            return std::nullopt;
        }
        if (!leader_.empty())
        {
            return leader_;
        }
    }
}

void leader_link::doubt(const control_channel& over, bool silent)
{
    const std::lock_guard lock(mutex_);
    if (silent)
    {
        replace_channel(over);
    }
    if (leader_ == over.address())
    {
        leader_.clear();
        leaderless_since_ = std::chrono::steady_clock::now();
    }
    searching_wanted_ = true;
    search_wanted_.notify_all();
}

// The lock is held. Of many calls that fail on one connection only the first makes a new one.
void leader_link::replace_channel(const control_channel& over)
{
    const auto found = channels_.find(over.address());
    if (found == channels_.end() || found->second.get() != &over)
    {
        return;
    }
    if (channel_paces_[over.address()].may_replace(std::chrono::steady_clock::now(), over.answered()))
    {
        channels_.erase(found);
    }
}

std::shared_ptr<control_channel> leader_link::channel(const std::string& address)
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

std::optional<time_point> leader_link::last_contact() const
{
    const std::lock_guard lock(mutex_);
    return last_contact_;
}

std::string leader_link::leader() const
{
    const std::lock_guard lock(mutex_);
    return leader_;
}

std::uint64_t leader_link::leader_term() const
{
    const std::lock_guard lock(mutex_);
    return leader_.empty() ? 0 : term_;
}

std::vector<std::string> leader_link::known() const
{
    const std::lock_guard lock(mutex_);
    return known_;
}

void leader_link::learn(const std::vector<std::string>& addresses)
{
    const std::lock_guard lock(mutex_);
    for (const std::string& one : addresses)
    {
        if (one != self_ && std::find(known_.begin(), known_.end(), one) == known_.end())
        {
            known_.push_back(one);
        }
    }
}

void leader_link::note_leader(const std::string& address, std::uint64_t term)
{
    const std::lock_guard lock(mutex_);
    if (term < term_)
    {
        return; // somebody who doesn't know yet that it was replaced
    }
    if (leader_ != address)
    {
        logging::write(logging::event("link", "leader_found", "Found who leads.")
                           .with("leader", address)
                           .with("term", static_cast<std::int64_t>(term)));
    }
    leader_ = address;
    term_ = term;
    search_pace_.found();
    last_contact_ = std::chrono::steady_clock::now();
    searching_wanted_ = false;
    changed_.notify_all();
}

// ---- the search --------------------------------------------------------------------------------

void leader_link::watch()
{
    while (true)
    {
        bool lost = false;
        {
            std::unique_lock lock(mutex_);
            search_wanted_.wait_for(lock,
                                    leader_.empty() && !searching_wanted_ ? next_search_pause()
                                                                          : duration(watch_interval),
                                    [this]
                                    {
                                        return stopping_ || searching_wanted_;
                                    });
            if (stopping_)
            {
                return;
            }
            lost = leader_.empty();
        }
        if (!lost && ask_leader())
        {
            continue;
        }
        search();
    }
}

duration leader_link::next_search_pause()
{
    return search_pace_.next(std::uniform_real_distribution<double>(0, 1)(random_));
}

bool leader_link::ask_leader()
{
    const std::string address = leader();
    if (address.empty())
    {
        return false;
    }
    const std::shared_ptr<control_channel> to = channel(address);
    grpc::ClientContext context;
    set_limit(context, ask_limit);
    wire::LeaderQuery query;
    wire::LeaderAnswer answer;
    const grpc::Status status = to->stub().Leader(&context, query, &answer);
    note_ended(*to, status.ok(), status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED);
    if (!status.ok() || !answer.acting())
    {
        logging::write(logging::event("link", "leader_lost", "The leader doesn't answer as one any more.")
                           .with("leader", address)
                           .with("error", status.error_message()));
        doubt(*to, status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED);
        return false;
    }
    learn({answer.members().begin(), answer.members().end()});
    note_leader(address, answer.term());
    return true;
}

/// @brief One question of a search; lives until its answer or limit.
struct leader_link::question
{
    std::shared_ptr<gathering> all;
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

/// @brief Waits for all questions of one search, or for the first that found the leader.
struct leader_link::gathering
{
    std::mutex mutex;
    std::condition_variable ended;
    std::size_t open = 0;
    bool found = false;
};

void leader_link::search()
{
    {
        const std::lock_guard lock(mutex_);
        searching_wanted_ = false;
    }
    learn(seeds_());
    const std::vector<std::string> addresses = known();
    const auto all = std::make_shared<gathering>();
    all->open = addresses.size();
    forget_questions(std::chrono::steady_clock::now() - keep_questions);
    std::vector<std::shared_ptr<question>> questions;
    questions.reserve(addresses.size());
    for (const std::string& address : addresses)
    {
        questions.push_back(ask(address, all));
    }
    questions_.insert(questions_.end(), questions.begin(), questions.end());
    std::unique_lock lock(all->mutex);
    while (!stopping_ && all->open > 0 && !all->found)
    {
        all->ended.wait_for(lock, stop_check_interval);
    }
    for (const std::shared_ptr<question>& one : questions)
    {
        if (one->done)
        {
            take_answer(*one);
        }
    }
}

std::shared_ptr<leader_link::question> leader_link::ask(const std::string& address,
                                                        const std::shared_ptr<gathering>& all)
{
    auto one = std::make_shared<question>();
    one->all = all;
    one->to = channel(address);
    one->asked_at = std::chrono::steady_clock::now();
    set_limit(one->context, ask_limit);
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

void leader_link::forget_questions(time_point asked_before)
{
    std::erase_if(questions_,
                  [asked_before](const std::shared_ptr<question>& one)
                  {
                      return one->asked_at < asked_before;
                  });
}

// Their answers are written by gRPC's threads, which must be done with them before this object ends.
void leader_link::cancel_questions()
{
    for (const std::shared_ptr<question>& one : questions_)
    {
        one->context.TryCancel();
    }
    const time_point limit = std::chrono::steady_clock::now() + ask_limit;
    for (const std::shared_ptr<question>& one : questions_)
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

void leader_link::take_answer(const question& ended)
{
    const bool timed_out = ended.status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    note_ended(*ended.to, ended.status.ok(), timed_out);
    if (!ended.status.ok())
    {
        const std::lock_guard lock(mutex_);
        if (timed_out)
        {
            replace_channel(*ended.to); // silence may last for good on this one; a refusal tells of itself
        }
        return;
    }
    learn({ended.answer.members().begin(), ended.answer.members().end()});
    if (ended.found_leader())
    {
        note_leader(ended.to->address(), ended.answer.term());
        return;
    }
    hint(ended.answer.leader_address());
}

} // namespace plumspoke::job_server

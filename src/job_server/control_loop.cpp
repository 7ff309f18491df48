/// @file
/// @brief The leader's loop: one thread that feeds the dispatcher and carries out what it decides.

#include "plumspoke/job_server/control_server.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/logging/event.hpp"
#include "plumspoke/time/time_of_day.hpp"

namespace plumspoke::job_server
{

namespace
{

constexpr const char* part = "control";
constexpr auto leading_interval = milliseconds(25);    // what changes with time alone: retries, lapses
constexpr auto following_interval = milliseconds(100); // only to notice leadership
constexpr auto expire_interval = seconds(5);

} // namespace

void control_server::run_loop()
{
    const auto work = boost::asio::make_work_guard(context_);
    arm_timer();
    context_.run();
}

void control_server::arm_timer()
{
    timer_.expires_after(dispatcher_.leading() ? leading_interval : following_interval);
    timer_.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                step();
                arm_timer();
            }
        });
}

void control_server::schedule_step()
{
    if (!step_scheduled_.exchange(true))
    {
        boost::asio::post(context_,
                          [this]
                          {
                              step();
                          });
    }
}

void control_server::step()
{
    step_scheduled_ = false;
    // The clock is read before leadership is looked at: an order's lease counts from this reading.
    const time_point now = std::chrono::steady_clock::now();
    const replica::replica_status status = driver_->status();
    follow_leadership(now, status);
    if (!dispatcher_.leading() || !status.may_act(now))
    {
        return;
    }
    dispatch::dispatch_output decided = machine_.read(
        [this, now](const jobs::store& state)
        {
            dispatch::dispatch_output out = dispatcher_.decide(now, time_of_day_ms(), state);
            const std::lock_guard lock(counts_mutex_);
            dispatch_counts_ = dispatcher_.counts();
            live_jobs_ = state.live().size();
            live_runs_ = dispatcher_.runs().size();
            known_workers_ = dispatcher_.workers().size();
            return out;
        });
    carry_out(decided);
}

void control_server::follow_leadership(time_point now, const replica::replica_status& status)
{
    const bool same_term = dispatcher_.leading() && status.is_leader() && status.term == dispatcher_.term();
    if (same_term)
    {
        return;
    }
    if (dispatcher_.leading())
    {
        logging::write(logging::event(part, "retired", "Leads no more.")
                           .with("term", static_cast<std::int64_t>(dispatcher_.term()))
                           .with("new_leader", status.leader_name));
        dispatcher_.retire();
        caller_->reset();
    }
    if (!status.may_act(now))
    {
        return;
    }
    ++counts_.leader_changes;
    machine_.read(
        [&](const jobs::store& state)
        {
            dispatcher_.lead(now, status.term, state);
        });
    const std::lock_guard lock(registry_mutex_);
    for (const fleet::announcement& one : registry_.all())
    {
        dispatcher_.announced(now, one);
    }
    timer_.cancel();
    arm_timer();
}

void control_server::carry_out(dispatch::dispatch_output& decided)
{
    for (const logging::event& one : decided.events)
    {
        logging::write(one);
    }
    for (const dispatch::planned_round& planned : decided.rounds)
    {
        propose(planned);
    }
    for (dispatch::order& what : decided.orders)
    {
        caller_->send(std::move(what));
    }
    const time_point now = std::chrono::steady_clock::now();
    if (now >= next_expiry_)
    {
        next_expiry_ = now + expire_interval;
        caller_->expire(now);
    }
}

void control_server::propose(const dispatch::planned_round& planned)
{
    const std::uint64_t term = dispatcher_.term();
    driver_->propose(jobs::encode(planned.command),
                     [this, term, id = planned.id](replica::proposal_result result)
                     {
                         boost::asio::post(
                             context_,
                             [this, term, id, result = std::move(result)]
                             {
                                 if (dispatcher_.term() != term)
                                 {
                                     return; // of an earlier reign
                                 }
                                 std::optional<std::vector<bool>> accepted;
                                 if (!result.error)
                                 {
                                     accepted = jobs::decode_answer(result.answer).starts_accepted;
                                 }
                                 dispatcher_.round_ended(std::chrono::steady_clock::now(), id, accepted);
                                 schedule_step();
                             });
                     });
}

} // namespace plumspoke::job_server

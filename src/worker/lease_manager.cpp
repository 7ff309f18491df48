#include "plumspoke/worker/lease_manager.hpp"

#include "plumspoke/worker/error.hpp"

#include <algorithm>
#include <set>

namespace plumspoke::worker
{

namespace
{

using control::control_state;
using control::task_event;

/// Returns the job's live task if its token matches, otherwise nullptr.
const control::task* find_live_grant(const control_state& state, const std::string& job, std::uint64_t token)
{
    const auto found = state.jobs.find(job);
    if (found == state.jobs.end() || !found->second.live.has_value() || found->second.live->token != token)
    {
        return nullptr;
    }
    return &*found->second.live;
}

task_event event_of(task_state state)
{
    switch (state)
    {
    case task_state::finished:
        return task_event::finished;
    case task_state::failed:
        return task_event::failed;
    case task_state::stopped:
        return task_event::stopped;
    case task_state::running:
    case task_state::throttled:
        break;
    }
    return task_event::started;
}

bool matches_registration(const control_state& state, const report& received)
{
    const auto found = state.workers.find(received.worker);
    return found != state.workers.end() && !found->second.removed &&
           found->second.incarnation == received.incarnation && found->second.capacity == received.capacity;
}

bool is_replaced(const control_state& state, const report& received)
{
    const auto found = state.workers.find(received.worker);
    if (found == state.workers.end())
    {
        return false;
    }
    const std::vector<std::string>& replaced = found->second.replaced;
    return std::find(replaced.begin(), replaced.end(), received.incarnation) != replaced.end();
}

} // namespace

void lease_manager::reset(time_point now)
{
    leader_since_ = now;
    workers_.clear();
    proposed_.clear();
    granted_at_.clear();
}

bool lease_manager::was_recently_proposed(time_point now, std::uint64_t token, control::task_event event)
{
    time_point& last = proposed_[{token, event}];
    if (last != time_point{} && now < last + options_.reproposal_interval)
    {
        return true;
    }
    last = now;
    return false;
}

report_outcome lease_manager::receive(time_point now,
                                      const control::control_state& state,
                                      const report& received,
                                      std::error_code& error)
{
    report_outcome output;
    worker_status& status = workers_[received.worker];
    const bool is_repeated = status.has_reported && status.incarnation == received.incarnation &&
                             received.sequence <= status.sequence;
    if (is_repeated || is_replaced(state, received))
    {
        error = errc::old_sequence;
        return output;
    }
    const time_point last_heard = status.answered_at;
    status.has_reported = true;
    status.incarnation = received.incarnation;
    status.sequence = received.sequence;
    status.answered_at = now;
    status.tasks = received.tasks;
    status.services = received.services;
    ++status.reports;

    output.reply.sequence = received.sequence;
    output.reply.lease_ms = std::chrono::duration_cast<milliseconds>(options_.lease).count();
    output.reply.report_after_ms = std::chrono::duration_cast<milliseconds>(options_.report_interval).count();
    if (!matches_registration(state, received))
    {
        output.commands.emplace_back(
            control::register_worker{received.worker,
                                     received.incarnation,
                                     received.availability_zone,
                                     received.rack,
                                     received.capacity,
                                     find_crashed_jobs(last_heard, state, received.worker)});
    }
    process_task_reports(now, state, received, output);
    add_grant_orders(now, state, received, output);
    return output;
}

void lease_manager::process_task_reports(time_point now,
                                         const control::control_state& state,
                                         const report& received,
                                         report_outcome& output)
{
    for (const task_report& task : received.tasks)
    {
        const control::task* grant = find_live_grant(state, task.job, task.token);
        if (grant == nullptr)
        {
            if (task.ended())
            {
                output.reply.settled.push_back({task.job, task.token});
            }
            else
            {
                order stop;
                stop.job = task.job;
                stop.token = task.token;
                stop.order = control::task_order::stop;
                output.reply.tasks.push_back(std::move(stop));
            }
            continue;
        }
        const task_event event = event_of(task.state);
        const bool known = event == task_event::started && grant->started;
        if (!known && !was_recently_proposed(now, task.token, event))
        {
            output.commands.emplace_back(
                control::report_task{task.job, task.token, event, task.checkpoint, task.result, task.reason});
        }
    }
}

// Start times of grants are known only if this leader sent them; a grant sent only by an earlier leader gives
// no evidence of a crash.
jobs::crash_sign lease_manager::crash_sign_of(time_point last_heard, std::uint64_t token) const
{
    const auto granted = granted_at_.find(token);
    if (granted == granted_at_.end())
    {
        return jobs::crash_sign::none;
    }
    const bool ran_long = last_heard >= granted->second + options_.long_run_threshold;
    return ran_long ? jobs::crash_sign::cleared : jobs::crash_sign::counted;
}

std::vector<control::crashed_job> lease_manager::find_crashed_jobs(time_point last_heard,
                                                                   const control::control_state& state,
                                                                   const std::string& worker) const
{
    std::vector<control::crashed_job> crashed;
    const auto found = state.workers.find(worker);
    if (found == state.workers.end())
    {
        return crashed;
    }
    for (const std::string& id : found->second.jobs)
    {
        crashed.push_back({id, crash_sign_of(last_heard, state.jobs.at(id).live->token)});
    }
    return crashed;
}

void lease_manager::prune_ended_grants(const control::control_state& state)
{
    std::set<std::uint64_t> live;
    for (const auto& [name, worker] : state.workers)
    {
        for (const std::string& id : worker.jobs)
        {
            live.insert(state.jobs.at(id).live->token);
        }
    }
    std::erase_if(granted_at_,
                  [&live](const auto& entry)
                  {
                      return !live.contains(entry.first);
                  });
    prune_threshold_ = 2 * granted_at_.size() + min_remembered_grants;
}

void lease_manager::add_grant_orders(time_point now,
                                     const control::control_state& state,
                                     const report& received,
                                     report_outcome& output)
{
    const auto worker = state.workers.find(received.worker);
    if (worker == state.workers.end() || worker->second.incarnation != received.incarnation)
    {
        return; // not registered yet
    }
    for (const std::string& id : worker->second.jobs)
    {
        const control::job& owner = state.jobs.at(id);
        order granted;
        granted.job = id;
        granted.token = owner.live->token;
        granted_at_.try_emplace(granted.token, now);
        granted.order = owner.live->order;
        granted.reserved = owner.live->reserved;
        if (!owner.live->started)
        {
            granted.work_class = owner.spec.work_class;
            granted.payload = owner.spec.payload;
            granted.checkpoint = owner.checkpoint;
        }
        output.reply.tasks.push_back(std::move(granted));
    }
}

time_point lease_manager::last_heard(const std::string& worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? leader_since_ : std::max(leader_since_, found->second.answered_at);
}

time_point lease_manager::lease_end(const std::string& worker) const
{
    // The previous leader may have answered a worker without reports here until the election.
    return last_heard(worker) + options_.lease + options_.drift_margin;
}

bool lease_manager::is_live(time_point now, const std::string& worker) const
{
    const auto found = workers_.find(worker);
    return found != workers_.end() && now < found->second.answered_at + options_.lease;
}

std::vector<control::command> lease_manager::tick(time_point now, const control::control_state& state)
{
    std::erase_if(proposed_,
                  [this, now](const auto& one)
                  {
                      return one.second + options_.reproposal_interval < now;
                  });
    if (granted_at_.size() > prune_threshold_)
    {
        prune_ended_grants(state);
    }
    std::vector<control::command> commands;
    for (const auto& [name, worker] : state.workers)
    {
        if (worker.jobs.empty() || now < lease_end(name))
        {
            continue;
        }
        for (const std::string& id : worker.jobs)
        {
            const control::job& owner = state.jobs.at(id);
            if (!was_recently_proposed(now, owner.live->token, task_event::lost))
            {
                commands.emplace_back(
                    control::report_task{id,
                                         owner.live->token,
                                         task_event::lost,
                                         {},
                                         {},
                                         "the lease of worker " + name + " ran out",
                                         crash_sign_of(last_heard(name), owner.live->token)});
            }
        }
    }
    return commands;
}

} // namespace plumspoke::worker

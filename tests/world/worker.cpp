#include "world.hpp"

#include <utility>

namespace plumspoke::world
{

namespace
{

using plumspoke::worker::task_state;

constexpr auto report_interval = milliseconds(250);
constexpr std::int64_t millicores = 4000;
constexpr std::int64_t memory_mb = 16'000;

} // namespace

worker::worker(world& owner, std::string name)
    : process(owner, std::move(name)), last_true_us_(owner.true_us())
{
}

void worker::kill()
{
    tasks_.clear();
    newest_token_.clear();
    lease_end_ = time_point{};
    for (const std::function<void()>& reset : std::exchange(connections_, {}))
    {
        world_.after(milliseconds(1), reset); // the sockets are reset when the process is killed
    }
    world_.facts.endpoint_busy[name()] = 0;
}

void worker::restart()
{
    last_true_us_ = world_.true_us();
    next_report_ = time_point{};
    sequence_ = 0;
}

void worker::tick()
{
    const std::int64_t elapsed = world_.true_us() - last_true_us_;
    last_true_us_ = world_.true_us();
    if (now() >= lease_end_)
    {
        // Checked first, also after a freeze, so that no task continues without a lease.
        for (auto& [token, task] : tasks_)
        {
            if (!task.report.ended())
            {
                task.report.state = task_state::stopped;
            }
        }
    }
    advance(elapsed);
    if (now() >= next_report_)
    {
        next_report_ = now() + report_interval;
        report();
    }
}

void worker::advance(std::int64_t elapsed_us)
{
    for (auto& [token, task] : tasks_)
    {
        if (task.report.state != task_state::running)
        {
            continue;
        }
        std::uint64_t& newest = world_.facts.newest_progress[task.report.job];
        world_.facts.check(token >= newest,
                           "work_runs_once: " + task.report.job + " made progress under token " +
                               std::to_string(token) + " after token " + std::to_string(newest));
        newest = std::max(newest, token);
        task.left_us -= elapsed_us;
        if (task.left_us <= 0)
        {
            task.report.state = tasks_fail ? task_state::failed : task_state::finished;
            task.report.result = "result of " + task.report.job;
        }
    }
}

void worker::report()
{
    plumspoke::worker::report sent;
    sent.worker = name();
    sent.incarnation = "life" + std::to_string(life);
    sent.sequence = ++sequence_;
    sent.capacity = {millicores, memory_mb, 0};
    for (const auto& [token, task] : tasks_)
    {
        sent.tasks.push_back(task.report);
    }
    const time_point sent_at = now();
    const std::uint64_t sequence = sequence_;
    // Any control VM may be the leader. The others reject the report, which costs nothing here.
    for (const auto& vm : world_.control_vms())
    {
        world_.send(*this,
                    *vm,
                    [this, target = vm.get(), sent, sent_at, sequence]
                    {
                        plumspoke::worker::orders reply;
                        if (!target->receive(sent, reply))
                        {
                            return;
                        }
                        world_.send(*target,
                                    *this,
                                    [this, reply, sent_at, sequence]
                                    {
                                        if (sequence == sequence_) // answers to older reports are ignored
                                        {
                                            apply_orders(reply, sent_at);
                                        }
                                    });
                    });
    }
}

void worker::apply_orders(const plumspoke::worker::orders& orders, time_point sent_at)
{
    const time_point lease_end = sent_at + milliseconds(orders.lease_ms);
    if (now() >= lease_end)
    {
        return;
    }
    lease_end_ = std::max(lease_end_, lease_end);
    for (const plumspoke::worker::settled_task& settled : orders.settled)
    {
        tasks_.erase(settled.token);
    }
    for (const plumspoke::worker::order& one : orders.tasks)
    {
        const auto found = tasks_.find(one.token);
        const bool ends =
            one.order == control::task_order::stop || one.order == control::task_order::checkpoint;
        if (found == tasks_.end())
        {
            std::uint64_t& newest = newest_token_[one.job];
            if (one.token <= newest)
            {
                continue;
            }
            newest = one.token;
            running_task task;
            task.report.job = one.job;
            task.report.token = one.token;
            task.report.state = ends ? task_state::stopped : task_state::running;
            const std::int64_t done = one.checkpoint.empty() ? 0 : std::stoll(one.checkpoint);
            task.left_us = task_time.count() - done;
            tasks_[one.token] = task;
            continue;
        }
        running_task& task = found->second;
        if (!task.report.ended() && ends)
        {
            task.report.state = task_state::stopped;
            if (one.order == control::task_order::checkpoint)
            {
                task.report.checkpoint = std::to_string(task_time.count() - task.left_us);
            }
        }
    }
}

void worker::serve(const call& requested,
                   const std::shared_ptr<bool>& abandoned,
                   const std::shared_ptr<bool>& delivered,
                   std::function<void(int)> answer,
                   std::function<void()> reset)
{
    if (*abandoned)
    {
        return; // the connection was reset before the request was read
    }
    if (std::exchange(*delivered, true))
    {
        return; // TCP delivers a request once, even if the simulated network duplicates the message
    }
    connections_.push_back(std::move(reset));
    ground_truth& facts = world_.facts;
    const int runs = ++facts.endpoint_runs[requested.id];
    const auto reported_outcome = facts.reported_outcomes.find(requested.id);
    facts.check(reported_outcome == facts.reported_outcomes.end() ||
                    reported_outcome->second != entry::outcome::not_run,
                "not_run_is_true: " + requested.id + " ran after its caller was told that it did not");
    facts.check(requested.safe || runs <= 1, "unsafe_at_most_once: " + requested.id + " ran twice");
    if (!requested.key.empty())
    {
        const int keyed = ++facts.keyed_runs[requested.key];
        facts.check(keyed <= 1, "unsafe_at_most_once: the key " + requested.key + " ran twice");
    }
    int& busy = facts.endpoint_busy[name()];
    ++busy;
    facts.check(busy <= 2,
                "worker_within_capacity: " + name() + " runs " + std::to_string(busy) + " requests");
    world_.after(answer_time,
                 [this, served_life = life, answer = std::move(answer)]
                 {
                     if (served_life != life || !up)
                     {
                         return;
                     }
                     --world_.facts.endpoint_busy[name()];
                     answer(200);
                 });
}

} // namespace plumspoke::world

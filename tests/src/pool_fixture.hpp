#pragma once

/// @file
/// @brief A pool of workers with labels, which may be silent or leave starts unanswered.

#include "dispatcher_fixture.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plumspoke::dispatch::dispatcher_test
{

/// @brief Workers of 16 processors, each labelled with its id; no task ends.
struct pool_fixture
{
    static constexpr std::int64_t worker_cpu_milli = 16'000;

    explicit pool_fixture(int workers)
    {
        for (int i = 1; i <= workers; ++i)
        {
            workers_.insert("w" + std::to_string(i));
        }
        announce_all();
        f.decide();
        f.answer_polls();
    }

    /// @brief Submits a job of one step.
    void submit(const std::string& id, jobs::step_spec step, std::uint32_t priority = 0)
    {
        submitted_at_[id] = f.now;
        f.submit(std::move(step), id, priority);
    }

    /// @brief Short tasks that wait for good, so that headroom is kept for them.
    void demand_headroom()
    {
        jobs::step_spec waiting;
        waiting.task_count = 10;
        waiting.needs = {12'000, 100, 0};
        waiting.required_label = "absent";
        f.submit(waiting, "short");
        advance(seconds(1));
    }

    void advance(duration time)
    {
        for (const time_point end = f.now + time; f.now < end;)
        {
            announce_all();
            f.decide(milliseconds(100));
            for (const order& one : std::vector<order>(f.orders))
            {
                carry_out(one);
            }
            answer_polls();
            f.commit();
        }
    }

    /// @brief How long a task of a job waited for the first order to start it, up to now.
    [[nodiscard]] duration first_wait(const std::string& job, std::uint32_t index = 0) const
    {
        const auto found = ordered_at_.find({job, index});
        const time_point until = found == ordered_at_.end() ? f.now : found->second;
        return std::chrono::duration_cast<duration>(until - submitted_at_.at(job));
    }

    fixture f;
    std::set<std::string> silent;                                // workers
    std::set<std::pair<std::string, std::uint32_t>> never_begun; // tasks whose orders get no answer

  private:
    using task_key = std::pair<std::string, std::uint32_t>; // job, index

    static task_key key_of(const jobs::run_name& name)
    {
        return {std::string(name.task.job.view()), name.task.index};
    }

    void announce_all()
    {
        for (const std::string& id : workers_)
        {
            if (silent.contains(id))
            {
                continue;
            }
            fleet::announcement worker;
            worker.life.id = id;
            worker.service = "pool";
            worker.address = "address-" + id;
            worker.labels = {id};
            worker.room = {worker_cpu_milli, 64'000, 0};
            f.leader.announced(f.now, worker);
        }
    }

    void carry_out(const order& what)
    {
        if (const auto* begin = std::get_if<start_order>(&what); begin != nullptr)
        {
            ordered_at_.try_emplace(key_of(begin->name), f.now);
            answer(what, begin->to.worker.id, begin->name);
        }
        else if (const auto* stop = std::get_if<stop_order>(&what); stop != nullptr)
        {
            answer(what, stop->to.worker.id, stop->name);
        }
    }

    void answer(const order& what, const std::string& worker, const jobs::run_name& name)
    {
        const bool answered = !silent.contains(worker) && !never_begun.contains(key_of(name));
        f.answer(what, {answered ? reply::done : reply::none, {}, {}, {}});
    }

    void answer_polls()
    {
        for (const poll_order& one : std::exchange(f.open_polls, {}))
        {
            worker_answer response;
            response.how = silent.contains(one.to.worker.id) ? reply::none : reply::done;
            for (const auto& [name, run] : f.leader.runs())
            {
                const bool listed = run.worker == one.to.worker && run.stage != run_stage::proposed &&
                                    !never_begun.contains(key_of(name));
                if (listed && response.how == reply::done)
                {
                    response.running.push_back({name, {}, 100, 0});
                }
            }
            f.answer(one, response);
        }
    }

    std::set<std::string> workers_;
    std::map<std::string, time_point> submitted_at_;
    std::map<task_key, time_point> ordered_at_;
};

/// @brief Lasting tasks, one on a worker.
[[nodiscard]] inline jobs::step_spec
make_lasting_step(std::uint32_t tasks, std::int64_t cpu_milli, const std::string& label = {})
{
    jobs::step_spec step;
    step.task_count = tasks;
    step.needs = {cpu_milli, 100, 0};
    step.lasting = true;
    step.max_per_worker = 1;
    step.required_label = label;
    return step;
}

} // namespace plumspoke::dispatch::dispatcher_test

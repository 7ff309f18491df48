/// @file
/// @brief Workers of several sizes, and random jobs of every kind of work.

#include "task_world.hpp"

#include <algorithm>

namespace plumspoke::test
{

namespace
{

constexpr int serving_images = 2;
constexpr int filler_images = 4;
constexpr std::uint32_t target_ms = 50;
constexpr std::uint32_t most_workers = 9;
constexpr int rack_count = 3;
constexpr auto gang_timeout = seconds(3); // from a member's start until its gang must be complete
const std::string rare_label = "ssd";

std::string rack_name(std::int64_t number)
{
    return "rack-" + std::to_string(number);
}

std::string serving_image(std::int64_t number)
{
    return "serving-" + std::to_string(number);
}

std::string filler_image(std::int64_t number)
{
    return "filler-" + std::to_string(number);
}

} // namespace

bool task_world::extra_chance(double share)
{
    return extra_real(0, 1) < share;
}

std::int64_t task_world::extra_between(std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(extra_random_);
}

double task_world::extra_real(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(extra_random_);
}

void task_world::mix_workers()
{
    mixes_workers_ = true;
    traits_.label_share = extra_real(0.2, 0.5);
}

void task_world::vary(worker& added)
{
    constexpr std::array<std::int64_t, 3> sizes{8000, 16'000, 24'000};
    constexpr std::array<std::int64_t, 3> memories{16'000, 32'000, 64'000};
    added.info.room = {sizes.at(static_cast<std::size_t>(extra_between(0, 2))),
                       memories.at(static_cast<std::size_t>(extra_between(0, 2))),
                       0};
    added.info.rack = rack_name(extra_between(0, rack_count - 1));
    if (extra_chance(traits_.label_share))
    {
        added.info.labels.push_back(rare_label);
    }
}

void task_world::draw_constraints(jobs::step_spec& step)
{
    step.required_label = extra_chance(0.2) ? rare_label : "";
    step.data_rack = extra_chance(0.2) ? rack_name(extra_between(0, rack_count - 1)) : "";
    step.max_per_worker = extra_chance(0.25) ? static_cast<std::uint32_t>(extra_between(1, 2)) : 0;
}

jobs::job_spec task_world::draw_serving()
{
    jobs::step_spec step;
    step.lasting = true;
    step.tail_target_ms = target_ms;
    step.image = serving_image(extra_between(0, serving_images - 1));
    step.task_count =
        traits_.serves_everywhere ? most_workers : static_cast<std::uint32_t>(extra_between(1, 6));
    step.needs = {extra_between(250, 1500), extra_between(200, 1500), 0};
    step.max_per_worker = traits_.serves_everywhere || extra_chance(0.7) ? 1 : 0;
    step.required_label = !traits_.serves_everywhere && extra_chance(0.1) ? rare_label : "";
    return {"", {step}};
}

jobs::job_spec task_world::draw_fillers()
{
    jobs::step_spec step;
    step.filler = true;
    step.image = filler_image(extra_between(0, filler_images - 1));
    step.task_count = static_cast<std::uint32_t>(extra_between(1, 3));
    step.needs = {extra_between(200, 1000), extra_between(100, 800), 0};
    step.estimate_ms = static_cast<std::uint32_t>(extra_between(500, 4000));
    step.saves_progress = extra_chance(0.5);
    draw_constraints(step);
    return {"", {step}};
}

jobs::job_spec task_world::draw_gang()
{
    jobs::step_spec step;
    step.gang = true;
    step.single_rack = extra_chance(0.6);
    step.task_count = static_cast<std::uint32_t>(extra_between(2, 4));
    step.needs = {extra_between(500, 3000), extra_between(100, 1500), 0};
    step.estimate_ms = static_cast<std::uint32_t>(extra_between(300, 2500));
    step.saves_progress = extra_chance(0.5);
    step.max_per_worker = extra_chance(0.2) ? 2 : 0;
    return {"", {step}};
}

jobs::job_spec task_world::draw_lasting()
{
    jobs::step_spec step;
    step.lasting = true;
    step.task_count = static_cast<std::uint32_t>(extra_between(1, 3));
    step.needs = {extra_between(500, traits_.heavy_lasting ? 8000 : 3000), extra_between(100, 2000), 0};
    step.gang = step.task_count > 1 && extra_chance(0.3);
    draw_constraints(step);
    return {"", {step}};
}

jobs::job_spec task_world::draw_short()
{
    jobs::job_spec spec;
    const auto steps = static_cast<std::uint32_t>(extra_between(1, 3));
    for (std::uint32_t i = 0; i < steps; ++i)
    {
        jobs::step_spec step;
        step.task_count = static_cast<std::uint32_t>(extra_between(1, 4));
        step.needs = {extra_between(500, 6000), extra_between(100, 2000), 0};
        step.estimate_ms = static_cast<std::uint32_t>(extra_between(200, 2500));
        step.saves_progress = extra_chance(0.5);
        step.copies_allowed = extra_chance(0.2);
        if (i > 0)
        {
            step.after.push_back(i - 1);
        }
        draw_constraints(step);
        spec.steps.push_back(step);
    }
    return spec;
}

void task_world::submit_all_kinds(std::size_t count, duration over)
{
    for (int serving = 0; serving < serving_images; ++serving)
    {
        for (int filler = 0; filler < filler_images; ++filler)
        {
            const bool harmless = extra_chance(0.3);
            effects_[{serving_image(serving), filler_image(filler)}] = harmless ? 0.02 : extra_real(0.1, 1.0);
        }
    }
    const auto submit_drawn = [this](const jobs::job_spec& spec, const std::string& id, duration when)
    {
        submit(when, spec, id);
        const bool serves = spec.steps[0].tail_target_ms > 0;
        if (spec.steps[0].lasting && extra_chance(serves ? 0.3 : 0.8))
        {
            cancel(when + milliseconds(extra_between(3000, 30'000)), id);
        }
        else if (extra_chance(0.05))
        {
            cancel(when + milliseconds(extra_between(100, 4000)), id);
        }
    };
    traits_.serves_everywhere = extra_chance(0.5);
    traits_.heavy_lasting = extra_chance(0.4);
    const auto serving_jobs = extra_between(1, 4);
    for (std::int64_t i = 0; i < serving_jobs; ++i)
    {
        const std::string id = "serving" + std::to_string(i);
        // From calm over near the target to over it by its own load.
        own_loads_[id] = {extra_real(0.3, 1.2),
                          extra_chance(0.5) ? extra_real(0.1, 0.6) : 0,
                          extra_real(8, 22),
                          extra_real(0, 6)};
        submit_drawn(draw_serving(), id, duration(i == 0 ? 0 : extra_between(0, over.count() / 2)));
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        const duration when(extra_between(0, over.count()));
        const std::string number = std::to_string(i);
        const std::int64_t kind = extra_between(0, 99);
        if (kind < 45)
        {
            submit_drawn(draw_fillers(), "filler" + number, when);
        }
        else if (kind < 60)
        {
            submit_drawn(draw_gang(), "gang" + number, when);
        }
        else if (kind < (traits_.heavy_lasting ? 75 : 68))
        {
            submit_drawn(draw_lasting(), "lasting" + number, when);
        }
        else
        {
            submit_drawn(draw_short(), "short" + number, when);
        }
    }
}

void task_world::end_lone_members()
{
    std::map<std::pair<jobs::job_id, std::uint32_t>, std::uint32_t> complete; // by job and attempt
    for (const auto& [id, of] : workers_)
    {
        for (const auto& [name, task] : of.running)
        {
            complete[{name.task.job, name.attempt}] += task.gang_size > 0 ? 1 : 0;
        }
    }
    for (auto& [id, of] : workers_)
    {
        const auto running = of.running;
        for (const auto& [name, task] : running)
        {
            if (now_ > task.started_at + gang_timeout &&
                complete[{name.task.job, name.attempt}] < task.gang_size)
            {
                end_run(of, name, jobs::run_end::alone);
            }
        }
    }
}

void task_world::check_constraints(const worker& on, const jobs::run_name& name, const jobs::step_spec& spec)
{
    const std::vector<std::string>& labels = on.info.labels;
    if (!spec.required_label.empty() &&
        std::find(labels.begin(), labels.end(), spec.required_label) == labels.end())
    {
        report_violation("start on a worker without the label: " + name.task.job.text());
    }
    const auto beside =
        static_cast<std::uint32_t>(std::count_if(on.running.begin(),
                                                 on.running.end(),
                                                 [&name](const auto& entry)
                                                 {
                                                     const jobs::task_name& other = entry.first.task;
                                                     return other.job == name.task.job &&
                                                            other.occurrence == name.task.occurrence &&
                                                            other.step == name.task.step;
                                                 }));
    if (spec.max_per_worker > 0 && beside >= spec.max_per_worker && !executing_late_order_)
    {
        report_violation("start beyond the limit for each worker: " + name.task.job.text());
    }
}

} // namespace plumspoke::test

#include "plumspoke/jobs/model.hpp"

#include <algorithm>

namespace plumspoke::jobs
{

namespace
{

// Limits the state that one job can occupy: ten times the widest job that users plan.
constexpr std::uint32_t max_tasks_per_step = 10'000;
constexpr std::size_t max_steps = 1'000;
constexpr std::uint32_t max_repeats = 100'000;

std::string step_error(std::size_t index, std::string_view what)
{
    return "step " + std::to_string(index) + ": " + std::string(what);
}

std::optional<std::string> find_step_error(const step_spec& step, std::size_t index)
{
    if (step.task_count == 0 || step.task_count > max_tasks_per_step)
    {
        return step_error(index, "its number of tasks must be 1 to " + std::to_string(max_tasks_per_step));
    }
    if (step.needs.cpu_milli < 0 || step.needs.memory_mb < 0 || step.needs.accelerators < 0)
    {
        return step_error(index, "its needs must not be negative");
    }
    for (const std::uint32_t earlier : step.after)
    {
        if (earlier >= index)
        {
            return step_error(index, "it may only wait for earlier steps");
        }
    }
    return std::nullopt;
}

} // namespace

resources& resources::operator+=(const resources& other) noexcept
{
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) noexcept
{
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

bool resources::fits_into(const resources& other) const noexcept
{
    return cpu_milli <= other.cpu_milli && memory_mb <= other.memory_mb && accelerators <= other.accelerators;
}

std::optional<std::string> find_spec_error(const job_spec& spec)
{
    if (spec.steps.empty() || spec.steps.size() > max_steps)
    {
        return "the number of steps must be 1 to " + std::to_string(max_steps);
    }
    if (spec.repeat_count > max_repeats || spec.interval_ms < 0)
    {
        return "the repetition is out of range";
    }
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        if (std::optional<std::string> error = find_step_error(spec.steps[i], i))
        {
            return error;
        }
    }
    return std::nullopt;
}

const queue* configuration::find_queue(std::string_view host, std::string_view path) const noexcept
{
    const queue* best = nullptr;
    for (const queue& one : queues)
    {
        const bool matches = one.host == host && path.starts_with(one.path_prefix);
        if (matches && (best == nullptr || one.path_prefix.size() > best->path_prefix.size()))
        {
            best = &one;
        }
    }
    return best;
}

bool job::is_ready(const occurrence& instance, std::uint32_t step) const noexcept
{
    const std::vector<std::uint32_t>& after = spec.steps[step].after;
    return std::all_of(after.begin(),
                       after.end(),
                       [&instance](std::uint32_t earlier)
                       {
                           return instance.steps[earlier].done == instance.steps[earlier].tasks.size();
                       });
}

bool job::has_lasting_step() const noexcept
{
    return std::any_of(spec.steps.begin(),
                       spec.steps.end(),
                       [](const step_spec& one)
                       {
                           return one.lasting;
                       });
}

} // namespace plumspoke::jobs

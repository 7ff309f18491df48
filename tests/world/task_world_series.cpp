/// @file
/// @brief Series of disruptions that overlap, with calm between them.

#include "task_world.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::test
{

namespace
{

constexpr double affected_share = 0.3; // of the workers, by one disruption
constexpr std::int64_t max_day_step_ms = 9000;
// For how long a start that was sent to the life before may still be carried out and hold a lease on a life
// that never answers again, less the calm that a check waits for.
constexpr auto fenced_start_effect = milliseconds(18'500);
constexpr auto order_faults = seconds(2); // how long orders are late or lose their answers

} // namespace

void task_world::disturb_until(time_point when) noexcept
{
    disturbed_until_ = std::max(disturbed_until_, when);
}

void task_world::disrupt(const disruption_series& series)
{
    has_series_ = true;
    for (duration begin = series.first; begin < series.until; begin += series.interval)
    {
        at(start_ + begin,
           [this, series]
           {
               begin_series(series);
           });
    }
}

void task_world::begin_series(const disruption_series& series)
{
    const std::int64_t count = extra_between(1, series.most);
    for (std::int64_t i = 0; i < count; ++i)
    {
        const auto drawn = extra_between(0, static_cast<std::int64_t>(series.kinds.size()) - 1);
        after(duration(extra_between(0, series.length.count())),
              [this, kind = series.kinds[static_cast<std::size_t>(drawn)]]
              {
                  disrupt(kind);
              });
    }
}

std::vector<std::string> task_world::draw_workers(double share)
{
    std::vector<std::string> drawn;
    for (const auto& [id, of] : workers_)
    {
        if (of.alive && of.info.state == fleet::worker_state::ready && extra_chance(share))
        {
            drawn.push_back(id);
        }
    }
    return drawn;
}

void task_world::disrupt(disruption kind)
{
    disturb_until(now_);
    switch (kind)
    {
    case disruption::leader_change:
        if (leading_)
        {
            change_leader();
        }
        return;
    case disruption::clock_step:
        step_clock();
        return;
    case disruption::loss_of_power:
        lose_power();
        return;
    case disruption::late_orders:
        late_until_ = now_ + order_faults;
        return;
    case disruption::lost_answers:
        lost_until_ = now_ + order_faults;
        return;
    case disruption::brief_life:
    case disruption::crash:
    case disruption::cut:
    case disruption::drain:
    case disruption::shrinking:
        break;
    }
    for (const std::string& id : draw_workers(affected_share))
    {
        const worker& of = workers_.at(id);
        if (kind == disruption::brief_life)
        {
            live_briefly(id);
        }
        else if (kind == disruption::crash)
        {
            crash(id);
        }
        else if (kind == disruption::drain)
        {
            drain(id);
        }
        else if (kind == disruption::shrinking)
        {
            shrink(id);
        }
        else if (!of.cut && !of.deaf && !of.mute)
        {
            cut(id);
        }
    }
}

// The time of day isn't what a calm of the pool is counted by: a step is no disruption that lasts.
void task_world::step_clock()
{
    const std::int64_t by = extra_between(-max_day_step_ms, max_day_step_ms);
    leader_day_step_ms_ += by;
    if (extra_chance(0.5))
    {
        after(milliseconds(extra_between(3000, 12'000)),
              [this, by]
              {
                  leader_day_step_ms_ -= by;
              });
    }
}

void task_world::lose_power()
{
    duration longest{};
    for (auto& [id, of] : workers_)
    {
        if (!of.alive)
        {
            continue;
        }
        const bool leaves = of.info.state != fleet::worker_state::ready; // replaced when it would have left
        of.alive = false;
        of.running.clear();
        of.answer_poll = nullptr;
        ++outcome_.workers_crashed;
        const duration down = milliseconds(extra_between(500, 3000));
        longest = std::max(longest, down);
        if (!leaves)
        {
            after(down,
                  [this, id = id]
                  {
                      restart_worker(id);
                  });
        }
    }
    disturb_until(now_ + longest);
    change_leader(milliseconds(extra_between(500, 3000)));
}

void task_world::live_briefly(const std::string& id)
{
    worker& of = workers_.at(id);
    of.alive = false;
    const auto running = std::exchange(of.running, {});
    for (const auto& [name, task] : running)
    {
        break_gang(name);
    }
    of.answer_poll = nullptr;
    ++outcome_.workers_crashed;
    const duration down = milliseconds(extra_between(300, 2000));
    const duration up = milliseconds(extra_between(5, 500));
    disturb_until(now_ + down + up + fenced_start_effect);
    after(down,
          [this, id]
          {
              restart_with_same_id(id);
          });
    after(down + up,
          [this, id]
          {
              leave(id);
          });
}

void task_world::shrink(const std::string& id)
{
    worker& of = workers_.at(id);
    const jobs::resources before = of.info.room;
    const duration span = milliseconds(extra_between(2000, 8000));
    of.info.room.cpu_milli = before.cpu_milli / 2;
    of.info.room.memory_mb = before.memory_mb / 2;
    of.resized_at = now_;
    disturb_until(now_ + span);
    after(span,
          [this, id, before, life = of.lives]
          {
              if (workers_.at(id).lives == life)
              {
                  workers_.at(id).info.room = before;
              }
          });
}

} // namespace plumspoke::test

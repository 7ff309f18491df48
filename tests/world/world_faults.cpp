/// @file
/// @brief Fault injection: selects the fault at a step, applies it and ends all faults.

#include "world.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace plumspoke::world
{

namespace
{

constexpr auto kill_downtime = milliseconds(400);
constexpr auto freeze_duration = milliseconds(4500); // longer than each lease and its margin
constexpr auto partition_duration = milliseconds(5000);
constexpr auto clock_fault_duration = milliseconds(10000);
constexpr double fast_rate = 1.08; // within the drift margin over one lease
constexpr double slow_rate = 0.92;
constexpr std::int64_t jump_us = 3'000'000; // longer than a lease and its margin

constexpr std::array<std::string_view, fault_count> fault_names = {"none",
                                                                   "message_lost",
                                                                   "message_late",
                                                                   "message_doubled",
                                                                   "message_reordered",
                                                                   "killed_before_sync",
                                                                   "killed_after_sync",
                                                                   "disk_lost",
                                                                   "receiver_killed",
                                                                   "receiver_frozen",
                                                                   "link_cut_both_ways",
                                                                   "link_cut_one_way",
                                                                   "clock_fast",
                                                                   "clock_slow",
                                                                   "clock_jump"};

} // namespace

std::string_view to_string(fault kind) noexcept
{
    return fault_names.at(static_cast<std::size_t>(kind));
}

void world::arm() noexcept
{
    armed_ = true;
    steps_ = 0;
}

fault world::fault_at_step()
{
    if (!armed_)
    {
        return fault::none;
    }
    ++steps_;
    if (options_.random_faults > 0)
    {
        return chance(options_.random_faults) ? static_cast<fault>(1 + random_() % (fault_count - 1))
                                              : fault::none;
    }
    if (!first_injected_ && options_.first.kind != fault::none && steps_ == options_.first.step)
    {
        first_injected_ = true;
        return options_.first.kind;
    }
    if (first_injected_ && !second_injected_ && options_.second.kind != fault::none &&
        ++steps_since_first_ == options_.second.step)
    {
        second_injected_ = true;
        return options_.second.kind;
    }
    return fault::none;
}

void world::kill_for(process& victim, duration span, bool lose_disk)
{
    if (!victim.up || &victim == operator_.get())
    {
        return;
    }
    // Three replicas tolerate one lost disk at a time. The design doesn't cover a second loss before the
    // repair.
    const bool all_replicas_healthy = lose_disk && replicas_healthy();
    victim.up = false;
    ++victim.life;
    victim.kill();
    if (lose_disk && all_replicas_healthy)
    {
        if (auto* vm = dynamic_cast<control_vm*>(&victim); vm != nullptr)
        {
            vm->lose_disk();
        }
    }
    after(span,
          [&victim]
          {
              victim.up = true;
              victim.restart();
          });
}

bool world::replicas_healthy()
{
    const control_vm* leader = acting_leader();
    if (leader == nullptr || leader->consensus().membership_change_pending() ||
        leader->consensus().members().members.size() != control_vms_.size())
    {
        return false;
    }
    return std::all_of(control_vms_.begin(),
                       control_vms_.end(),
                       [leader](const std::unique_ptr<control_vm>& one)
                       {
                           return one->up && leader->consensus().members().is_voter(one->id()) &&
                                  leader->consensus().match_index(one->id()) >=
                                      leader->consensus().commit_index();
                       });
}

void world::cut(const std::string& from, const std::string& to, duration span)
{
    cuts_[{from, to}] = std::max(cuts_[{from, to}], true_us_ + span.count());
}

/// Injects faults of processes and links. `send` handles faults of the message itself.
void world::inject(fault kind, process& victim, process& other)
{
    switch (kind)
    {
    case fault::disk_lost:
        kill_for(victim, kill_downtime, true);
        return;
    case fault::receiver_killed:
        kill_for(victim, kill_downtime, false);
        return;
    case fault::receiver_frozen:
        victim.frozen_until_us = true_us_ + duration(freeze_duration).count();
        return;
    case fault::link_cut_both_ways:
        cut(victim.name(), other.name(), partition_duration);
        cut(other.name(), victim.name(), partition_duration);
        return;
    case fault::link_cut_one_way:
        cut(other.name(), victim.name(), partition_duration);
        return;
    case fault::clock_fast:
    case fault::clock_slow:
        victim.clock.set_rate(true_us_, kind == fault::clock_fast ? fast_rate : slow_rate);
        after(clock_fault_duration,
              [this, &victim]
              {
                  victim.clock.set_rate(true_us_, 1);
              });
        return;
    case fault::clock_jump:
        victim.clock.jump(true_us_, jump_us);
        return;
    default:
        return;
    }
}

void world::heal()
{
    disarm();
    cuts_.clear();
    const auto heal_one = [this](process& one)
    {
        one.frozen_until_us = 0;
        one.clock.set_rate(true_us_, 1);
    };
    for (const auto& one : control_vms_)
    {
        heal_one(*one);
    }
    for (const auto& one : workers_)
    {
        heal_one(*one);
    }
    for (const auto& one : entries_)
    {
        heal_one(*one);
    }
}

bool world::sync_survived(control_vm& vm)
{
    const fault injected = fault_at_step();
    if (injected == fault::killed_before_sync)
    {
        kill_for(vm, kill_downtime, false);
        return false;
    }
    after_sync_ = injected;
    return true;
}

bool world::killed_after_sync(control_vm& vm)
{
    const fault injected = std::exchange(after_sync_, fault::none);
    if (injected != fault::killed_after_sync && injected != fault::disk_lost)
    {
        return false;
    }
    kill_for(vm, kill_downtime, injected == fault::disk_lost);
    return true;
}

} // namespace plumspoke::world

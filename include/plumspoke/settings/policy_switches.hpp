#pragma once

/// @file
/// @brief Mechanisms of the dispatcher's policy that can be disabled to measure their effect.

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace plumspoke::settings
{

/// @brief A policy mechanism.
enum class mechanism : std::uint8_t
{
    predicted_lateness,    // jobs are ordered by the value they can still earn, not only by age
    begun_jobs_first,      // jobs with tasks that have been started go before those without
    short_task_room,       // capacity for whole short tasks is kept free of long-running tasks
    tight_short_tasks,     // short tasks are placed by best fit
    undisturbed_reference, // interference is measured against undisturbed sibling tasks
    starving_fillers,      // fillers that would interfere on every worker are placed after a delay
    set_aside,             // workers whose tasks fail are excluded from placement
    copies,                // a straggler gets a second run if the submitter allows it
    straggler_moves,       // a slow or stalled run is abandoned and restarted elsewhere
    pace,                  // fillers that interfere with serving tasks are throttled
    serving_by_image,      // serving tasks of the same image share workers
    held_room,             // capacity is reserved for long-running tasks that lost their worker
};
inline constexpr std::array<std::string_view, 12> mechanism_names = {"predicted_lateness",
                                                                     "begun_jobs_first",
                                                                     "short_task_room",
                                                                     "tight_short_tasks",
                                                                     "undisturbed_reference",
                                                                     "starving_fillers",
                                                                     "set_aside",
                                                                     "copies",
                                                                     "straggler_moves",
                                                                     "pace",
                                                                     "serving_by_image",
                                                                     "held_room"};

/// @brief The mechanism with this name, or std::nullopt.
[[nodiscard]] std::optional<mechanism> find_mechanism(std::string_view name) noexcept;

/// @brief Set of disabled mechanisms; empty by default.
class policy_switches
{
  public:
    [[nodiscard]] bool is_on(mechanism which) const noexcept
    {
        return !off_[static_cast<std::size_t>(which)];
    }
    void disable(mechanism which) noexcept
    {
        off_[static_cast<std::size_t>(which)] = true;
    }

  private:
    std::bitset<mechanism_names.size()> off_;
};

} // namespace plumspoke::settings

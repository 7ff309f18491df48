#pragma once

/// @file
/// @brief Mechanisms of the dispatcher's policy that can be switched off, to measure what each is worth.

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace plumspoke::settings
{

/// @brief One mechanism.
enum class mechanism : std::uint8_t
{
    predicted_lateness,    // the order of jobs goes by what they will still earn, not only by their age
    short_task_room,       // whole places are kept free of lasting tasks
    tight_short_tasks,     // short tasks go where they leave the least room
    undisturbed_reference, // harm is told by siblings that nothing disturbs
    starving_fillers,      // what would harm everywhere is placed after a while all the same
    set_aside,             // nothing is placed on workers whose tasks fail
    copies,                // a second run of a straggler, where the submitter allows it
    straggler_moves,       // a slow or standing run is given up for one elsewhere
    pace,                  // fillers that disturb what serves are slowed
    serving_by_image,      // serving tasks of one image share workers
    held_room,             // room is kept for lasting tasks that lost their worker
};
inline constexpr std::array<std::string_view, 11> mechanism_names = {"predicted_lateness",
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

/// @brief The mechanism of this name, or nothing.
[[nodiscard]] std::optional<mechanism> find_mechanism(std::string_view name) noexcept;

/// @brief Which mechanisms are off; none by default.
class policy_switches
{
  public:
    [[nodiscard]] bool is_on(mechanism which) const noexcept
    {
        return !off_[static_cast<std::size_t>(which)];
    }
    void turn_off(mechanism which) noexcept
    {
        off_[static_cast<std::size_t>(which)] = true;
    }

  private:
    std::bitset<mechanism_names.size()> off_;
};

} // namespace plumspoke::settings

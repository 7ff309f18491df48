#pragma once

/// @file
/// @brief Divides each worker's slots among the entries. The grants of a worker never exceed its slots.
///
/// A granted slot counts as used until its entry reports it free, or until the entry's lease and the
/// longest request that may have started under it have expired. Soft state of one leader: a new leader
/// doesn't grant slots that an entry not yet known to it may still hold.

#include "plumspoke/control/model.hpp"
#include "plumspoke/time/time.hpp"

#include <set>

namespace plumspoke::control
{

/// @brief Duration of an entry's lease and the margin for drift between clocks.
struct slot_allocator_options
{
    duration lease = seconds(3);
    duration drift_margin = milliseconds(300);
};

/// @brief A number of slots of one worker.
struct slot_share
{
    std::string worker;
    std::int64_t slots = 0;

    bool operator==(const slot_share&) const = default;
};

/// @brief The number of slots of a service that an entry could use now.
struct service_demand
{
    std::string service;
    std::int64_t wanted_slots = 0;
};

/// @brief An entry's periodic report.
struct entry_report
{
    std::string entry;
    std::string incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t version_in_force = 0;
    std::vector<slot_share> held;
    std::vector<service_demand> demand;
    bool leaving = false;
};

/// @brief The answer to an entry's report.
struct entry_orders
{
    bool accepted = false; // false: a report with this or a later sequence was already answered
    std::vector<slot_share> granted;
};

/// @brief The leader's view of one process of an entry.
struct entry_view
{
    std::string entry;
    std::string incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t version_in_force = 0;
    time_point answered_at{};
    bool leaving = false;
    std::map<std::string, std::int64_t> outstanding; // slots that it may be using, by worker
    std::map<std::string, std::int64_t> wanted;      // slots that it could use, by service
};

/// @brief Grants slots to entries in answer to their reports.
class slot_allocator
{
  public:
    explicit slot_allocator(slot_allocator_options options) noexcept : options_(options)
    {
    }

    /// @brief Clears all state; called when leadership begins.
    /// @param now start of the leadership
    /// @param config configuration at that time; entries that haven't reported yet may hold its slots
    void reset(time_point now, const configuration& config);

    /// @brief Takes in a report and grants slots.
    [[nodiscard]] entry_orders
    receive(time_point now, const configuration& config, const entry_report& received);

    /// @brief Removes entries whose lease and longest request have expired.
    void tick(time_point now, const configuration& config);

    /// @brief Whether each entry that may be serving has reported this configuration version or a later one.
    [[nodiscard]] bool in_force(time_point now, std::uint64_t version) const;

    /// @brief Whether an entry's lease may still be valid on its own clock, which may drift.
    [[nodiscard]] bool may_serve(time_point now, const entry_view& entry) const noexcept
    {
        return !entry.leaving && now < entry.answered_at + options_.lease + options_.drift_margin;
    }

    [[nodiscard]] const std::map<std::string, entry_view>& entries() const noexcept
    {
        return entries_;
    }

    /// @brief The number of a worker's slots that may be in use.
    [[nodiscard]] std::int64_t outstanding_slots(const std::string& worker) const;

  private:
    using target_table = std::map<std::string, std::map<std::string, std::int64_t>>; // by entry and worker

    [[nodiscard]] std::int64_t
    grantable_slots(time_point now, const std::string& worker, std::int64_t capacity) const;
    void recompute_targets(time_point now, const configuration& config);
    void distribute_slots(const service_config& service, const std::vector<const entry_view*>& live);

    slot_allocator_options options_;
    time_point leader_since_{};
    duration longest_request_{};
    std::set<std::string> possibly_held_workers_; // their slots may be held by entries not heard yet
    std::map<std::string, entry_view> entries_;   // by entry and incarnation
    target_table targets_;
    std::uint64_t targets_version_ = 0;
    std::size_t targets_entries_ = 0;
    time_point targets_at_{};
};

/// @brief The number of slots of each worker, shared by all services that it serves.
[[nodiscard]] std::map<std::string, std::int64_t> slots_by_worker(const configuration& config);

} // namespace plumspoke::control

#pragma once

/// @file
/// @brief Which entry may use how many slots of which worker. The sum never passes what the worker has.
///
/// A slot that an entry may hold is counted until the entry itself says it is free, or until the entry's
/// lease and the longest request under it have surely run out. Soft state of one leader: a new leader
/// hands out nothing that an entry unknown to it might still hold.

#include "plumspoke/control/model.hpp"
#include "plumspoke/time/time.hpp"

#include <set>

namespace plumspoke::control
{

/// @brief Times of the entries' leases.
struct slot_allocator_options
{
    duration lease = seconds(3);
    duration drift_margin = milliseconds(300);
};

/// @brief Slots of one worker.
struct slot_share
{
    std::string worker;
    std::int64_t slots = 0;

    bool operator==(const slot_share&) const = default;
};

/// @brief How many slots of a service an entry could use now.
struct service_demand
{
    std::string service;
    std::int64_t wanted_slots = 0;
};

/// @brief What an entry says of itself.
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

/// @brief What an entry is told.
struct entry_orders
{
    bool accepted = false; // false: an older report than one answered before
    std::vector<slot_share> granted;
};

/// @brief What the leader knows of one process of an entry.
struct entry_view
{
    std::string entry;
    std::string incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t version_in_force = 0;
    time_point answered_at{};
    bool leaving = false;
    std::map<std::string, std::int64_t> outstanding; // by worker: what it may be using
    std::map<std::string, std::int64_t> wanted;      // by service
};

/// @brief Shares the slots out.
class slot_allocator
{
  public:
    explicit slot_allocator(slot_allocator_options options) noexcept : options_(options)
    {
    }

    /// @brief Forgets everything, as a new leader must.
    /// @param now when leadership began
    /// @param config the configuration then; its workers' slots may be held by entries not heard yet
    void reset(time_point now, const configuration& config);

    /// @brief Answers one report.
    [[nodiscard]] entry_orders
    receive(time_point now, const configuration& config, const entry_report& received);

    /// @brief Forgets entries whose lease and longest request have run out.
    void tick(time_point now, const configuration& config);

    /// @brief Whether every entry that may be serving has this version, or has surely stopped serving.
    [[nodiscard]] bool in_force(time_point now, std::uint64_t version) const;

    /// @brief Whether this process still holds its lease, drift included.
    [[nodiscard]] bool may_serve(time_point now, const entry_view& entry) const noexcept
    {
        return !entry.leaving && now < entry.answered_at + options_.lease + options_.drift_margin;
    }

    [[nodiscard]] const std::map<std::string, entry_view>& entries() const noexcept
    {
        return entries_;
    }

    /// @brief How many slots of a worker may be in use.
    [[nodiscard]] std::int64_t outstanding_slots(const std::string& worker) const;

  private:
    using target_table = std::map<std::string, std::map<std::string, std::int64_t>>; // entry, worker

    [[nodiscard]] std::int64_t
    grantable_slots(time_point now, const std::string& worker, std::int64_t capacity) const;
    void recompute_targets(time_point now, const configuration& config);
    void distribute_slots(const service_config& service, const std::vector<const entry_view*>& live);

    slot_allocator_options options_;
    time_point leader_since_{};
    duration longest_request_{};
    std::set<std::string> possibly_held_workers_; // workers that served before this leader
    std::map<std::string, entry_view> entries_;   // by entry and incarnation
    target_table targets_;
    std::uint64_t targets_version_ = 0;
    std::size_t targets_entries_ = 0;
    time_point targets_at_{};
};

/// @brief The slots that a worker has, over all services that it serves.
[[nodiscard]] std::map<std::string, std::int64_t> slots_by_worker(const configuration& config);

} // namespace plumspoke::control

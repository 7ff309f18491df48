#include "plumspoke/control/slot_allocator.hpp"

#include "plumspoke/error/invariant.hpp"

#include <algorithm>

namespace plumspoke::control
{

namespace
{

constexpr auto target_interval = milliseconds(1000);
constexpr double min_weight_fraction = 0.25; // of the mean; leaves idle entries slots for new requests

std::string entry_key(const std::string& entry, const std::string& incarnation)
{
    return entry + '/' + incarnation;
}

duration longest_request(const configuration& config)
{
    duration longest{};
    for (const auto& [name, service] : config.services)
    {
        longest = std::max<duration>(longest, milliseconds(service.answer_within_ms));
    }
    return longest;
}

/// @brief An entry's state in smooth weighted round-robin; the weights sum to 1.
struct weighted_entry
{
    const entry_view* entry = nullptr;
    double weight = 0;
    double current_weight = 0;
};

std::vector<weighted_entry> make_weighted_entries(const service_config& service,
                                                  const std::vector<const entry_view*>& live)
{
    std::vector<weighted_entry> weighted;
    double total = 0;
    for (const entry_view* entry : live)
    {
        const auto found = entry->wanted.find(service.name);
        const double wanted = found == entry->wanted.end() ? 0 : static_cast<double>(found->second);
        weighted.push_back({entry, wanted, 0});
        total += wanted;
    }
    const double mean = total / static_cast<double>(live.size());
    double weights = 0;
    for (weighted_entry& share : weighted)
    {
        share.weight = mean <= 0 ? 1 : std::max(share.weight, min_weight_fraction * mean);
        weights += share.weight;
    }
    for (weighted_entry& share : weighted)
    {
        share.weight /= weights;
    }
    return weighted;
}

} // namespace

std::map<std::string, std::int64_t> slots_by_worker(const configuration& config)
{
    std::map<std::string, std::int64_t> slots;
    for (const auto& [name, service] : config.services)
    {
        for (const endpoint_config& endpoint : service.endpoints)
        {
            // Services on the same worker share its slots; if their numbers differ, the smaller one applies.
            const auto [found, added] = slots.emplace(endpoint.worker, service.slots_per_worker);
            if (!added)
            {
                found->second = std::min(found->second, service.slots_per_worker);
            }
        }
    }
    return slots;
}

void slot_allocator::reset(time_point now, const configuration& config)
{
    leader_since_ = now;
    longest_request_ = longest_request(config);
    entries_.clear();
    targets_.clear();
    targets_version_ = 0;
    targets_entries_ = 0;
    possibly_held_workers_.clear();
    for (const auto& [worker, slots] : slots_by_worker(config))
    {
        possibly_held_workers_.insert(worker);
    }
}

void slot_allocator::tick(time_point now, const configuration& config)
{
    longest_request_ = std::max(longest_request_, longest_request(config));
    const duration reclaim_delay = options_.lease + options_.drift_margin + longest_request_;
    std::erase_if(entries_,
                  [now, reclaim_delay](const auto& entry)
                  {
                      return entry.second.answered_at + reclaim_delay < now ||
                             (entry.second.leaving && entry.second.outstanding.empty());
                  });
    if (now > leader_since_ + reclaim_delay)
    {
        possibly_held_workers_.clear();
    }
}

std::int64_t slot_allocator::outstanding_slots(const std::string& worker) const
{
    std::int64_t sum = 0;
    for (const auto& [key, entry] : entries_)
    {
        const auto found = entry.outstanding.find(worker);
        sum += found == entry.outstanding.end() ? 0 : found->second;
    }
    return sum;
}

std::int64_t
slot_allocator::grantable_slots(time_point /*now*/, const std::string& worker, std::int64_t capacity) const
{
    if (possibly_held_workers_.contains(worker))
    {
        return 0; // entries that haven't reported to this leader may hold all slots
    }
    return std::max<std::int64_t>(0, capacity - outstanding_slots(worker));
}

void slot_allocator::distribute_slots(const service_config& service,
                                      const std::vector<const entry_view*>& live)
{
    std::vector<weighted_entry> weighted = make_weighted_entries(service, live);
    for (const endpoint_config& endpoint : service.endpoints)
    {
        for (std::int64_t slot = 0; slot < service.slots_per_worker; ++slot)
        {
            for (weighted_entry& share : weighted)
            {
                share.current_weight += share.weight;
            }
            weighted_entry& next =
                *std::max_element(weighted.begin(),
                                  weighted.end(),
                                  [](const weighted_entry& left, const weighted_entry& right)
                                  {
                                      return left.current_weight < right.current_weight;
                                  });
            next.current_weight -= 1;
            std::int64_t& target =
                targets_[entry_key(next.entry->entry, next.entry->incarnation)][endpoint.worker];
            target += 1;
        }
    }
}

void slot_allocator::recompute_targets(time_point now, const configuration& config)
{
    std::vector<const entry_view*> live;
    for (const auto& [key, entry] : entries_)
    {
        if (may_serve(now, entry))
        {
            live.push_back(&entry);
        }
    }
    const bool same = targets_version_ == config.version && targets_entries_ == live.size();
    if (live.empty() || (same && now < targets_at_ + target_interval))
    {
        return;
    }
    targets_.clear();
    targets_version_ = config.version;
    targets_entries_ = live.size();
    targets_at_ = now;
    std::set<std::string> distributed;
    for (const auto& [name, service] : config.services)
    {
        service_config remaining = service;
        std::erase_if(remaining.endpoints,
                      [&distributed](const endpoint_config& endpoint)
                      {
                          return distributed.contains(endpoint.worker);
                      });
        for (const endpoint_config& endpoint : remaining.endpoints)
        {
            distributed.insert(endpoint.worker); // once per worker, for all services that share it
        }
        distribute_slots(remaining, live);
    }
}

entry_orders
slot_allocator::receive(time_point now, const configuration& config, const entry_report& received)
{
    entry_orders orders;
    const std::string key = entry_key(received.entry, received.incarnation);
    entry_view& view = entries_[key];
    if (received.sequence <= view.sequence)
    {
        return orders;
    }
    orders.accepted = true;
    view.entry = received.entry;
    view.incarnation = received.incarnation;
    view.sequence = received.sequence;
    view.version_in_force = received.version_in_force;
    view.answered_at = now;
    view.leaving = received.leaving;
    view.outstanding.clear();
    for (const slot_share& share : received.held)
    {
        if (share.slots > 0)
        {
            view.outstanding[share.worker] = share.slots;
        }
    }
    for (const service_demand& demand : received.demand)
    {
        view.wanted[demand.service] = demand.wanted_slots;
    }
    if (received.leaving)
    {
        return orders;
    }
    recompute_targets(now, config);
    const auto target_row = targets_.find(key);
    for (const auto& [worker, capacity] : slots_by_worker(config))
    {
        const auto held_found = view.outstanding.find(worker);
        const std::int64_t held = held_found == view.outstanding.end() ? 0 : held_found->second;
        std::int64_t target = 0;
        if (target_row != targets_.end())
        {
            const auto found = target_row->second.find(worker);
            target = found == target_row->second.end() ? 0 : found->second;
        }
        target = std::min(target, capacity);
        std::int64_t granted = std::min(held, target);
        if (target > held)
        {
            granted = held + std::min(target - held, grantable_slots(now, worker, capacity));
        }
        if (granted > held)
        {
            view.outstanding[worker] = granted;
        }
        if (granted > 0)
        {
            orders.granted.push_back({worker, granted});
        }
        error::check_invariant(error::invariant::worker_within_capacity,
                               granted <= held || outstanding_slots(worker) <= capacity,
                               "control::slot_ledger");
    }
    return orders;
}

bool slot_allocator::in_force(time_point now, std::uint64_t version) const
{
    if (now < leader_since_ + options_.lease + options_.drift_margin)
    {
        // An entry that hasn't reported to this leader may still serve under an older version.
        return false;
    }
    return std::all_of(entries_.begin(),
                       entries_.end(),
                       [this, now, version](const auto& entry)
                       {
                           return !may_serve(now, entry.second) || entry.second.version_in_force >= version;
                       });
}

} // namespace plumspoke::control

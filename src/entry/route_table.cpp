#include "plumspoke/entry/route_table.hpp"

#include <algorithm>

namespace plumspoke::entry
{

namespace
{

constexpr std::size_t max_candidates = 4;
constexpr std::int64_t cross_zone_round_trip_us = 1000; // specified round trip between availability zones
constexpr std::int64_t hundred_percent = 100;
constexpr std::int64_t slow_factor = 8;
constexpr std::int64_t min_slow_latency_us = 20'000;
constexpr std::size_t min_peers = 3;

slots_pointer find_or_create_slots(const std::string& worker, const route_table* previous, route_table& next)
{
    slots_pointer& found = next.slots[worker];
    if (found == nullptr && previous != nullptr && previous->slots.contains(worker))
    {
        found = previous->slots.at(worker);
    }
    if (found == nullptr)
    {
        found = slots_pointer(new worker_slots(worker));
    }
    return found;
}

const service_route* previous_route(const route_table* previous, const std::string& service)
{
    return previous == nullptr ? nullptr : previous->find(service);
}

endpoint_pointer previous_endpoint(const service_route* previous, const control::endpoint_config& config)
{
    if (previous == nullptr)
    {
        return nullptr;
    }
    const auto found =
        std::find_if(previous->endpoints.begin(),
                     previous->endpoints.end(),
                     [&config](const endpoint_pointer& one)
                     {
                         return one->address() == config.address && one->slots().worker() == config.worker;
                     });
    return found == previous->endpoints.end() ? nullptr : *found;
}

std::int64_t endpoint_cost_us(const endpoint_state& endpoint, std::string_view own_zone)
{
    const std::int64_t granted = std::max<std::int64_t>(1, endpoint.slots().granted());
    const std::int64_t used = endpoint.slots().used();
    const std::int64_t busy = endpoint.smoothed_latency_us() * (granted + used) / granted;
    return busy + (endpoint.availability_zone() == own_zone ? 0 : cross_zone_round_trip_us);
}

bool usable(const endpoint_state& endpoint, time_point now)
{
    return !endpoint.leaving(now) && endpoint.slots().granted() > 0 && endpoint.permits(now);
}

} // namespace

const service_route* route_table::find(std::string_view service) const
{
    const auto found = services.find(service);
    return found == services.end() ? nullptr : &found->second;
}

std::unique_ptr<route_table> make_table(const control::configuration& config,
                                        const route_table* previous,
                                        const std::set<std::string>& leaving,
                                        time_point now,
                                        const table_options& options)
{
    auto next = std::make_unique<route_table>();
    next->version = config.version;
    for (const auto& [name, service] : config.services)
    {
        service_route& route = next->services[name];
        const service_route* old = previous_route(previous, name);
        route.config = service;
        route.state =
            old != nullptr
                ? old->state
                : service_pointer(new service_state(name, options.retry_percent, options.retry_reserve));
        for (const control::endpoint_config& endpoint : service.endpoints)
        {
            slots_pointer slots = find_or_create_slots(endpoint.worker, previous, *next);
            slots->set_connections_per_slot(service.connections_per_worker / service.slots_per_worker);
            if (config.evacuated_zones.contains(endpoint.availability_zone))
            {
                continue; // its slots are kept, since requests may still be in flight
            }
            endpoint_pointer state = previous_endpoint(old, endpoint);
            if (state == nullptr)
            {
                state = endpoint_pointer(new endpoint_state(
                    endpoint.address, endpoint.availability_zone, std::move(slots), options.guard));
            }
            state->set_listed_leaving(now, leaving.contains(endpoint.worker));
            route.endpoints.push_back(std::move(state));
        }
    }
    return next;
}

endpoint_pointer choose_endpoint(const service_route& route,
                                 std::string_view own_zone,
                                 time_point now,
                                 std::uint64_t random,
                                 std::span<const endpoint_state* const> avoid)
{
    const std::size_t count = route.endpoints.size();
    if (count == 0)
    {
        return nullptr;
    }
    const std::size_t start = random % count;
    endpoint_state* best = nullptr;
    std::int64_t best_cost_us = 0;
    std::size_t seen = 0;
    for (std::size_t step = 0; step < count && seen < max_candidates; ++step)
    {
        endpoint_state& candidate = *route.endpoints[(start + step) % count];
        const bool avoided = std::find(avoid.begin(), avoid.end(), &candidate) != avoid.end();
        const bool full = candidate.slots().used() >= candidate.slots().granted();
        if (avoided || full || !usable(candidate, now))
        {
            continue;
        }
        ++seen;
        const std::int64_t time = endpoint_cost_us(candidate, own_zone);
        if (best == nullptr || time < best_cost_us)
        {
            best = &candidate;
            best_cost_us = time;
        }
    }
    if (best != nullptr && best->slots().acquire())
    {
        return best;
    }
    // Concurrent requests took the slots of the candidates: take any endpoint with a free slot, avoided ones
    // last.
    for (const bool also_avoided : {false, true})
    {
        for (std::size_t step = 0; step < count; ++step)
        {
            endpoint_state& candidate = *route.endpoints[(start + step) % count];
            const bool avoided = std::find(avoid.begin(), avoid.end(), &candidate) != avoid.end();
            if (avoided == also_avoided && usable(candidate, now) && candidate.slots().acquire())
            {
                return &candidate;
            }
        }
    }
    return nullptr;
}

bool may_open_guard(const service_route& route, time_point now, std::int64_t max_share_percent)
{
    if (!route.config.guards)
    {
        return false;
    }
    const auto out = std::count_if(route.endpoints.begin(),
                                   route.endpoints.end(),
                                   [now](const endpoint_pointer& one)
                                   {
                                       return one->is_excluded(now);
                                   });
    const auto count = static_cast<std::int64_t>(route.endpoints.size());
    return (out + 1) * hundred_percent <= count * max_share_percent;
}

std::size_t exclude_slow_endpoints(const service_route& route, time_point now, std::int64_t max_share_percent)
{
    std::vector<std::int64_t> times;
    for (const endpoint_pointer& one : route.endpoints)
    {
        if (one->smoothed_latency_us() > 0)
        {
            times.push_back(one->smoothed_latency_us());
        }
    }
    if (times.size() < min_peers)
    {
        return 0;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const std::int64_t limit = std::max(*middle * slow_factor, min_slow_latency_us);
    std::size_t tripped = 0;
    for (const endpoint_pointer& one : route.endpoints)
    {
        if (one->smoothed_latency_us() > limit && !one->is_excluded(now) &&
            may_open_guard(route, now, max_share_percent))
        {
            one->trip(now);
            ++tripped;
        }
    }
    return tripped;
}

admission_input make_admission_input(const service_route& route, time_point now, duration left)
{
    admission_input input;
    input.in_flight = route.state->in_flight.load(std::memory_order_relaxed);
    input.max_in_flight = route.config.max_in_flight;
    input.waiting = route.state->waiting.load(std::memory_order_relaxed);
    input.max_waiting = route.config.max_waiting;
    input.mean_slot_time_us = route.state->mean_slot_time_us();
    input.left = left;
    for (const endpoint_pointer& one : route.endpoints)
    {
        if (!one->leaving(now) && one->permits(now))
        {
            ++input.usable;
            input.slots += one->slots().granted();
        }
    }
    return input;
}

} // namespace plumspoke::entry

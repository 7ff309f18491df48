#pragma once

/// @file
/// @brief Routes of one configuration version: immutable, published by read-copy-update.

#include "plumspoke/control/model.hpp"
#include "plumspoke/entry/admission.hpp"
#include "plumspoke/entry/endpoint_state.hpp"
#include "plumspoke/entry/service_state.hpp"

#include <map>
#include <set>
#include <span>

namespace plumspoke::entry
{

using endpoint_pointer = boost::intrusive_ptr<endpoint_state>;
using service_pointer = boost::intrusive_ptr<service_state>;
using slots_pointer = boost::intrusive_ptr<worker_slots>;

/// @brief Configuration, state and endpoints of one service.
struct service_route
{
    control::service_config config;
    service_pointer state;
    std::vector<endpoint_pointer> endpoints;
};

/// @brief All routes of one configuration version.
struct route_table
{
    std::uint64_t version = 0;
    std::map<std::string, service_route, std::less<>> services;
    std::map<std::string, slots_pointer> slots; // by worker

    [[nodiscard]] const service_route* find(std::string_view service) const;
};

/// @brief Options for building a route table.
struct table_options
{
    endpoint::guard_options guard;
    std::int64_t retry_percent = 0;
    std::int64_t retry_reserve = 0;
};

/// @brief Builds the next table. Services, endpoints and workers that remain keep their state: counters,
///        guards, slots and connections.
/// @param previous the current table, or null
/// @param leaving workers that the platform lists as leaving
[[nodiscard]] std::unique_ptr<route_table> make_table(const control::configuration& config,
                                                      const route_table* previous,
                                                      const std::set<std::string>& leaving,
                                                      time_point now,
                                                      const table_options& options);

/// @brief Chooses a usable endpoint with a free slot and acquires the slot.
///
/// The cost of an endpoint is its smoothed latency scaled by its slot utilization, plus a round trip if it
/// is in another availability zone. The cheapest of up to `max_candidates` candidates, from a random start,
/// is chosen.
/// @param random any number; the choice is deterministic for a given number
/// @param avoid endpoints that this request was already sent to; used only if no other is free
/// @return null if none is free
[[nodiscard]] endpoint_pointer choose_endpoint(const service_route& route,
                                               std::string_view own_zone,
                                               time_point now,
                                               std::uint64_t random,
                                               std::span<const endpoint_state* const> avoid);

/// @brief Whether one more endpoint of the service may be excluded by its guard.
[[nodiscard]] bool may_open_guard(const service_route& route, time_point now, std::int64_t max_share_percent);

/// @brief Excludes endpoints whose latency is far above the median of the service.
/// @return number of endpoints excluded
std::size_t
exclude_slow_endpoints(const service_route& route, time_point now, std::int64_t max_share_percent);

/// @brief Collects the admission input of a service.
[[nodiscard]] admission_input make_admission_input(const service_route& route, time_point now, duration left);

} // namespace plumspoke::entry

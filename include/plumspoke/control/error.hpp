#pragma once

/// @file
/// @brief Errors of the control layer: ids 300 to 399.

#include "plumspoke/error/category.hpp"

namespace plumspoke::control
{

/// @brief Reasons for which the control state refuses a command.
enum class errc : std::uint16_t
{
    version_conflict = 300,
    unknown_plan = 301,
    plan_not_open = 302,
    plan_refused = 303,
    request_mismatch = 304,
    unknown_team = 305,
    job_exists = 306,
    unknown_job = 307,
    job_finished = 308,
    can_never_run = 309,
    job_not_pending = 310,
    unknown_worker = 311,
    worker_changed = 312,
    no_capacity = 313,
    over_quota = 314,
    stale_token = 315,
    unknown_claim = 316,
    unreadable_command = 317,
    worker_set_aside = 318,
    too_many_jobs = 319,
    order_not_allowed = 320,
    zone_evacuated = 321,
};

[[nodiscard]] const error::listed_category& category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace plumspoke::control

template <> struct std::is_error_code_enum<plumspoke::control::errc> : std::true_type
{
};

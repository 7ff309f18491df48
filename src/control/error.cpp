#include "plumspoke/control/error.hpp"

#include <array>

namespace plumspoke::control
{

namespace
{

constexpr std::array<error::listed_error, 22> errors = {{
    {300, "version_conflict", "the configuration has changed since; look at it and make a new plan"},
    {301, "unknown_plan", "there is no plan with this number"},
    {302, "plan_not_open", "the plan was confirmed or discarded before"},
    {303, "plan_refused", "the plan can't be carried out; its steps say why"},
    {304, "request_mismatch", "this request identity was used for something else"},
    {305, "unknown_team", "no team of this name is configured"},
    {306, "job_exists", "a different job has this id"},
    {307, "unknown_job", "there is no job with this id"},
    {308, "job_finished", "the job has ended already"},
    {309, "can_never_run", "no worker is large enough, or the team's quota is too small"},
    {310, "job_not_pending", "the job is not waiting for a worker"},
    {311, "unknown_worker", "no worker of this name is registered"},
    {312, "worker_changed", "the worker has restarted since"},
    {313, "no_capacity", "the worker has not enough processors, memory or accelerators left"},
    {314, "over_quota", "the team would hold more than its quota"},
    {315, "stale_token", "the task's grant is no longer the current one"},
    {316, "unknown_claim", "there is no such claim, or it has ended"},
    {317, "unreadable_command", "the command is of no kind that this version knows"},
    {318, "worker_set_aside", "the worker is set aside, because what starts there fails"},
    {319, "too_many_jobs", "too many unfinished jobs are held; come back later"},
    {320, "order_not_allowed", "the job's intent does not allow this interruption"},
    {321, "zone_evacuated", "the worker's availability zone is evacuated"},
}};

} // namespace

const error::listed_category& category() noexcept
{
    static const error::listed_category instance("control", errors);
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace plumspoke::control

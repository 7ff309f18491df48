#include "plumspoke/entry/admission.hpp"

#include <algorithm>

namespace plumspoke::entry
{

namespace
{

constexpr auto min_retry_after = milliseconds(100);
constexpr auto no_slots_retry_after = milliseconds(1000); // control redistributes slots every second

} // namespace

duration expected_wait(const admission_input& input) noexcept
{
    if (input.waiting <= 0)
    {
        return duration{};
    }
    return duration((input.waiting + 1) * input.mean_slot_time_us / std::max<std::int64_t>(1, input.slots));
}

duration max_wait(const admission_input& input) noexcept
{
    // Reserves twice the mean time for the answer: a request that starts too late occupies a slot for an
    // answer that nobody waits for.
    return std::max(duration{}, input.left - std::min(2 * duration(input.mean_slot_time_us), input.left / 2));
}

std::optional<admission_refusal> admit(const admission_input& input) noexcept
{
    const duration wait = expected_wait(input);
    const duration retry_after = std::max<duration>(min_retry_after, wait);
    if (input.usable == 0)
    {
        return admission_refusal{refusal::no_endpoint, no_slots_retry_after};
    }
    if (input.slots == 0)
    {
        return admission_refusal{refusal::no_slots, no_slots_retry_after};
    }
    if (input.max_in_flight > 0 && input.in_flight >= input.max_in_flight)
    {
        return admission_refusal{refusal::over_quota, retry_after};
    }
    if (input.waiting >= input.max_waiting && input.waiting > 0)
    {
        return admission_refusal{refusal::queue_full, retry_after};
    }
    if (input.left <= duration{})
    {
        return admission_refusal{refusal::deadline_passed, min_retry_after};
    }
    if (wait > max_wait(input))
    {
        return admission_refusal{refusal::cannot_meet_deadline, retry_after};
    }
    return std::nullopt;
}

} // namespace plumspoke::entry

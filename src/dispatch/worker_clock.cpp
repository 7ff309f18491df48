#include "plumspoke/dispatch/worker_clock.hpp"

namespace plumspoke::dispatch
{

void worker_clock::observe(std::int64_t clock_ms, time_point received_at) noexcept
{
    if (known() && clock_ms < lower_bound(received_at))
    {
        return; // an answer that was overtaken by a newer one gives a weaker bound
    }
    clock_ms_ = clock_ms;
    received_at_ = received_at;
}

std::int64_t worker_clock::lower_bound(time_point now) const noexcept
{
    if (!known() || now <= *received_at_)
    {
        return clock_ms_;
    }
    const auto passed = std::chrono::duration_cast<milliseconds>(now - *received_at_).count();
    return clock_ms_ + static_cast<std::int64_t>(static_cast<double>(passed) * slowest_);
}

time_point worker_clock::certainly_past(std::int64_t clock_ms) const noexcept
{
    const std::int64_t left = clock_ms - clock_ms_;
    if (!known() || left < 0)
    {
        return received_at_.value_or(time_point{});
    }
    return *received_at_ + milliseconds(static_cast<std::int64_t>(static_cast<double>(left) / slowest_) + 1);
}

} // namespace plumspoke::dispatch

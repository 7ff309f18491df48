#include "plumspoke/entry/endpoint_state.hpp"

namespace plumspoke::entry
{

namespace
{

constexpr auto skip_check_within =
    milliseconds(5);                  // an endpoint rarely closes a connection right after its answer
constexpr std::int64_t smoothing = 8; // weight of a new sample is one eighth

} // namespace

endpoint_state::endpoint_state(std::string address,
                               std::string availability_zone,
                               boost::intrusive_ptr<worker_slots> slots,
                               endpoint::guard_options options)
    : address_(std::move(address)), availability_zone_(std::move(availability_zone)),
      slots_(std::move(slots)), guard_(options)
{
}

endpoint_state::~endpoint_state()
{
    close_idle(idle_.size());
}

void endpoint_state::close_idle(std::size_t count)
{
    for (; count > 0 && !idle_.empty(); --count)
    {
        idle_.pop_front_and_dispose(std::default_delete<endpoint::connection>());
        slots_->add_idle(-1);
    }
}

void endpoint_state::set_listed_leaving(time_point now, bool leaving) noexcept
{
    if (leaving && !this->leaving(now))
    {
        leaving_since_us_.store(to_microseconds(now), std::memory_order_release);
    }
    listed_leaving_.store(leaving, std::memory_order_release);
}

void endpoint_state::record_self_reported_leaving(time_point now, time_point until) noexcept
{
    if (!leaving(now))
    {
        leaving_since_us_.store(to_microseconds(now), std::memory_order_release);
    }
    self_reported_leaving_until_us_.store(to_microseconds(until), std::memory_order_release);
}

bool endpoint_state::permits(time_point now) const
{
    if (guard_closed_.load(std::memory_order_acquire))
    {
        return true;
    }
    const std::lock_guard lock(mutex_);
    return guard_.permits(now);
}

bool endpoint_state::is_excluded(time_point now) const
{
    if (guard_closed_.load(std::memory_order_acquire))
    {
        return false;
    }
    const std::lock_guard lock(mutex_);
    return guard_.is_excluded(now);
}

void endpoint_state::record_sent(time_point now)
{
    if (!guard_closed_.load(std::memory_order_acquire))
    {
        const std::lock_guard lock(mutex_);
        guard_.record_sent(now);
    }
}

void endpoint_state::record_success(duration took)
{
    const std::int64_t before = smoothed_latency_us();
    const std::int64_t time = std::max<std::int64_t>(1, took.count());
    smoothed_latency_us_.store(before == 0 ? time : before + (time - before) / smoothing,
                               std::memory_order_relaxed);
    const std::lock_guard lock(mutex_);
    guard_.record_success();
    guard_closed_.store(true, std::memory_order_release);
}

void endpoint_state::record_failure(time_point now, bool may_open)
{
    const std::lock_guard lock(mutex_);
    guard_.record_failure(now, may_open);
    guard_closed_.store(guard_.current() == endpoint::guard::state::closed, std::memory_order_release);
    close_idle(idle_.size());
}

void endpoint_state::trip(time_point now)
{
    const std::lock_guard lock(mutex_);
    guard_.trip(now);
    guard_closed_.store(false, std::memory_order_release);
}

std::unique_ptr<endpoint::connection> endpoint_state::take_idle(time_point now, duration longest_idle)
{
    const std::lock_guard lock(mutex_);
    while (!idle_.empty())
    {
        std::unique_ptr<endpoint::connection> found(
            &idle_.back()); // most recently used: least likely to have been closed
        idle_.pop_back();
        slots_->add_idle(-1);
        const bool just_used = found->idle_since() + skip_check_within > now;
        if (found->idle_since() + longest_idle > now && (just_used || found->is_idle_and_open()))
        {
            return found;
        }
    }
    return nullptr;
}

void endpoint_state::keep_idle(std::unique_ptr<endpoint::connection> kept, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (slots_->idle() >= slots_->idle_allowed() || leaving(now))
    {
        return;
    }
    kept->set_idle_since(now);
    idle_.push_back(*kept.release());
    slots_->add_idle(1);
}

void endpoint_state::trim_idle()
{
    const std::lock_guard lock(mutex_);
    const std::int64_t excess = slots_->idle() - slots_->idle_allowed();
    close_idle(static_cast<std::size_t>(std::max<std::int64_t>(0, excess)));
}

} // namespace plumspoke::entry

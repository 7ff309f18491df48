#include "plumspoke/endpoint/guard.hpp"

#include <algorithm>

namespace plumspoke::endpoint
{

bool guard::permits(time_point now) const noexcept
{
    switch (state_)
    {
    case state::closed:
        return true;
    case state::open:
        return now >= open_until_;
    case state::trial:
        // A trial that never ends must not exclude the endpoint forever.
        return now >= trial_since_ + options_.open_for;
    }
    return true;
}

void guard::record_sent(time_point now) noexcept
{
    if (state_ != state::closed && permits(now))
    {
        state_ = state::trial;
        trial_since_ = now;
    }
}

void guard::record_success() noexcept
{
    state_ = state::closed;
    consecutive_failures_ = 0;
    consecutive_openings_ = 0;
}

void guard::open(time_point now) noexcept
{
    const int doubling = std::min(consecutive_openings_, options_.max_doublings);
    state_ = state::open;
    open_until_ = now + options_.open_for * (1 << doubling);
    ++consecutive_openings_;
}

void guard::record_failure(time_point now, bool may_open) noexcept
{
    ++consecutive_failures_;
    if (state_ == state::trial ||
        (state_ == state::closed && consecutive_failures_ >= options_.failures && may_open))
    {
        open(now);
    }
}

void guard::trip(time_point now) noexcept
{
    if (state_ == state::closed)
    {
        open(now);
    }
}

} // namespace plumspoke::endpoint

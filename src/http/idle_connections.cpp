#include "plumspoke/http/idle_connections.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace plumspoke::http
{

idle_connections::~idle_connections()
{
    connections_.clear_and_dispose(std::default_delete<served_connection>());
}

served_connection& idle_connections::add()
{
    auto added = std::make_unique<served_connection>();
    const std::lock_guard lock(mutex_);
    connections_.push_back(*added);
    return *added.release();
}

std::unique_ptr<served_connection> idle_connections::remove(served_connection& ended)
{
    const std::lock_guard lock(mutex_);
    connections_.erase(connections_.iterator_to(ended));
    return std::unique_ptr<served_connection>(&ended);
}

void idle_connections::end(served_connection& ended)
{
    const std::lock_guard lock(mutex_);
    ended.ended_ = true;
}

std::vector<served_connection*> idle_connections::find_lingering(time_point now)
{
    std::vector<served_connection*> out;
    for (served_connection& one : connections_)
    {
        if (one.closing_ && !one.ended_ && one.socket_ < 0 &&
            now - one.closing_since_ >= options_.linger_time)
        {
            out.push_back(&one);
        }
    }
    return out;
}

void idle_connections::add_expired(std::vector<served_connection*>& to, duration step)
{
    for (served_connection& one : connections_)
    {
        const std::uint32_t period = one.idle_period_;
        const bool still_idle = period != 0 && period == one.seen_idle_period_;
        one.seen_idle_period_ = period;
        one.idle_time_ = still_idle ? one.idle_time_ + step : duration::zero();
        if (!one.closing_ && !one.ended_ && one.socket_ < 0 && one.idle_time_ >= options_.timeout)
        {
            to.push_back(&one);
        }
    }
}

void idle_connections::check(time_point now, const std::function<void(connection_list)>& close)
{
    const std::lock_guard lock(mutex_);
    const auto step = std::min(std::chrono::duration_cast<duration>(now - last_check_at_), options_.max_step);
    last_check_at_ = now;
    std::vector<served_connection*> ending = find_lingering(now);
    const bool any_lingers = !ending.empty();
    if (!draining_)
    {
        add_expired(ending, step);
    }
    if (ending.empty() || (!any_lingers && now < next_close_at_))
    {
        return;
    }
    next_close_at_ = now + options_.close_interval;
    for (served_connection* one : ending)
    {
        one->expired_ = one->expired_ || !one->closing_;
    }
    close(ending);
}

void idle_connections::expire_all(const std::function<void(connection_list)>& close)
{
    const std::lock_guard lock(mutex_);
    std::vector<served_connection*> expired;
    for (served_connection& one : connections_)
    {
        if (one.idle_period_ != 0 && !one.ended_ && one.socket_ < 0)
        {
            one.expired_ = true;
            expired.push_back(&one);
        }
    }
    if (!expired.empty())
    {
        close(expired);
    }
}

void idle_connections::visit(const std::function<void(connection_list)>& visitor)
{
    const std::lock_guard lock(mutex_);
    std::vector<served_connection*> all;
    for (served_connection& one : connections_)
    {
        all.push_back(&one);
    }
    visitor(all);
}

} // namespace plumspoke::http

#include "plumspoke/jobs/early_cancels.hpp"

namespace plumspoke::jobs
{

namespace
{

constexpr std::int64_t retention_ms = 120'000; // exceeds any request deadline and any freeze of a VM
constexpr std::size_t max_entries = 10'000;

} // namespace

void early_cancels::add(const job_id& id, std::int64_t at_ms)
{
    erase(id);
    by_age_[next_position_] = {id, at_ms};
    positions_[id] = next_position_;
    ++next_position_;
    remove_expired(at_ms);
}

bool early_cancels::erase(const job_id& id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end())
    {
        return false;
    }
    by_age_.erase(found->second);
    positions_.erase(found);
    return true;
}

void early_cancels::clear() noexcept
{
    by_age_.clear();
    positions_.clear();
}

bool early_cancels::contains(const job_id& id) const noexcept
{
    return positions_.contains(id);
}

std::size_t early_cancels::size() const noexcept
{
    return positions_.size();
}

void early_cancels::for_each(const std::function<void(const job_id&, std::int64_t)>& visit) const
{
    for (const auto& [position, one] : by_age_)
    {
        visit(one.id, one.at_ms);
    }
}

void early_cancels::remove_expired(std::int64_t now_ms)
{
    while (!by_age_.empty())
    {
        const entry& oldest = by_age_.begin()->second;
        if (by_age_.size() <= max_entries && now_ms < oldest.at_ms + retention_ms)
        {
            return;
        }
        positions_.erase(oldest.id);
        by_age_.erase(by_age_.begin());
    }
}

} // namespace plumspoke::jobs

#include "plumspoke/dispatch/worker_index.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

void worker_ranking::assign(std::vector<indexed_worker> all)
{
    ranked_.clear();
    open_ = std::move(all);
    for (std::size_t i = 0; i < open_.size(); ++i)
    {
        open_[i].place = static_cast<std::uint32_t>(i);
    }
    std::make_heap(open_.begin(), open_.end(), is_worse);
}

const indexed_worker* worker_ranking::at(std::size_t place)
{
    while (ranked_.size() <= place && !open_.empty())
    {
        std::pop_heap(open_.begin(), open_.end(), is_worse);
        ranked_.push_back(open_.back());
        open_.pop_back();
    }
    return place < ranked_.size() ? &ranked_[place] : nullptr;
}

void filler_ranking::rank_best()
{
    std::pop_heap(open_.begin(), open_.end(), is_worse);
    ranked_.push_back(open_.back());
    open_.pop_back();
}

std::span<const filler_row> worker_index::filler_rows()
{
    if (filler_rows_.size() == rows_.size())
    {
        return filler_rows_;
    }
    for (const worker_row& one : rows_)
    {
        filler_rows_.push_back({&one, one.filler_left, static_cast<std::uint32_t>(filler_rows_.size())});
    }
    std::sort(filler_rows_.begin(),
              filler_rows_.end(),
              [](const filler_row& left, const filler_row& right)
              {
                  return left.room_milli > right.room_milli;
              });
    return filler_rows_;
}

} // namespace plumspoke::dispatch

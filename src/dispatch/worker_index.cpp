#include "plumspoke/dispatch/worker_index.hpp"

#include <algorithm>

namespace plumspoke::dispatch
{

void worker_ranking::assign(std::vector<indexed_worker> all)
{
    ranked_.clear();
    heap_ = std::move(all);
    for (std::size_t i = 0; i < heap_.size(); ++i)
    {
        heap_[i].position = static_cast<std::uint32_t>(i);
    }
    std::make_heap(heap_.begin(), heap_.end(), ranks_below);
}

const indexed_worker* worker_ranking::at(std::size_t position)
{
    while (ranked_.size() <= position && !heap_.empty())
    {
        std::pop_heap(heap_.begin(), heap_.end(), ranks_below);
        ranked_.push_back(heap_.back());
        heap_.pop_back();
    }
    return position < ranked_.size() ? &ranked_[position] : nullptr;
}

void filler_ranking::rank_best()
{
    std::pop_heap(heap_.begin(), heap_.end(), ranks_below);
    ranked_.push_back(heap_.back());
    heap_.pop_back();
}

std::span<const filler_row> worker_index::filler_rows()
{
    if (filler_rows_.size() == rows_.size())
    {
        return filler_rows_;
    }
    for (const worker_row& row : rows_)
    {
        filler_rows_.push_back(
            {&row, row.filler_free_milli, static_cast<std::uint32_t>(filler_rows_.size())});
    }
    std::sort(filler_rows_.begin(),
              filler_rows_.end(),
              [](const filler_row& left, const filler_row& right)
              {
                  return left.free_milli > right.free_milli;
              });
    return filler_rows_;
}

} // namespace plumspoke::dispatch

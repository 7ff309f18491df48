#include "plumspoke/dispatch/task_times.hpp"

#include <algorithm>
#include <cmath>

namespace plumspoke::dispatch
{

namespace
{

// Steps after which old ones fade: some ten seconds of a busy queue, so that work that changes is followed.
constexpr double most_weight = 200;
// Steps that it takes to outweigh the guess.
constexpr double guess_weight = 4;
constexpr double least_ms = 1;

double to_log(double ms) noexcept
{
    return std::log(std::max(ms, least_ms));
}

} // namespace

void task_times::observe(const std::string& queue, std::uint32_t estimate_ms, double took_ms)
{
    moments& of = queues_[queue];
    const double took = to_log(took_ms);
    const double guess = estimate_ms == 0 ? took : to_log(estimate_ms);
    of.weight = std::min(of.weight + 1, most_weight);
    const double share = 1 / of.weight;
    const double guess_off = guess - of.mean_guess;
    const double took_off = took - of.mean_took;
    of.mean_guess += share * guess_off;
    of.mean_took += share * took_off;
    of.guess_squares = (1 - share) * (of.guess_squares + share * guess_off * guess_off);
    of.products = (1 - share) * (of.products + share * guess_off * took_off);
}

double task_times::predict_ms(const std::string& queue, std::uint32_t estimate_ms) const
{
    const auto found = queues_.find(queue);
    if (found == queues_.end())
    {
        return std::max<double>(estimate_ms, least_ms);
    }
    const moments& of = found->second;
    const double guess = estimate_ms == 0 ? of.mean_guess : to_log(estimate_ms);
    // The guess's own variance is not known for sure while few were seen: it is shrunk towards the mean.
    const double slope = of.guess_squares > 0 ? std::clamp(of.products / of.guess_squares, 0.0, 1.0) : 0.0;
    const double learned = of.mean_took + slope * (guess - of.mean_guess);
    const double known = of.weight / (of.weight + guess_weight);
    const double prior = estimate_ms == 0 ? learned : guess;
    return std::exp(known * learned + (1 - known) * prior);
}

} // namespace plumspoke::dispatch

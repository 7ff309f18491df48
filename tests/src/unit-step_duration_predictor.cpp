/// @file
/// @brief How long steps take, learned from those that ended, whatever the submitters' guesses are worth.

#include "plumspoke/dispatch/step_duration_predictor.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using plumspoke::dispatch::step_duration_predictor;

namespace
{

constexpr int steps = 400;
constexpr double typical_ms = 1700;
constexpr double spread = 0.5; // of the logarithm

/// @brief The mean error of a prediction, as a factor.
/// @param guess_error the deviation of the logarithm of a guess from that of the truth
double mean_error(double guess_error)
{
    std::mt19937_64 random(1);
    std::normal_distribution<double> normal;
    step_duration_predictor times;
    double error = 0;
    for (int i = 0; i < steps; ++i)
    {
        const double took = typical_ms * std::exp(spread * normal(random));
        const auto guess = static_cast<std::uint32_t>(took * std::exp(guess_error * normal(random)));
        error += i < steps / 2 ? 0 : std::abs(std::log(times.predict_ms("queue", guess) / took));
        times.observe("queue", guess, took);
    }
    return std::exp(error / (steps - steps / 2.0));
}

} // namespace

TEST_CASE("until a queue's steps have ended the submitter's guess counts")
{
    step_duration_predictor times;
    CHECK(times.predict_ms("queue", 500) == 500);
    times.observe("other", 500, 2000);
    CHECK(times.predict_ms("queue", 500) == 500);
    CHECK(times.predict_ms("queue", 0) >= 1); // no guess: no time of zero
}

TEST_CASE("guesses are believed as far as they were right before")
{
    CHECK(mean_error(0) < 1.1);
    // Off by a factor of 2.5: the mean of the queue is better than the guess, which would be off by 2.05.
    CHECK(mean_error(0.9) < 1.5);
    CHECK(mean_error(1.5) < 1.55);
}

TEST_CASE("a queue whose work grows longer is followed")
{
    step_duration_predictor times;
    for (int i = 0; i < 1000; ++i)
    {
        times.observe("queue", 1000, 1000);
    }
    for (int i = 0; i < 500; ++i)
    {
        times.observe("queue", 1000, 3000);
    }
    CHECK(times.predict_ms("queue", 1000) > 2500);
    CHECK(times.predict_ms("queue", 1000) <= 3000);
}

/// @file
/// @brief Prediction of step durations from ended steps, with submitters' estimates of varying accuracy.

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

/// @brief Mean error of a prediction, as a factor.
/// @param estimate_error standard deviation of the logarithmic error of the estimates
double mean_error(double estimate_error)
{
    std::mt19937_64 random(1);
    std::normal_distribution<double> normal;
    step_duration_predictor predictor;
    double error = 0;
    for (int i = 0; i < steps; ++i)
    {
        const double took = typical_ms * std::exp(spread * normal(random));
        const auto estimate = static_cast<std::uint32_t>(took * std::exp(estimate_error * normal(random)));
        error += i < steps / 2 ? 0 : std::abs(std::log(predictor.predict_ms("queue", estimate) / took));
        predictor.observe("queue", estimate, took);
    }
    return std::exp(error / (steps - steps / 2.0));
}

} // namespace

TEST_CASE("the submitter's estimate is used until steps of the queue have ended")
{
    step_duration_predictor predictor;
    CHECK(predictor.predict_ms("queue", 500) == 500);
    predictor.observe("other", 500, 2000);
    CHECK(predictor.predict_ms("queue", 500) == 500);
    CHECK(predictor.predict_ms("queue", 0) >= 1); // without an estimate the prediction is not zero
}

TEST_CASE("estimates are weighted by their past accuracy")
{
    CHECK(mean_error(0) < 1.1);
    // Estimates are off by a factor of 2.5: the queue's mean is better than the estimate, which would be off
    // by 2.05.
    CHECK(mean_error(0.9) < 1.5);
    CHECK(mean_error(1.5) < 1.55);
}

TEST_CASE("predictions follow a queue whose steps become longer")
{
    step_duration_predictor predictor;
    for (int i = 0; i < 1000; ++i)
    {
        predictor.observe("queue", 1000, 1000);
    }
    for (int i = 0; i < 500; ++i)
    {
        predictor.observe("queue", 1000, 3000);
    }
    CHECK(predictor.predict_ms("queue", 1000) > 2500);
    CHECK(predictor.predict_ms("queue", 1000) <= 3000);
}

#pragma once

/// @file
/// @brief A dispatcher with simulated workers, for tests of single decisions.

#include "plumspoke/dispatch/dispatcher.hpp"

#include <catch2/catch.hpp>
#include <utility>

namespace plumspoke::dispatch::dispatcher_test
{

const time_point start{seconds(1000)};
constexpr std::int64_t day_ms = 1'000'000;

/// @brief A leader whose workers give the answers that the test supplies.
struct fixture
{
    fixture()
    {
        jobs::configuration config;
        config.version = 1;
        (void)state.apply(jobs::configure{config});
        leader.lead(now, 7, state);
    }

    void submit(jobs::step_spec step, const std::string& id = "job", std::uint32_t priority = 0)
    {
        jobs::submit value;
        value.id = id;
        value.source_queue.priority = priority;
        value.source_queue.service = "pool";
        value.source_queue.max_failures = 3;
        if (step.needs == jobs::resources{})
        {
            step.needs = {1000, 100, 0};
        }
        value.spec.steps.push_back(step);
        value.at_ms = day_ms;
        (void)state.apply(value);
    }

    void announce(const std::string& id)
    {
        fleet::announcement worker;
        worker.life.id = id;
        worker.service = "pool";
        worker.address = "address-" + id;
        worker.room = {16'000, 64'000, 0};
        leader.announced(now, worker);
    }

    /// @brief Announces a life of a worker; all lives share one address, whatever their id.
    fleet::announcement
    announce_life(const fleet::worker_life& life, std::uint64_t sequence, jobs::resources room)
    {
        fleet::announcement worker;
        worker.life = life;
        worker.service = "pool";
        worker.address = "address";
        worker.room = room;
        worker.sequence = sequence;
        leader.announced(now, worker);
        return worker;
    }

    /// @brief Whether a worker in this life would carry out an order to that recipient.
    [[nodiscard]] static bool reaches(const recipient& to, const fleet::worker_life& life)
    {
        const bool has_birth_time = to.worker.born_ms != 0;
        return to.worker.id == life.id && (!has_birth_time || to.worker == life);
    }

    /// @brief Advances the time, decides and keeps the orders; rounds wait for commit().
    void decide(duration passed = milliseconds(25))
    {
        now += passed;
        const auto passed_ms = std::chrono::duration_cast<milliseconds>(now - start).count();
        dispatch_output out = leader.decide(now, day_ms + passed_ms + day_step_ms, state);
        for (planned_round& one : out.rounds)
        {
            rounds.push_back(std::move(one));
        }
        events = std::move(out.events);
        cancels_stopped_ms = std::move(out.cancels_stopped_ms);
        orders.clear();
        for (order& one : out.orders)
        {
            if (const auto* poll = std::get_if<poll_order>(&one); poll != nullptr)
            {
                open_polls.push_back(*poll);
            }
            else
            {
                orders.push_back(std::move(one));
            }
        }
    }

    void commit()
    {
        for (const planned_round& one : rounds)
        {
            leader.round_ended(now, one.id, state.apply(one.command).starts_accepted);
        }
        rounds.clear();
    }

    template <typename Order> [[nodiscard]] std::vector<Order> sent() const
    {
        std::vector<Order> found;
        for (const order& one : orders)
        {
            if (const auto* match = std::get_if<Order>(&one); match != nullptr)
            {
                found.push_back(*match);
            }
        }
        return found;
    }

    void answer(const order& what, worker_answer response)
    {
        if (response.how != reply::none)
        {
            response.clock_ms = 5000 + std::chrono::duration_cast<milliseconds>(now - start).count();
        }
        leader.answered(now, {what, now}, response);
    }

    /// @brief Answers the oldest open poll.
    void answer_poll(worker_answer response)
    {
        REQUIRE_FALSE(open_polls.empty());
        const poll_order sent = open_polls.front();
        open_polls.erase(open_polls.begin());
        answer(sent, std::move(response));
    }

    /// @brief Answers all open polls with these rows; one worker may stay silent.
    void answer_polls(const std::vector<running_row>& rows = {}, const std::string& silent = {})
    {
        for (const poll_order& one : std::exchange(open_polls, {}))
        {
            worker_answer response;
            response.how = one.to.worker.id == silent ? reply::none : reply::done;
            for (const running_row& row : rows)
            {
                const run_view& run = leader.runs().at(row.name);
                if (run.worker == one.to.worker && response.how == reply::done)
                {
                    response.running.push_back(row);
                }
            }
            answer(one, response);
        }
    }

    std::size_t starts_proposed() const
    {
        std::size_t count = 0;
        for (const planned_round& one : rounds)
        {
            count += one.command.starts.size();
        }
        return count;
    }

    time_point now = start;
    std::int64_t day_step_ms = 0; // by how much the time of day has stepped since
    jobs::store state;
    dispatcher leader{dispatch_options{}};
    std::vector<planned_round> rounds;
    std::vector<order> orders; // of the last decision, without polls
    std::vector<poll_order> open_polls;
    std::vector<logging::event> events;           // of the last decision
    std::vector<std::int64_t> cancels_stopped_ms; // of the last decision
};

} // namespace plumspoke::dispatch::dispatcher_test

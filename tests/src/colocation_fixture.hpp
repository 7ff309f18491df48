#pragma once

/// @file
/// @brief Workers that each run a serving task, whose tail latency rises with the fillers beside it.

#include "dispatcher_fixture.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace plumspoke::dispatch::dispatcher_test
{

/// @brief Simulates workers of 16 processors with one serving task of one processor on each.
struct colocation_fixture
{
    static constexpr std::uint32_t target_ms = 50;
    static constexpr duration harm_limit = seconds(4); // a serving task over its target because of fillers

    /// @brief Tail latency in ms of the serving tasks without fillers beside them, at a time from the start.
    using own_load = std::function<double(duration)>;

    /// @param effect_ms what a filler at full pace adds to the tail latency of the serving task beside it
    colocation_fixture(int workers, own_load own, double effect_ms)
        : own_(std::move(own)), effect_ms_(effect_ms), workers_(workers)
    {
        announce_all();
        f.decide();
        f.answer_polls();
        jobs::step_spec serving;
        serving.lasting = true;
        serving.image = "serving";
        serving.tail_target_ms = target_ms;
        serving.max_per_worker = 1;
        serving.task_count = static_cast<std::uint32_t>(workers);
        f.submit(serving, "lasting");
        advance(seconds(3));
        REQUIRE(runs_.size() == static_cast<std::size_t>(workers));
        begun_at_ = f.now;
    }

    /// @brief Submits jobs of one filler each.
    void submit_fillers(int count)
    {
        jobs::step_spec filler;
        filler.filler = true;
        filler.image = "filler";
        for (int i = 0; i < count; ++i)
        {
            const std::string id = "filling" + std::to_string(i);
            submitted_at_[id] = f.now;
            f.submit(filler, id);
        }
    }

    void advance(duration time)
    {
        for (const time_point end = f.now + time; f.now < end;)
        {
            announce_all();
            f.decide(tick);
            carry_out(std::vector<order>(f.orders));
            work();
            f.answer_polls(report());
            f.commit();
        }
    }

    /// @brief The longest wait of a job of fillers for its first start, up to now.
    [[nodiscard]] duration longest_first_wait() const
    {
        duration longest{};
        for (const auto& [id, since] : submitted_at_)
        {
            const auto started = first_start_.find(id);
            const time_point until = started == first_start_.end() ? f.now : started->second;
            longest = std::max(longest, std::chrono::duration_cast<duration>(until - since));
        }
        return longest;
    }

    /// @brief The least work that a job of fillers has done, in seconds at full pace.
    [[nodiscard]] double least_work_s() const
    {
        double least = submitted_at_.empty() ? 0 : work_s_max;
        for (const auto& [id, since] : submitted_at_)
        {
            const auto done = work_s_.find(id);
            least = std::min(least, done == work_s_.end() ? 0 : done->second);
        }
        return least;
    }

    /// @brief The longest time for which a serving task was over its target, would have been under it without
    ///        fillers, and had fillers at work beside it.
    [[nodiscard]] duration longest_harm() const noexcept
    {
        return longest_harm_;
    }

    /// @brief Sets by which factor the next report of a tail latency is wrong.
    void set_report_error(std::function<double()> factor)
    {
        report_error_ = std::move(factor);
    }

    fixture f;
    duration tick = milliseconds(100); // between decisions

  private:
    static constexpr double work_s_max = 1e9;

    struct simulated_run
    {
        std::string worker;
        std::uint32_t pace = 100;
    };

    void announce_all()
    {
        for (int i = 0; i < workers_; ++i)
        {
            f.announce("w" + std::to_string(i));
        }
    }

    void carry_out(const std::vector<order>& orders)
    {
        for (const order& one : orders)
        {
            if (const auto* begin = std::get_if<start_order>(&one); begin != nullptr)
            {
                runs_[begin->name] = {begin->to.worker.id};
                first_start_.try_emplace(std::string(begin->name.task.job.view()), f.now);
            }
            else if (const auto* stop = std::get_if<stop_order>(&one); stop != nullptr)
            {
                runs_.erase(stop->name);
            }
            else if (const auto* pace = std::get_if<pace_order>(&one); pace != nullptr)
            {
                runs_.at(pace->name).pace = pace->percent;
            }
            f.answer(one, {reply::done, {}, {}, {}});
        }
    }

    [[nodiscard]] static bool is_serving(const jobs::run_name& name)
    {
        return name.task.job == "lasting";
    }

    [[nodiscard]] double filler_pace(const std::string& worker) const
    {
        double total = 0;
        for (const auto& [name, run] : runs_)
        {
            total += !is_serving(name) && run.worker == worker ? run.pace / 100.0 : 0;
        }
        return total;
    }

    [[nodiscard]] double own_tail_ms() const
    {
        return own_(begun_at_ == time_point{} ? duration{}
                                              : std::chrono::duration_cast<duration>(f.now - begun_at_));
    }

    void work()
    {
        for (const auto& [name, run] : runs_)
        {
            if (is_serving(name))
            {
                record_harm(run.worker);
            }
            else
            {
                work_s_[std::string(name.task.job.view())] +=
                    run.pace / 100.0 * std::chrono::duration<double>(tick).count();
            }
        }
    }

    void record_harm(const std::string& worker)
    {
        const double pace = filler_pace(worker);
        const bool harmed =
            pace > 0 && own_tail_ms() <= target_ms && own_tail_ms() + effect_ms_ * pace > target_ms;
        duration& harmed_for = harmed_for_[worker];
        harmed_for = harmed ? harmed_for + tick : duration{};
        longest_harm_ = std::max(longest_harm_, harmed_for);
    }

    [[nodiscard]] std::vector<running_row> report() const
    {
        std::vector<running_row> rows;
        for (const auto& [name, run] : runs_)
        {
            if (!f.leader.runs().contains(name))
            {
                continue;
            }
            const double tail = (own_tail_ms() + effect_ms_ * filler_pace(run.worker)) * report_error_();
            rows.push_back({name,
                            "",
                            is_serving(name) ? 100 : progress(name),
                            is_serving(name) ? static_cast<std::int64_t>(tail) : 0});
        }
        return rows;
    }

    [[nodiscard]] std::int64_t progress(const jobs::run_name& name) const
    {
        const auto done = work_s_.find(std::string(name.task.job.view()));
        return done == work_s_.end() ? 0
                                     : std::min<std::int64_t>(static_cast<std::int64_t>(done->second), 99);
    }

    own_load own_;
    std::function<double()> report_error_ = []
    {
        return 1.0;
    };
    double effect_ms_;
    int workers_;
    time_point begun_at_{};
    std::map<jobs::run_name, simulated_run> runs_;
    std::map<std::string, time_point> submitted_at_; // by job of fillers, as below
    std::map<std::string, time_point> first_start_;
    std::map<std::string, double> work_s_;
    std::map<std::string, duration> harmed_for_; // by worker
    duration longest_harm_{};
};

} // namespace plumspoke::dispatch::dispatcher_test

#pragma once

/// @file
/// @brief Checks answers against the versions of a configuration that were sent, acknowledged and read.

#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace plumspoke::test
{

/// @brief Checks that reads are linearizable. Safe for use by several threads.
class configuration_history
{
  public:
    static constexpr std::uint64_t invalid_version = 1'000'000'000; // above all that are added

    [[nodiscard]] static bool has_optional_route(std::uint64_t version) noexcept
    {
        return version * 2654435761U / 65536 % 2 ==
               0; // multiplicative hash, so that both kinds come in series
    }

    /// @brief Adds a version that is about to be sent.
    /// @param step how far it is above the last one
    std::uint64_t add(std::uint64_t step)
    {
        const std::lock_guard lock(mutex_);
        last_ += step;
        sent_[last_] = boot_clock::now();
        return last_;
    }

    void acknowledge(std::uint64_t version)
    {
        const std::lock_guard lock(mutex_);
        ++acknowledged_count_;
        confirm(version);
    }

    /// @brief Checks a read that has just been answered.
    /// @param sent_at when it was sent
    /// @param is_same whether the content is what was sent with that version
    void check_read(time_point sent_at, std::uint64_t version, bool is_same)
    {
        const std::lock_guard lock(mutex_);
        ++reads_;
        const std::uint64_t least = confirmed_before(sent_at);
        if (version < least)
        {
            violations_.push_back("version " + std::to_string(version) + " was read after version " +
                                  std::to_string(least) + " had been confirmed");
        }
        if (!sent_.contains(version) || !is_same)
        {
            violations_.push_back("what was read as version " + std::to_string(version) + " was never sent");
        }
        confirm(version);
    }

    /// @brief Checks an answer on a route against all versions that may have been in force.
    void check_route(time_point sent_at, bool optional, bool is_served)
    {
        const std::lock_guard lock(mutex_);
        ++route_reads_;
        bool expected = false;
        for (auto at = sent_.lower_bound(confirmed_before(sent_at)); at != sent_.end(); ++at)
        {
            expected = expected || (!optional || has_optional_route(at->first)) == is_served;
        }
        if (!expected)
        {
            violations_.push_back(std::string(optional ? "the optional" : "the permanent") + " route was " +
                                  (is_served ? "served" : "not served") + " after version " +
                                  std::to_string(confirmed_before(sent_at)) + " had been confirmed");
        }
    }

    void add_violation(std::string text)
    {
        const std::lock_guard lock(mutex_);
        violations_.push_back(std::move(text));
    }

    [[nodiscard]] std::vector<std::string> violations() const
    {
        const std::lock_guard lock(mutex_);
        return violations_;
    }

    [[nodiscard]] std::string summary() const
    {
        const std::lock_guard lock(mutex_);
        return std::to_string(sent_.size()) + " versions, " + std::to_string(acknowledged_count_) +
               " acknowledgements, " + std::to_string(reads_) + " reads, " + std::to_string(route_reads_) +
               " reads of routes, " + std::to_string(violations_.size()) + " violations";
    }

  private:
    // Requires mutex_. A version that was read is as good as acknowledged: later reads must not be older.
    void confirm(std::uint64_t version)
    {
        if (confirmed_.empty() || version > confirmed_.rbegin()->second)
        {
            confirmed_[boot_clock::now()] = version;
        }
    }

    [[nodiscard]] std::uint64_t confirmed_before(time_point at) const
    {
        const auto later = confirmed_.lower_bound(at);
        return later == confirmed_.begin() ? 0 : std::prev(later)->second;
    }

    mutable std::mutex mutex_;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, time_point> sent_;
    std::map<time_point, std::uint64_t> confirmed_; // the highest version that was confirmed by then
    std::size_t acknowledged_count_ = 0;
    std::size_t reads_ = 0;
    std::size_t route_reads_ = 0;
    std::vector<std::string> violations_;
};

} // namespace plumspoke::test

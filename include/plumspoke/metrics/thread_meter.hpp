#pragma once

/// @file
/// @brief CPU time of one thread by the part of the loop that used it.

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace plumspoke::metrics
{

/// @brief Parts of a leader's event loop whose CPU time is measured.
enum class loop_part : std::uint8_t
{
    transport, // everything outside the other parts: sockets, timers, handover between threads
    follow,    // following the leadership of this replica
    take_over, // start of a term
    decide,    // decisions not covered by the parts below
    watch,     // detection of stalled and lagging runs, and the summary
    place,
    announcements,
    answers,
    rounds, // committed records
    read_answer,
    write_order,
    carry_out, // dispatch of rounds and orders
    log,
};
inline constexpr std::size_t loop_part_count = 13;

/// @brief The name of a part in labels and log lines.
[[nodiscard]] std::string_view to_string(loop_part value) noexcept;

/// @brief Accumulates a thread's CPU time by part; time is attributed to the innermost active part only.
/// @note Written by the measured thread only; may be read by any thread.
class thread_meter
{
  public:
    thread_meter() = default;
    thread_meter(const thread_meter&) = delete;
    thread_meter& operator=(const thread_meter&) = delete;
    ~thread_meter();

    /// @brief Starts measuring the calling thread and registers this object as its meter.
    void start() noexcept;

    /// @brief Starts a part nested in the active one.
    /// @return the part that was active
    loop_part begin(loop_part inner) noexcept;

    /// @brief Ends the active part and resumes the outer one.
    void end(loop_part outer) noexcept;

    [[nodiscard]] std::uint64_t microseconds(loop_part part) const noexcept;

    /// @brief Number of times a part was started.
    [[nodiscard]] std::uint64_t passes(loop_part part) const noexcept;

    /// @brief The meter of the calling thread, or nullptr if none was started.
    [[nodiscard]] static thread_meter* of_this_thread() noexcept;

  private:
    void count() noexcept;

    struct sum
    {
        std::atomic<std::uint64_t> nanoseconds{0};
        std::atomic<std::uint64_t> passes{0};
    };
    std::array<sum, loop_part_count> sums_;
    std::uint64_t last_reading_ns_ = 0; // on the thread's CPU clock
    loop_part active_part_ = loop_part::transport;
};

/// @brief Attributes the CPU time of a scope to one part; does nothing on threads without a meter.
class scoped_loop_part
{
  public:
    explicit scoped_loop_part(loop_part part) noexcept;
    scoped_loop_part(const scoped_loop_part&) = delete;
    scoped_loop_part& operator=(const scoped_loop_part&) = delete;
    ~scoped_loop_part();

  private:
    thread_meter* meter_;
    loop_part outer_ = loop_part::transport;
};

/// @brief CPU time of the calling thread in nanoseconds; 0 if the clock can't be read.
[[nodiscard]] std::uint64_t read_thread_nanoseconds() noexcept;

/// @brief CPU time of the process in microseconds; 0 if the clock can't be read.
[[nodiscard]] std::uint64_t read_process_microseconds() noexcept;

} // namespace plumspoke::metrics

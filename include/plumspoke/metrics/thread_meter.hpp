#pragma once

/// @file
/// @brief Processor time of one thread, by what it is spent on.

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace plumspoke::metrics
{

/// @brief What a leader's loop spends its thread's processor time on.
enum class loop_part : std::uint8_t
{
    transport, // all that no other part counts: sockets, timers, the handing over between threads
    follow,    // whether this replica leads
    take_over, // a term's beginning
    decide,    // decisions other than those below
    watch,     // runs that stand still or lag, and the summary
    place,
    announcements,
    answers,
    rounds, // records that were committed
    read_answer,
    write_order,
    carry_out, // handing rounds and orders on
    log,
};
inline constexpr std::size_t loop_part_count = 13;

/// @brief The name of a part, for labels and log lines.
[[nodiscard]] std::string_view to_string(loop_part value) noexcept;

/// @brief Adds up a thread's processor time; each moment counts for one part, the innermost that is open.
/// @note Started and written by one thread, read by all.
class thread_meter
{
  public:
    thread_meter() = default;
    thread_meter(const thread_meter&) = delete;
    thread_meter& operator=(const thread_meter&) = delete;
    ~thread_meter();

    /// @brief Begins to measure the calling thread, of which this becomes the meter.
    void start() noexcept;

    /// @brief Begins a part within the one that is open.
    /// @return the part that was open
    loop_part begin(loop_part inner) noexcept;

    /// @brief Ends the part that is open; the outer one goes on.
    void end(loop_part outer) noexcept;

    [[nodiscard]] std::uint64_t microseconds(loop_part part) const noexcept;

    /// @brief How often a part was begun.
    [[nodiscard]] std::uint64_t passes(loop_part part) const noexcept;

    /// @brief The meter of the calling thread; nothing where none was started.
    [[nodiscard]] static thread_meter* of_this_thread() noexcept;

  private:
    void count() noexcept;

    struct sum
    {
        std::atomic<std::uint64_t> nanoseconds{0};
        std::atomic<std::uint64_t> passes{0};
    };
    std::array<sum, loop_part_count> sums_;
    std::uint64_t counted_until_ns_ = 0; // on the thread's processor clock
    loop_part open_ = loop_part::transport;
};

/// @brief Counts the processor time of a scope for one part; of threads without a meter nothing is read.
class measured_part
{
  public:
    explicit measured_part(loop_part part) noexcept;
    measured_part(const measured_part&) = delete;
    measured_part& operator=(const measured_part&) = delete;
    ~measured_part();

  private:
    thread_meter* meter_;
    loop_part outer_ = loop_part::transport;
};

/// @brief Processor time of the calling thread so far, in nanoseconds.
[[nodiscard]] std::uint64_t read_thread_nanoseconds() noexcept;

/// @brief Processor time of the process so far, in microseconds.
[[nodiscard]] std::uint64_t read_process_microseconds() noexcept;

} // namespace plumspoke::metrics

#include "plumspoke/metrics/thread_meter.hpp"

#include <ctime>
#include <utility>

namespace plumspoke::metrics
{

namespace
{

constexpr std::uint64_t nanoseconds_per_second = 1'000'000'000;
constexpr std::uint64_t nanoseconds_per_microsecond = 1000;

thread_local thread_meter* current_meter = nullptr;

std::uint64_t read_nanoseconds(clockid_t clock) noexcept
{
    timespec now{};
    if (::clock_gettime(clock, &now) != 0)
    {
        return 0;
    }
    return static_cast<std::uint64_t>(now.tv_sec) * nanoseconds_per_second +
           static_cast<std::uint64_t>(now.tv_nsec);
}

std::size_t index_of(loop_part part) noexcept
{
    return static_cast<std::size_t>(part);
}

} // namespace

std::string_view to_string(loop_part value) noexcept
{
    switch (value)
    {
    case loop_part::transport:
        return "transport";
    case loop_part::follow:
        return "follow";
    case loop_part::take_over:
        return "take_over";
    case loop_part::decide:
        return "decide";
    case loop_part::watch:
        return "watch";
    case loop_part::place:
        return "place";
    case loop_part::announcements:
        return "announcements";
    case loop_part::answers:
        return "answers";
    case loop_part::rounds:
        return "rounds";
    case loop_part::read_answer:
        return "read_answer";
    case loop_part::write_order:
        return "write_order";
    case loop_part::carry_out:
        return "carry_out";
    case loop_part::log:
        return "log";
    }
    return "";
}

thread_meter::~thread_meter()
{
    if (current_meter == this)
    {
        current_meter = nullptr;
    }
}

void thread_meter::start() noexcept
{
    current_meter = this;
    last_reading_ns_ = read_thread_nanoseconds();
}

void thread_meter::count() noexcept
{
    const std::uint64_t now_ns = read_thread_nanoseconds();
    // A clock that can't be read or goes backwards adds nothing.
    const std::uint64_t passed = now_ns > last_reading_ns_ ? now_ns - last_reading_ns_ : 0;
    last_reading_ns_ = now_ns;
    sums_.at(index_of(active_part_)).nanoseconds.fetch_add(passed, std::memory_order_relaxed);
}

loop_part thread_meter::begin(loop_part inner) noexcept
{
    count();
    sums_.at(index_of(inner)).passes.fetch_add(1, std::memory_order_relaxed);
    return std::exchange(active_part_, inner);
}

void thread_meter::end(loop_part outer) noexcept
{
    count();
    active_part_ = outer;
}

std::uint64_t thread_meter::microseconds(loop_part part) const noexcept
{
    return sums_.at(index_of(part)).nanoseconds.load(std::memory_order_relaxed) / nanoseconds_per_microsecond;
}

std::uint64_t thread_meter::passes(loop_part part) const noexcept
{
    return sums_.at(index_of(part)).passes.load(std::memory_order_relaxed);
}

thread_meter* thread_meter::of_this_thread() noexcept
{
    return current_meter;
}

scoped_loop_part::scoped_loop_part(loop_part part) noexcept : meter_(thread_meter::of_this_thread())
{
    if (meter_ != nullptr)
    {
        outer_ = meter_->begin(part);
    }
}

scoped_loop_part::~scoped_loop_part()
{
    if (meter_ != nullptr)
    {
        meter_->end(outer_);
    }
}

std::uint64_t read_thread_nanoseconds() noexcept
{
    return read_nanoseconds(CLOCK_THREAD_CPUTIME_ID);
}

std::uint64_t read_process_microseconds() noexcept
{
    return read_nanoseconds(CLOCK_PROCESS_CPUTIME_ID) / nanoseconds_per_microsecond;
}

} // namespace plumspoke::metrics

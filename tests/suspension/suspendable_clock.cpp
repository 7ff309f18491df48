#include "suspendable_clock.hpp"

#include <atomic>
#include <bits/atomic_futex.h>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <linux/futex.h>
#include <pthread.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace
{

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
constexpr std::time_t min_time_of_day = 1'000'000'000; // seconds; a machine isn't up for that long

std::atomic<std::int64_t> own_suspended_time{0};
std::atomic<std::int64_t>* suspended_time = &own_suspended_time;

std::int64_t to_nanoseconds(const timespec& time) noexcept
{
    return time.tv_sec * nanoseconds_per_second + time.tv_nsec;
}

timespec to_timespec(std::int64_t nanoseconds) noexcept
{
    return {nanoseconds / nanoseconds_per_second, nanoseconds % nanoseconds_per_second};
}

timespec add(const timespec& time, std::int64_t nanoseconds) noexcept
{
    return to_timespec(to_nanoseconds(time) + nanoseconds);
}

__attribute__((constructor)) void map_suspended_time()
{
    const char* path = std::getenv("PLUMSPOKE_TEST_SUSPENDED_NS");
    const int file = path == nullptr ? -1 : ::open(path, O_RDWR);
    if (file < 0)
    {
        return;
    }
    void* mapped = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    if (mapped != MAP_FAILED)
    {
        suspended_time = static_cast<std::atomic<std::int64_t>*>(mapped);
    }
}

} // namespace

void plumspoke::test::add_suspended_time(std::chrono::nanoseconds missed)
{
    own_suspended_time += missed.count();
}

// The system call, since looking up the replaced function allocates, and an allocator may read the clock.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    if (clock == CLOCK_MONOTONIC && result == 0)
    {
        *time = add(*time, -*suspended_time);
    }
    return result;
}

extern "C" int pthread_cond_clockwait(pthread_cond_t* condition,
                                      pthread_mutex_t* mutex,
                                      clockid_t clock,
                                      const timespec* end)
{
    using function = int (*)(pthread_cond_t*, pthread_mutex_t*, clockid_t, const timespec*);
    static const auto replaced = reinterpret_cast<function>(::dlsym(RTLD_NEXT, "pthread_cond_clockwait"));
    const timespec shifted = add(*end, clock == CLOCK_MONOTONIC ? suspended_time->load() : 0);
    return replaced(condition, mutex, clock, &shifted);
}

// The clock of a condition variable can't be queried, but a time of day is far larger than a time since boot.
extern "C" int pthread_cond_timedwait(pthread_cond_t* condition, pthread_mutex_t* mutex, const timespec* end)
{
    using function = int (*)(pthread_cond_t*, pthread_mutex_t*, const timespec*);
    static const auto replaced = reinterpret_cast<function>(::dlsym(RTLD_NEXT, "pthread_cond_timedwait"));
    const timespec shifted = add(*end, end->tv_sec < min_time_of_day ? suspended_time->load() : 0);
    return replaced(condition, mutex, &shifted);
}

// What std::future waits with.
bool std::__atomic_futex_unsigned_base::_M_futex_wait_until_steady(
    unsigned* word, unsigned expected, bool has_end, chrono::seconds end_s, chrono::nanoseconds end_ns)
{
    const timespec end = add({end_s.count(), end_ns.count()}, *suspended_time);
    return ::syscall(SYS_futex,
                     word,
                     FUTEX_WAIT_BITSET,
                     expected,
                     has_end ? &end : nullptr,
                     nullptr,
                     FUTEX_BITSET_MATCH_ANY) != -1 ||
           errno != ETIMEDOUT;
}

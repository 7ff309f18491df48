/// @file
/// @brief An entry whose process is suspended during shutdown. Run by tests/frozen_stop.sh, which suspends
/// it.

#include "stopping_entry_fixture.hpp"

#include <iostream>

using namespace plumspoke;

namespace
{

constexpr auto stop_limit = seconds(6);
constexpr auto resume_limit =
    milliseconds(1500); // for a stop whose limit has passed when the process resumes
constexpr auto poll_interval = milliseconds(10);
constexpr auto pause_threshold = milliseconds(500);

/// @brief Detects when this process resumes after being suspended.
class pause_monitor
{
  public:
    pause_monitor()
        : thread_(
              [this]
              {
                  run();
              })
    {
    }
    pause_monitor(const pause_monitor&) = delete;
    pause_monitor& operator=(const pause_monitor&) = delete;
    ~pause_monitor()
    {
        stopping_ = true;
        thread_.join();
    }
    [[nodiscard]] time_point resumed_at() const noexcept
    {
        return resumed_at_;
    }

  private:
    void run()
    {
        time_point last = boot_clock::now();
        while (!stopping_)
        {
            std::this_thread::sleep_for(poll_interval);
            const time_point now = boot_clock::now();
            resumed_at_ = now > last + pause_threshold ? now : resumed_at_.load();
            last = now;
        }
    }

    std::atomic<bool> stopping_{false};
    std::atomic<time_point> resumed_at_{time_point{}};
    std::thread thread_;
};

} // namespace

TEST_CASE("a stop during which the process is suspended ends in time, and answers what was sent",
          "[.][suspended]")
{
    test::stopping_entry entry;
    const pause_monitor pauses;
    std::cout << "stopping " << entry.address() << std::endl;
    const time_point begun = boot_clock::now();
    entry.stop();
    const auto resumed = std::chrono::duration_cast<duration>(pauses.resumed_at() - begun);
    INFO("resumed after " << resumed.count() / 1000 << " ms, the stop took " << entry.took().count() / 1000
                          << " ms");
    CHECK(entry.unanswered() == 0);
    CHECK(entry.took() < std::max<duration>(stop_limit, resumed + resume_limit));
    std::cout << "stopped" << std::endl;
}

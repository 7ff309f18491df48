#pragma once

/// @file
/// @brief A process that a script runs again whenever it has ended, as a test sees it.

#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/types.h>

namespace plumspoke::test
{

/// @brief Process number N of a soak: settings-N holds its settings, pid-N its id, and clock-N the time that
///        its clock has missed. The script empties its data folder before a start if there is a file wipe-N.
class soak_process
{
  public:
    soak_process(std::filesystem::path folder, std::size_t number)
        : folder_(std::move(folder)), number_(std::to_string(number))
    {
        write_suspended_time();
    }

    [[nodiscard]] std::string data_folder() const
    {
        return folder_ / ("data-" + number_);
    }

    void write_settings(const std::string& text) const
    {
        const std::filesystem::path fresh = folder_ / ("settings-" + number_ + ".new");
        std::ofstream(fresh) << text;
        std::filesystem::rename(fresh, folder_ / ("settings-" + number_));
    }

    /// @return 0 if it doesn't run
    [[nodiscard]] pid_t id() const
    {
        std::ifstream file(folder_ / ("pid-" + number_));
        pid_t id = 0;
        return file >> id ? id : 0;
    }

    void signal(int number) const
    {
        if (const pid_t process = id(); process > 0)
        {
            ::kill(process, number);
        }
    }

    void lose_disk() const
    {
        std::ofstream(folder_ / ("wipe-" + number_)).flush();
        signal(SIGKILL);
    }

    void add_suspended_time(std::chrono::nanoseconds missed)
    {
        suspended_time_ += missed;
        write_suspended_time();
    }

  private:
    // In place: the process has mapped the file.
    void write_suspended_time() const
    {
        const std::filesystem::path path = folder_ / ("clock-" + number_);
        const std::int64_t nanoseconds = suspended_time_.count();
        std::fstream file(path, std::filesystem::exists(path) ? std::ios::in | std::ios::out : std::ios::out);
        file.write(reinterpret_cast<const char*>(&nanoseconds), sizeof nanoseconds);
    }

    std::filesystem::path folder_;
    std::string number_;
    std::chrono::nanoseconds suspended_time_{0};
};

} // namespace plumspoke::test

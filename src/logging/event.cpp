#include "plumspoke/logging/event.hpp"

#include "plumspoke/logging/logging.hpp"
#include "plumspoke/time/time_of_day.hpp"

#include <atomic>
#include <climits>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace plumspoke::logging
{

namespace
{

// Per event name. A line takes 12 us, so one event uses less than a thousandth of a core, and at most about
// ten screens of lines are written per minute.
constexpr int lines_per_second = 40;

/// @brief Number of lines written for one event name in the current second.
struct line_budget
{
    std::int64_t second = 0;
    int used = 0;
    std::uint64_t dropped = 0;
};

// Texts come from callers (paths, host names). This is long enough for searches, and ten such texts fit into
// one atomic pipe write (PIPE_BUF).
constexpr std::size_t max_text_length = 300;

std::mutex budgets_mutex;
std::map<std::string, line_budget, std::less<>> budgets;
std::atomic<std::uint64_t> over_budget{0};
std::atomic<std::uint64_t> not_writable{0};
std::string process_name; // set once before threads are started
std::atomic<bool> structured{false};

/// @brief Writes to standard output if that doesn't block.
/// @return false if the line was not written completely
bool write_nonblocking(std::string_view line)
{
    // A writable pipe accepts PIPE_BUF bytes without blocking; a longer line could block on the reader.
    if (line.size() > PIPE_BUF)
    {
        return false;
    }
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
    {
        return false;
    }
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

/// @brief Takes one line from the line_budget of an event name.
/// @param dropped receives the number of lines dropped since the last written one
/// @return false if the line_budget is used up
bool take_from_budget(std::string_view name, std::int64_t now_ms, std::uint64_t& dropped)
{
    constexpr std::int64_t ms_per_second = 1000;
    const std::lock_guard lock(budgets_mutex);
    const auto found = budgets.find(name);
    line_budget& of = found == budgets.end() ? budgets[std::string(name)] : found->second;
    if (of.second != now_ms / ms_per_second)
    {
        of.second = now_ms / ms_per_second;
        of.used = 0;
    }
    if (of.used >= lines_per_second)
    {
        ++of.dropped;
        ++over_budget;
        return false;
    }
    ++of.used;
    dropped = std::exchange(of.dropped, 0);
    return true;
}

/// @brief Redirects easylogging++ lines to the non-blocking writer.
class nonblocking_dispatch final : public el::LogDispatchCallback
{
  protected:
    void handle(const el::LogDispatchData* data) override
    {
        const el::LogMessage& message = *data->logMessage();
        const std::string& text = message.message();
        const std::size_t colon = text.find(": ");
        nlohmann::json line = {{"time_ms", time_of_day_ms()},
                               {"level", el::LevelHelper::convertToString(message.level())},
                               {"process", process_name},
                               {"part", colon == std::string::npos ? "" : text.substr(0, colon)},
                               {"event", "log"},
                               {"message", colon == std::string::npos ? text : text.substr(colon + 2)}};
        if (!write_nonblocking(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"))
        {
            ++not_writable;
        }
    }
};

} // namespace

event::event(std::string_view part, std::string_view name, std::string message)
    : part_(part), name_(name), message_(std::move(message))
{
}

event& event::with(std::string_view key, std::string_view value)
{
    fields_.push_back({std::string(key), std::string(value.substr(0, max_text_length)), 0, true});
    return *this;
}

event& event::with(std::string_view key, std::int64_t value)
{
    fields_.push_back({std::string(key), {}, value, false});
    return *this;
}

std::string event::to_json(std::int64_t time_ms) const
{
    nlohmann::ordered_json line = {{"time_ms", time_ms},
                                   {"level", "INFO"},
                                   {"process", process_name},
                                   {"part", part_},
                                   {"event", name_}};
    for (const field& one : fields_)
    {
        if (one.is_text)
        {
            line[one.key] = one.text;
        }
        else
        {
            line[one.key] = one.number;
        }
    }
    line["message"] = message_;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void start_structured(std::string_view process)
{
    process_name = process;
    start(false);
    el::Helpers::installLogDispatchCallback<nonblocking_dispatch>("bounded");
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    structured = true;
}

void write(const event& what)
{
    if (!structured)
    {
        return;
    }
    const std::int64_t now_ms = time_of_day_ms();
    std::uint64_t dropped = 0;
    if (!take_from_budget(what.name(), now_ms, dropped))
    {
        return;
    }
    event line = what;
    if (dropped > 0)
    {
        line.with("left_out_before", static_cast<std::int64_t>(dropped));
    }
    if (!write_nonblocking(line.to_json(now_ms) + "\n"))
    {
        ++not_writable;
    }
}

dropped_lines read_dropped() noexcept
{
    return {over_budget, not_writable};
}

} // namespace plumspoke::logging

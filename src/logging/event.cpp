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

// Lines a second for each kind of event: ten readable screens a minute at the worst, and the measured
// 12 us a line keep logging under a thousandth of a core.
constexpr int lines_per_second = 40;

/// @brief How many lines of one kind were written in the present second.
struct budget
{
    std::int64_t second = 0;
    int used = 0;
    std::uint64_t left_out = 0;
};

// Texts come from callers (paths, host names). This is past what a search needs, and ten of them stay within
// what a pipe takes in one piece.
constexpr std::size_t longest_text = 300;

std::mutex budgets_mutex;
std::map<std::string, budget, std::less<>> budgets;
std::atomic<std::uint64_t> over_budget{0};
std::atomic<std::uint64_t> not_writable{0};
std::string process_name; // set once before threads start
std::atomic<bool> structured{false};

/// @brief Writes to standard output only where that doesn't wait.
bool write_without_waiting(std::string_view line)
{
    // A pipe that is ready takes PIPE_BUF bytes at once; the rest of a longer line would wait for the reader.
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

/// @brief Takes one line from the budget of its kind.
/// @param left_out receives how many lines were left out before this one
bool take_line(std::string_view name, std::int64_t now_ms, std::uint64_t& left_out)
{
    constexpr std::int64_t ms_per_second = 1000;
    const std::lock_guard lock(budgets_mutex);
    const auto found = budgets.find(name);
    budget& of = found == budgets.end() ? budgets[std::string(name)] : found->second;
    if (of.second != now_ms / ms_per_second)
    {
        of.second = now_ms / ms_per_second;
        of.used = 0;
    }
    if (of.used >= lines_per_second)
    {
        ++of.left_out;
        ++over_budget;
        return false;
    }
    ++of.used;
    left_out = std::exchange(of.left_out, 0);
    return true;
}

/// @brief Hands easylogging++'s lines to the same bounded writer.
class bounded_dispatch final : public el::LogDispatchCallback
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
        if (!write_without_waiting(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
                                   "\n"))
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
    fields_.push_back({std::string(key), std::string(value.substr(0, longest_text)), 0, true});
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
    el::Helpers::installLogDispatchCallback<bounded_dispatch>("bounded");
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
    std::uint64_t left_out = 0;
    if (!take_line(what.name(), now_ms, left_out))
    {
        return;
    }
    event line = what;
    if (left_out > 0)
    {
        line.with("left_out_before", static_cast<std::int64_t>(left_out));
    }
    if (!write_without_waiting(line.to_json(now_ms) + "\n"))
    {
        ++not_writable;
    }
}

dropped_lines read_dropped() noexcept
{
    return {over_budget, not_writable};
}

} // namespace plumspoke::logging

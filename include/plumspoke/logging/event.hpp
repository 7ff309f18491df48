#pragma once

/// @file
/// @brief Structured logging: one JSON object per line on standard output, rate-limited and non-blocking.

#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plumspoke::logging
{

/// @brief A log event for a decision or state change: name, message and the inputs of the decision.
class event
{
  public:
    /// @param part the component that logs the event
    /// @param name event name; stable across releases so that it can be searched for
    /// @param message a short sentence
    event(std::string_view part, std::string_view name, std::string message);

    event& with(std::string_view key, std::string_view value);
    event& with(std::string_view key, std::int64_t value);

    [[nodiscard]] std::string_view name() const noexcept
    {
        return name_;
    }

    /// @brief The complete line without the newline.
    [[nodiscard]] std::string to_json(std::int64_t time_ms) const;

  private:
    struct field
    {
        std::string key;
        std::string text;
        std::int64_t number = 0;
        bool is_text = true;
    };
    std::string_view part_; // views of string literals
    std::string_view name_;
    std::string message_;
    std::vector<field> fields_;
};

/// @brief Switches logging from plain lines to structured lines on standard output.
void start_structured(std::string_view process);

/// @brief Writes an event. Drops it if the limit for its name in this second is reached or if standard output
///        would block.
void write(const event& what);

/// @brief Lines dropped since the start: by the rate limit, and because standard output would have blocked.
struct dropped_lines
{
    std::uint64_t over_budget = 0;
    std::uint64_t not_writable = 0;
};
[[nodiscard]] dropped_lines read_dropped() noexcept;

} // namespace plumspoke::logging

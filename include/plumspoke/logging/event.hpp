#pragma once

/// @file
/// @brief Structured log lines: one JSON object a line on standard output, bounded, never blocking.

#include "plumspoke/time/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plumspoke::logging
{

/// @brief One decision or change of belief: its name, a short sentence, and the inputs that decided.
class event
{
  public:
    /// @param part the part of the program that speaks
    /// @param name stays the same over releases, so that it can be searched for
    /// @param message a short sentence
    event(std::string_view part, std::string_view name, std::string message);

    event& with(std::string_view key, std::string_view value);
    event& with(std::string_view key, std::int64_t value);

    [[nodiscard]] std::string_view name() const noexcept
    {
        return name_;
    }

    /// @brief The whole line, without its end.
    [[nodiscard]] std::string to_json(std::int64_t time_ms) const;

  private:
    struct field
    {
        std::string key;
        std::string text;
        std::int64_t number = 0;
        bool is_text = true;
    };
    std::string_view part_; // names are literals
    std::string_view name_;
    std::string message_;
    std::vector<field> fields_;
};

/// @brief Chooses structured lines on standard output in place of plain ones.
void start_structured(std::string_view process);

/// @brief Writes an event, unless its kind has used up its lines of this second or the reader is behind.
void write(const event& what);

/// @brief Lines that were left out since the start: by the budget, and because the reader was behind.
struct dropped_lines
{
    std::uint64_t over_budget = 0;
    std::uint64_t not_writable = 0;
};
[[nodiscard]] dropped_lines read_dropped() noexcept;

} // namespace plumspoke::logging

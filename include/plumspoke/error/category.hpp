#pragma once

/// @file
/// @brief Table-driven error categories: each layer has stable ids in one list.

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace plumspoke::error
{

/// @brief One documented error: its stable id, short name and meaning.
struct listed_error
{
    int id;
    std::string_view name;
    std::string_view meaning;
};

/// @brief A `std::error_category` whose messages are read from a table.
/// @note docs/ERRORS.md lists the same tables; a test compares them.
class listed_category final : public std::error_category
{
  public:
    listed_category(const char* name, std::span<const listed_error> errors) noexcept
        : name_(name), errors_(errors)
    {
    }

    [[nodiscard]] const char* name() const noexcept override
    {
        return name_;
    }

    /// @brief Returns "name: meaning (plumspoke.id)".
    /// @complexity Linear in the length of the table.
    [[nodiscard]] std::string message(int id) const override;

    [[nodiscard]] std::span<const listed_error> errors() const noexcept
    {
        return errors_;
    }

  private:
    const char* name_;
    std::span<const listed_error> errors_;
};

} // namespace plumspoke::error

#pragma once

/// @file
/// @brief The platform's list of live and leaving VMs: parsed strictly; older versions are rejected.

#include "plumspoke/error/category.hpp"
#include "plumspoke/settings/checker.hpp"

#include <set>
#include <string>

namespace plumspoke::vm_list
{

/// @brief Errors of the platform layer: ids 800 to 899.
enum class errc : std::uint16_t
{
    unreachable = 800,
    garbled = 801,
    empty = 802,
    older = 803,
};

[[nodiscard]] const error::listed_category& category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// @brief One complete list.
struct vm_list
{
    std::uint64_t version = 0;
    std::set<std::string> live;
    std::set<std::string> leaving;
};

/// @brief Parses one list: `{"version": 7, "vms": [{"name": "w1", "state": "live"}]}`.
[[nodiscard]] vm_list parse_list(std::string_view text, std::error_code& error);

/// @brief Holds the last valid list; an invalid, empty or older one never replaces it.
class list_cache
{
  public:
    /// @brief Parses a list and stores it if it is valid.
    /// @return the reason for rejecting it; the last valid list is kept in this case
    std::error_code update(std::string_view text);

    /// @brief Records that the list could not be fetched.
    std::error_code mark_unreachable() noexcept;

    [[nodiscard]] const vm_list& current() const noexcept
    {
        return current_;
    }
    [[nodiscard]] bool is_leaving(const std::string& vm) const
    {
        return current_.leaving.contains(vm);
    }

    /// @brief The error of the last update; empty if it succeeded.
    [[nodiscard]] std::error_code last_error() const noexcept
    {
        return last_error_;
    }

  private:
    vm_list current_;
    std::error_code last_error_;
};

} // namespace plumspoke::vm_list

template <> struct std::is_error_code_enum<plumspoke::vm_list::errc> : std::true_type
{
};

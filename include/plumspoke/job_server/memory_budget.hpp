#pragma once

/// @file
/// @brief Limits the memory of requests that are handled at the same time.

#include <atomic>
#include <cstddef>

namespace plumspoke::job_server
{

/// @brief A number of bytes that reservations share.
class memory_budget
{
  public:
    explicit memory_budget(std::size_t bytes) noexcept : bytes_(bytes)
    {
    }

    /// @brief Part of the budget, returned on destruction.
    class reservation
    {
      public:
        /// @note If nothing else is reserved, the reservation is granted whatever its size.
        reservation(memory_budget& from, std::size_t bytes) noexcept
            : from_(from), bytes_(from.try_reserve(bytes) ? bytes : 0), granted_(bytes_ == bytes)
        {
        }
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;
        ~reservation()
        {
            from_.reserved_ -= bytes_;
        }

        [[nodiscard]] bool granted() const noexcept
        {
            return granted_;
        }

      private:
        memory_budget& from_;
        std::size_t bytes_;
        bool granted_;
    };

  private:
    [[nodiscard]] bool try_reserve(std::size_t bytes) noexcept
    {
        std::size_t reserved = reserved_;
        do
        {
            if (reserved > 0 && reserved + bytes > bytes_)
            {
                return false;
            }
        } while (!reserved_.compare_exchange_weak(reserved, reserved + bytes));
        return true;
    }

    std::size_t bytes_;
    std::atomic<std::size_t> reserved_{0};
};

} // namespace plumspoke::job_server

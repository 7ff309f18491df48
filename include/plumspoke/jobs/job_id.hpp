#pragma once

/// @file
/// @brief The name of a job as a key: a short text that is copied and compared without an allocation.

#include <array>
#include <bit>
#include <compare>
#include <cstdint>
#include <cstring>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>

namespace plumspoke::jobs
{

/// @brief Names a job, in the order of its text.
class job_id
{
  public:
    static constexpr std::size_t max_size = 64;

    /// @name construction
    /// @{
    constexpr job_id() noexcept = default;

    /// @throw std::length_error where the text is longer than `max_size`
    job_id(std::string_view text) : size_(static_cast<std::uint8_t>(text.size()))
    {
        if (!fits(text))
        {
            throw std::length_error("a job's id is too long");
        }
        std::memcpy(text_.data(), text.data(), text.size());
    }
    job_id(const std::string& text) : job_id(std::string_view(text))
    {
    }
    job_id(const char* text) : job_id(std::string_view(text))
    {
    }
    /// @}

    /// @name access
    /// @{
    [[nodiscard]] static constexpr bool fits(std::string_view text) noexcept
    {
        return text.size() <= max_size;
    }
    [[nodiscard]] std::string_view view() const noexcept
    {
        return {text_.data(), size_};
    }
    operator std::string_view() const noexcept
    {
        return view();
    }
    [[nodiscard]] std::string text() const
    {
        return std::string(view());
    }
    [[nodiscard]] bool empty() const noexcept
    {
        return size_ == 0;
    }
    /// @}

    friend bool operator==(const job_id& left, const job_id& right) noexcept
    {
        return left.size_ == right.size_ &&
               std::memcmp(left.text_.data(), right.text_.data(), left.size_) == 0;
    }
    friend std::strong_ordering operator<=>(const job_id& left, const job_id& right) noexcept
    {
        // Ids mostly differ in their first bytes.
        const std::uint64_t left_head = left.head();
        const std::uint64_t right_head = right.head();
        if (left_head != right_head)
        {
            return left_head <=> right_head;
        }
        return std::memcmp(left.text_.data(), right.text_.data(), max_size) <=> 0;
    }
    friend std::ostream& operator<<(std::ostream& out, const job_id& id)
    {
        return out << id.view();
    }

  private:
    /// @brief The first bytes as a number that has the order of their text.
    [[nodiscard]] std::uint64_t head() const noexcept
    {
        std::uint64_t out = 0;
        std::memcpy(&out, text_.data(), sizeof out);
        if constexpr (std::endian::native == std::endian::little)
        {
            out = __builtin_bswap64(out);
        }
        return out;
    }

    alignas(std::uint64_t) std::array<char, max_size> text_{}; // zeros after the text
    std::uint8_t size_ = 0;
};

} // namespace plumspoke::jobs

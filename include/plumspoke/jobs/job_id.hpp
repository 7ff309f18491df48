#pragma once

/// @file
/// @brief A job id: a short string that is copied and compared without allocation.

#include <algorithm>
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

/// @brief Identifies a job; ordered lexicographically by its bytes.
class job_id
{
  public:
    static constexpr std::size_t max_size = 64;

    /// @name construction
    /// @{
    constexpr job_id() noexcept = default;

    /// @throw std::length_error if the text is longer than `max_size` bytes
    // NOLINTNEXTLINE(google-explicit-constructor): implicit by design, an id is a string
    job_id(std::string_view text) : size_(static_cast<std::uint8_t>(text.size()))
    {
        if (!fits(text))
        {
            throw std::length_error("job id is longer than 64 bytes");
        }
        std::memcpy(text_.data(), text.data(), text.size());
    }
    // NOLINTNEXTLINE(google-explicit-constructor): implicit by design, an id is a string
    job_id(const std::string& text) : job_id(std::string_view(text))
    {
    }
    // NOLINTNEXTLINE(google-explicit-constructor): implicit by design, an id is a string
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
    // NOLINTNEXTLINE(google-explicit-constructor): implicit by design, an id is a string
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
        return left.size_ == right.size_ && std::is_eq(left <=> right);
    }
    friend std::strong_ordering operator<=>(const job_id& left, const job_id& right) noexcept
    {
        // Most ids fit into two words.
        for (const std::size_t at : {std::size_t{0}, word_size})
        {
            if (const auto order = left.word(at) <=> right.word(at); std::is_neq(order))
            {
                return order;
            }
        }
        if (std::max(left.size_, right.size_) <= 2 * word_size)
        {
            return std::strong_ordering::equal;
        }
        return left.view() <=> right.view();
    }
    friend std::ostream& operator<<(std::ostream& out, const job_id& id)
    {
        return out << id.view();
    }

  private:
    static constexpr std::size_t word_size = sizeof(std::uint64_t);

    /// @brief Eight bytes as a number whose order is the lexicographic order of the bytes.
    [[nodiscard]] std::uint64_t word(std::size_t at) const noexcept
    {
        std::uint64_t out = 0;
        std::memcpy(&out, text_.data() + at, word_size);
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

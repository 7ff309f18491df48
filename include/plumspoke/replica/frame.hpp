#pragma once

/// @file
/// @brief Framing of the files in the data folder.

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plumspoke::replica
{

/// @brief Header size in bytes: payload length, payload checksum and header checksum, 32 bits each.
inline constexpr std::size_t frame_header_size = 12;

/// @brief Computes the CRC-32C (Castagnoli) checksum.
[[nodiscard]] std::uint32_t crc32c(std::string_view bytes) noexcept;

/// @brief Prepends the header to a payload.
[[nodiscard]] std::string make_frame(std::string_view payload);

/// @brief Writes the header of a frame whose payload follows `frame_header_size` unused bytes.
void write_frame_header(std::string& frame) noexcept;

/// @brief How the frames of a file end.
enum class tail_state : std::uint8_t
{
    clean,
    torn,    // no valid frame follows the first invalid one: an incomplete, never acknowledged write
    damaged, // a valid frame follows the first invalid one
};

/// @brief Result of scanning a file; the payloads are views into the scanned bytes.
struct frame_scan
{
    std::vector<std::string_view> payloads;
    std::size_t valid_size = 0; // end of the valid frames, in bytes
    tail_state end = tail_state::clean;
};

/// @brief Reads frames up to the first invalid one, and classifies how they end.
/// @complexity Linear for valid frames; quadratic in the worst case after an invalid one, because each
///             following offset is tried.
[[nodiscard]] frame_scan scan_frames(std::string_view bytes);

/// @brief Reads the frames of a stream one at a time, with one payload in memory.
/// @note To classify an invalid frame, everything that follows it is read at once.
class frame_reader
{
  public:
    /// @param in a seekable stream; it has to outlive the reader
    explicit frame_reader(std::istream& in);

    /// @brief Reads the next frame.
    /// @return its payload, valid until the next call; nullopt after the last valid frame
    [[nodiscard]] std::optional<std::string_view> next();

    /// @brief End of the valid frames read so far, in bytes.
    [[nodiscard]] std::size_t valid_size() const noexcept
    {
        return valid_size_;
    }

    /// @brief How the frames end; known once `next` has returned nullopt.
    [[nodiscard]] tail_state end() const noexcept
    {
        return end_;
    }

  private:
    [[nodiscard]] bool read(std::size_t at, std::size_t count);
    [[nodiscard]] bool read_valid_frame();

    std::istream& in_;
    std::string buffer_;
    std::size_t size_ = 0; // of the stream
    std::size_t valid_size_ = 0;
    tail_state end_ = tail_state::clean;
};

} // namespace plumspoke::replica

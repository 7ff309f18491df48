#pragma once

/// @file
/// @brief Framing of the files in the data folder.

#include <cstdint>
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

} // namespace plumspoke::replica

#include "plumspoke/replica/frame.hpp"

#include <array>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <optional>

namespace plumspoke::replica
{

namespace
{

using crc32c_computer = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;
constexpr std::size_t checksummed_header_size = 8;

void append_little_endian(std::string& out, std::uint32_t value)
{
    const std::uint32_t little = boost::endian::native_to_little(value);
    std::array<char, sizeof little> bytes{};
    std::memcpy(bytes.data(), &little, sizeof little);
    out.append(bytes.data(), bytes.size());
}

std::uint32_t read_little_endian(std::string_view bytes, std::size_t at) noexcept
{
    std::uint32_t little = 0;
    std::memcpy(&little, bytes.data() + at, sizeof little);
    return boost::endian::little_to_native(little);
}

std::optional<std::string_view> read_frame(std::string_view bytes, std::size_t at)
{
    if (bytes.size() - at < frame_header_size)
    {
        return std::nullopt;
    }
    if (crc32c(bytes.substr(at, checksummed_header_size)) !=
        read_little_endian(bytes, at + checksummed_header_size))
    {
        return std::nullopt;
    }
    const std::size_t length = read_little_endian(bytes, at);
    if (bytes.size() - at - frame_header_size < length)
    {
        return std::nullopt;
    }
    const std::string_view payload = bytes.substr(at + frame_header_size, length);
    if (crc32c(payload) != read_little_endian(bytes, at + 4))
    {
        return std::nullopt;
    }
    return payload;
}

bool has_valid_frame_after(std::string_view bytes, std::size_t at)
{
    for (std::size_t offset = at + 1; offset + frame_header_size <= bytes.size(); ++offset)
    {
        if (read_frame(bytes, offset).has_value())
        {
            return true;
        }
    }
    return false;
}

} // namespace

std::uint32_t crc32c(std::string_view bytes) noexcept
{
    crc32c_computer computer;
    computer.process_bytes(bytes.data(), bytes.size());
    return computer.checksum();
}

std::string make_frame(std::string_view payload)
{
    std::string frame;
    frame.reserve(frame_header_size + payload.size());
    append_little_endian(frame, static_cast<std::uint32_t>(payload.size()));
    append_little_endian(frame, crc32c(payload));
    append_little_endian(frame, crc32c(frame));
    frame.append(payload);
    return frame;
}

frame_scan scan_frames(std::string_view bytes)
{
    frame_scan result;
    std::size_t at = 0;
    while (at < bytes.size())
    {
        const std::optional<std::string_view> payload = read_frame(bytes, at);
        if (!payload.has_value())
        {
            result.end = has_valid_frame_after(bytes, at) ? tail_state::damaged : tail_state::torn;
            return result;
        }
        result.payloads.push_back(*payload);
        at += frame_header_size + payload->size();
        result.valid_size = at;
    }
    return result;
}

} // namespace plumspoke::replica

#include "plumspoke/replica/frame.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>

namespace plumspoke::replica
{

namespace
{

using crc32c_computer = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;
constexpr std::size_t checksummed_header_size = 8;

void write_little_endian(std::string& out, std::size_t at, std::uint32_t value) noexcept
{
    const std::uint32_t little = boost::endian::native_to_little(value);
    std::memcpy(out.data() + at, &little, sizeof little);
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
    frame.append(frame_header_size, '\0');
    frame.append(payload);
    write_frame_header(frame);
    return frame;
}

void write_frame_header(std::string& frame) noexcept
{
    const std::string_view payload = std::string_view(frame).substr(frame_header_size);
    write_little_endian(frame, 0, static_cast<std::uint32_t>(payload.size()));
    write_little_endian(frame, 4, crc32c(payload));
    const std::string_view checksummed = std::string_view(frame).substr(0, checksummed_header_size);
    write_little_endian(frame, checksummed_header_size, crc32c(checksummed));
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

// ---- frame_reader ------------------------------------------------------------------------------

frame_reader::frame_reader(std::istream& in) : in_(in)
{
    in_.seekg(0, std::ios::end);
    size_ = static_cast<std::size_t>(std::max<std::streamoff>(in_.tellg(), 0));
}

std::optional<std::string_view> frame_reader::next()
{
    if (end_ != tail_state::clean || valid_size_ == size_)
    {
        return std::nullopt;
    }
    if (read_valid_frame())
    {
        valid_size_ += buffer_.size();
        return std::string_view(buffer_).substr(frame_header_size);
    }
    const bool is_readable = read(valid_size_, size_ - valid_size_);
    end_ = !is_readable || has_valid_frame_after(buffer_, 0) ? tail_state::damaged : tail_state::torn;
    return std::nullopt;
}

bool frame_reader::read(std::size_t at, std::size_t count)
{
    buffer_.resize(count);
    in_.seekg(static_cast<std::streamoff>(at));
    in_.read(buffer_.data(), static_cast<std::streamsize>(count));
    return in_.good();
}

bool frame_reader::read_valid_frame()
{
    const std::size_t left = size_ - valid_size_;
    if (left < frame_header_size || !read(valid_size_, frame_header_size))
    {
        return false;
    }
    const std::size_t length = frame_header_size + read_little_endian(buffer_, 0);
    const std::uint32_t checksum = crc32c(std::string_view(buffer_).substr(0, checksummed_header_size));
    return checksum == read_little_endian(buffer_, checksummed_header_size) && length <= left &&
           read(valid_size_, length) && read_frame(buffer_, 0).has_value();
}

} // namespace plumspoke::replica

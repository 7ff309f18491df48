#include "plumspoke/endpoint/connection.hpp"

#include "plumspoke/error/invariant.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plumspoke::endpoint
{

namespace
{

namespace beast = boost::beast;

constexpr std::size_t read_chunk = 16 * 1024;
constexpr std::size_t max_answer_header = 64 * 1024;

using answer_parser = beast::http::response_parser<beast::http::string_body>;

bool parse_address(const std::string& address, sockaddr_in& result)
{
    const std::size_t colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos)
    {
        return false;
    }
    const char* begin = address.data() + colon + 1;
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(begin, end, port);
    result = sockaddr_in{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    return parsed.ec == std::errc() && parsed.ptr == end &&
           inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) == 1;
}

/// Waits for a socket; false where the deadline came first.
bool wait_for(int socket, short events, time_point deadline)
{
    while (true)
    {
        const auto left = std::chrono::ceil<milliseconds>(deadline - std::chrono::steady_clock::now());
        if (left.count() <= 0)
        {
            return false;
        }
        pollfd waited{socket, events, 0};
        constexpr std::int64_t longest_wait = 60'000;
        const int ready =
            ::poll(&waited, 1, static_cast<int>(std::min<std::int64_t>(left.count(), longest_wait)));
        if (ready > 0)
        {
            return true;
        }
        if (ready < 0 && errno != EINTR)
        {
            return false;
        }
    }
}

bool is_hop_by_hop(beast::string_view name)
{
    constexpr std::array<std::string_view, 6> names = {
        "connection", "keep-alive", "transfer-encoding", "content-length", "content-type", "upgrade"};
    return std::any_of(names.begin(),
                       names.end(),
                       [name](std::string_view one)
                       {
                           return http::header_names_equal({name.data(), name.size()}, one);
                       });
}

void take_answer(answer_parser& parser, exchange_result& result)
{
    auto message = parser.release();
    result.answer.status = static_cast<int>(message.result_int());
    const beast::string_view type = message[beast::http::field::content_type];
    result.answer.content_type.assign(type.data(), type.size());
    for (const auto& field : message)
    {
        if (!is_hop_by_hop(field.name_string()))
        {
            result.answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
    }
    result.reusable = message.keep_alive();
    result.answer.body = std::move(message.body());
    result.reached = progress::answered;
}

std::error_code error_of(const beast::error_code& failed)
{
    if (failed == beast::http::error::body_limit || failed == beast::http::error::header_limit)
    {
        return errc::answer_too_large;
    }
    return errc::garbled_answer;
}

/// Feeds what arrived to the parser; true once the answer is whole.
bool feed(answer_parser& parser, std::string& buffer, std::error_code& error)
{
    while (!buffer.empty() && !parser.is_done())
    {
        beast::error_code failed;
        const std::size_t used = parser.put(boost::asio::const_buffer(buffer.data(), buffer.size()), failed);
        buffer.erase(0, used);
        if (failed == beast::http::error::need_more)
        {
            return false;
        }
        if (failed)
        {
            error = error_of(failed);
            return false;
        }
    }
    return parser.is_done();
}

} // namespace

connection::~connection()
{
    if (socket_ >= 0)
    {
        if (outstanding_)
        {
            // An abandoned request: a reset tells the endpoint, and drops what has not left this machine.
            const linger reset{1, 0};
            ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        ::close(socket_);
    }
}

std::error_code connection::connect(const std::string& address, time_point deadline)
{
    sockaddr_in target{};
    if (!parse_address(address, target))
    {
        return errc::bad_address;
    }
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_ < 0)
    {
        return errc::connect_refused;
    }
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0)
    {
        return {};
    }
    if (errno != EINPROGRESS)
    {
        return errc::connect_refused;
    }
    if (!wait_for(socket_, POLLOUT, deadline))
    {
        return errc::connect_timeout;
    }
    int failed = 0;
    socklen_t size = sizeof failed;
    if (::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 || failed != 0)
    {
        return errc::connect_refused;
    }
    return {};
}

std::error_code connection::write_all(std::string_view request, time_point deadline, progress& reached) const
{
    while (!request.empty())
    {
        const ssize_t count = ::send(socket_, request.data(), request.size(), MSG_NOSIGNAL);
        if (count > 0)
        {
            reached = progress::sent;
            request.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
            if (wait_for(socket_, POLLOUT, deadline))
            {
                continue;
            }
            return errc::answer_timeout;
        }
        return errc::write_failed;
    }
    return {};
}

exchange_result connection::exchange(std::string_view request, time_point deadline, std::size_t max_answer)
{
    error::check_invariant(
        error::invariant::answer_to_own_caller, !outstanding_, "endpoint::connection::exchange");
    outstanding_ = true;
    exchange_result result;
    result.error = write_all(request, deadline, result.reached);
    if (result.error)
    {
        return result;
    }
    answer_parser parser;
    parser.body_limit(max_answer);
    parser.header_limit(max_answer_header);
    parser.eager(true);
    parser.skip(request.starts_with("HEAD ")); // its answer has a length and no body
    std::string buffer;
    std::array<char, read_chunk> chunk{};
    bool anything_read = false;
    while (true)
    {
        if (!wait_for(socket_, POLLIN, deadline)) // first: an answer is never there at once
        {
            result.error = errc::answer_timeout;
            return result;
        }
        const ssize_t count = ::recv(socket_, chunk.data(), chunk.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        {
            continue;
        }
        if (count <= 0)
        {
            beast::error_code failed;
            if (count == 0 && anything_read && !parser.is_done())
            {
                parser.put_eof(failed); // whole only where the answer's end is the connection's end
            }
            if (count == 0 && anything_read && !failed && parser.is_done())
            {
                take_answer(parser, result);
                result.reusable = false;
                outstanding_ = false;
                return result;
            }
            result.error = anything_read ? errc::truncated_answer : errc::closed_before_answer;
            return result;
        }
        anything_read = true;
        buffer.append(chunk.data(), static_cast<std::size_t>(count));
        const bool whole = feed(parser, buffer, result.error);
        if (parser.get().body().size() > max_answer || parser.content_length().value_or(0) > max_answer)
        {
            // Beast's own limit let a body through that came together with its header (1.74).
            result.error = errc::answer_too_large;
            return result;
        }
        if (whole)
        {
            take_answer(parser, result);
            outstanding_ = false;
            result.reusable = result.reusable && buffer.empty(); // more than was asked for: never reused
            return result;
        }
        if (result.error)
        {
            return result;
        }
    }
}

bool connection::idle_and_open() const noexcept
{
    char byte = 0;
    const ssize_t count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace plumspoke::endpoint

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

/// Waits until the socket is ready; returns false on the deadline or a poll error.
bool wait_for(int socket, short events, time_point deadline)
{
    while (true)
    {
        const auto left = std::chrono::ceil<milliseconds>(deadline - boot_clock::now());
        if (left.count() <= 0)
        {
            return false;
        }
        pollfd waited{socket, events, 0};
        constexpr std::int64_t max_poll_ms = 60'000;
        const int ready =
            ::poll(&waited, 1, static_cast<int>(std::min<std::int64_t>(left.count(), max_poll_ms)));
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

bool is_dropped_header(beast::string_view name)
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

void store_answer(answer_parser& parser, exchange_result& result)
{
    auto message = parser.release();
    result.answer.status = static_cast<int>(message.result_int());
    const beast::string_view type = message[beast::http::field::content_type];
    result.answer.content_type.assign(type.data(), type.size());
    for (const auto& field : message)
    {
        if (!is_dropped_header(field.name_string()))
        {
            result.answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
    }
    result.reusable = message.keep_alive();
    result.answer.body = std::move(message.body());
    result.reached = progress::answered;
}

std::error_code to_error_code(const beast::error_code& failed)
{
    if (failed == beast::http::error::body_limit || failed == beast::http::error::header_limit)
    {
        return errc::answer_too_large;
    }
    return errc::garbled_answer;
}

/// Parses the buffered data; returns true once the answer is complete.
bool parse_buffered(answer_parser& parser, std::string& buffer, std::error_code& error)
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
            error = to_error_code(failed);
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
        if (answer_pending_)
        {
            // Abandoned request: a reset notifies the endpoint and discards unsent data.
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
        error::invariant::answer_to_own_caller, !answer_pending_, "endpoint::connection::exchange");
    answer_pending_ = true;
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
    parser.skip(request.starts_with("HEAD ")); // the answer to HEAD may have a Content-Length but has no body
    std::string buffer;
    std::array<char, read_chunk> chunk{};
    bool anything_read = false;
    while (true)
    {
        if (!wait_for(socket_, POLLIN, deadline)) // poll first: the answer is never available immediately
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
                parser.put_eof(failed); // complete only if the body is delimited by the end of the connection
            }
            if (count == 0 && anything_read && !failed && parser.is_done())
            {
                store_answer(parser, result);
                result.reusable = false;
                answer_pending_ = false;
                return result;
            }
            result.error = anything_read ? errc::truncated_answer : errc::closed_before_answer;
            return result;
        }
        anything_read = true;
        buffer.append(chunk.data(), static_cast<std::size_t>(count));
        const bool complete = parse_buffered(parser, buffer, result.error);
        if (parser.get().body().size() > max_answer || parser.content_length().value_or(0) > max_answer)
        {
            // Boost.Beast 1.74 does not apply its body limit to a body that arrives together with the header.
            result.error = errc::answer_too_large;
            return result;
        }
        if (complete)
        {
            store_answer(parser, result);
            answer_pending_ = false;
            result.reusable = result.reusable && buffer.empty(); // unsolicited data follows: never reuse
            return result;
        }
        if (result.error)
        {
            return result;
        }
    }
}

bool connection::is_idle_and_open() const noexcept
{
    char byte = 0;
    const ssize_t count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace plumspoke::endpoint

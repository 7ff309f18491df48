#include "kept_connection.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace plumspoke::test
{

namespace
{

constexpr std::string_view end_of_head = "\r\n\r\n";
constexpr std::string_view length_header = "content-length:";

std::string to_lower(std::string_view text)
{
    std::string out(text);
    for (char& character : out)
    {
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    return out;
}

int parse_number(std::string_view text)
{
    while (text.starts_with(' '))
    {
        text.remove_prefix(1);
    }
    int number = 0;
    (void)std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// @return whether bytes were received before the deadline
bool receive_some(int socket, std::string& into, time_point deadline)
{
    pollfd readable{socket, POLLIN, 0};
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - boot_clock::now()).count();
    if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left)) <= 0)
    {
        return false;
    }
    std::array<char, 16384> buffer{};
    const ssize_t got = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (got <= 0)
    {
        return false;
    }
    into.append(buffer.data(), static_cast<std::size_t>(got));
    return true;
}

} // namespace

kept_connection::kept_connection(std::string ip, int port) : ip_(std::move(ip)), port_(port)
{
}

kept_connection::kept_connection(kept_connection&& other) noexcept
    : ip_(std::move(other.ip_)), port_(other.port_), socket_(std::exchange(other.socket_, -1))
{
}

kept_connection& kept_connection::operator=(kept_connection&& other) noexcept
{
    std::swap(ip_, other.ip_);
    std::swap(port_, other.port_);
    std::swap(socket_, other.socket_);
    return *this;
}

kept_connection::~kept_connection()
{
    close();
}

void kept_connection::close()
{
    if (socket_ >= 0)
    {
        ::close(std::exchange(socket_, -1));
    }
}

bool kept_connection::open()
{
    if (socket_ >= 0)
    {
        return true;
    }
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port_));
    (void)::inet_pton(AF_INET, ip_.c_str(), &to.sin_addr);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
    {
        close();
        return false;
    }
    return true;
}

bool kept_connection::send(const std::string& method,
                           const std::string& path,
                           const std::string& host,
                           const std::string& body)
{
    if (!open())
    {
        return false;
    }
    const std::string text =
        method + " " + path + " HTTP/1.1\r\nHost: " + host +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    if (::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size()))
    {
        close();
        return false;
    }
    return true;
}

bool kept_connection::wait_readable(milliseconds limit) const
{
    pollfd readable{socket_, POLLIN, 0};
    return ::poll(&readable, 1, static_cast<int>(limit.count())) > 0;
}

kept_connection::response kept_connection::receive(milliseconds limit)
{
    const time_point deadline = boot_clock::now() + limit;
    std::string received;
    std::size_t head = std::string::npos;
    while (socket_ >= 0 && (head = received.find(end_of_head)) == std::string::npos)
    {
        if (!receive_some(socket_, received, deadline))
        {
            close();
        }
    }
    if (socket_ < 0)
    {
        return {};
    }
    const std::string headers = to_lower(std::string_view(received).substr(0, head));
    const std::size_t length_at = headers.find(length_header);
    const int length = length_at == std::string::npos
                           ? 0
                           : parse_number(std::string_view(headers).substr(length_at + length_header.size()));
    const std::size_t whole = head + end_of_head.size() + static_cast<std::size_t>(length);
    while (received.size() < whole)
    {
        if (!receive_some(socket_, received, deadline))
        {
            close();
            return {};
        }
    }
    if (headers.find("connection: close") != std::string::npos)
    {
        close();
    }
    return {parse_number(std::string_view(headers).substr(headers.find(' '))),
            received.substr(head + end_of_head.size(), static_cast<std::size_t>(length))};
}

kept_connection::response kept_connection::call(const std::string& method,
                                                const std::string& path,
                                                const std::string& host,
                                                const std::string& body,
                                                milliseconds limit)
{
    return send(method, path, host, body) ? receive(limit) : response{};
}

} // namespace plumspoke::test

#include "plumspoke/http/client.hpp"

#include <array>
#include <civetweb.h>
#include <memory>
#include <utility>

namespace plumspoke::http
{

namespace
{

constexpr std::size_t error_size = 256;
constexpr std::size_t read_chunk = 16 * 1024;
constexpr std::size_t max_answer_size = 64U << 20U;

struct connection_closer
{
    void operator()(mg_connection* connection) const noexcept
    {
        mg_close_connection(connection);
    }
};

using connection_handle = std::unique_ptr<mg_connection, connection_closer>;

std::string write_request(const std::string& address, const request& sent)
{
    std::string out =
        sent.method + " " + sent.path + (sent.query.empty() ? "" : "?" + sent.query) + " HTTP/1.1\r\n";
    out += "Host: " + address + "\r\nConnection: close\r\n";
    out += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
    for (const header& one : sent.headers)
    {
        out += one.name + ": " + one.value + "\r\n";
    }
    return out + "\r\n" + sent.body;
}

bool read_body(mg_connection* connection, long long content_length, std::string& body)
{
    std::array<char, read_chunk> chunk{};
    while (content_length < 0 || std::cmp_less(body.size(), content_length))
    {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count <= 0)
        {
            return content_length < 0 && count == 0;
        }
        body.append(chunk.data(), static_cast<std::size_t>(count));
        if (body.size() > max_answer_size)
        {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<response> call(const std::string& address, const request& sent, milliseconds limit)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::array<char, error_size> error{};
    const std::string host = address.substr(0, colon);
    const int port = std::atoi(address.c_str() + colon + 1);
    const connection_handle connection(mg_connect_client(host.c_str(), port, 0, error.data(), error.size()));
    if (connection == nullptr)
    {
        return std::nullopt;
    }
    const std::string head = write_request(address, sent);
    if (mg_write(connection.get(), head.data(), head.size()) != static_cast<int>(head.size()))
    {
        return std::nullopt;
    }
    if (mg_get_response(connection.get(), error.data(), error.size(), static_cast<int>(limit.count())) < 0)
    {
        return std::nullopt;
    }
    const mg_response_info* info = mg_get_response_info(connection.get());
    if (info == nullptr)
    {
        return std::nullopt;
    }
    response answer;
    answer.status = info->status_code;
    for (int i = 0; i < info->num_headers; ++i)
    {
        answer.headers.push_back({info->http_headers[i].name, info->http_headers[i].value});
    }
    answer.content_type = find_header(answer.headers, "Content-Type");
    if (!read_body(connection.get(), info->content_length, answer.body))
    {
        return std::nullopt;
    }
    return answer;
}

} // namespace plumspoke::http

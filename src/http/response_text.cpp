#include "response_text.hpp"

#include <chrono>
#include <utility>

namespace plumspoke::http
{

std::string serialize(const response& answer, milliseconds keep_alive)
{
    std::string out;
    constexpr std::size_t head_estimate = 256;
    out.reserve(answer.body.size() + head_estimate);
    out += "HTTP/1.1 " + std::to_string(answer.status) + " ";
    out += reason_phrase(answer.status);
    out += "\r\nContent-Type: " + answer.content_type;
    out += "\r\nContent-Length: " + std::to_string(answer.body.size());
    out += keep_alive > milliseconds::zero() ? "\r\nConnection: keep-alive" : "\r\nConnection: close";
    if (keep_alive >= seconds(1))
    {
        out += "\r\nKeep-Alive: timeout=" + std::to_string(std::chrono::floor<seconds>(keep_alive).count());
    }
    for (const header& one : answer.headers)
    {
        out += "\r\n" + one.name + ": " + one.value;
    }
    out += "\r\n\r\n";
    out += answer.body;
    return out;
}

response plain_error(int status, std::string text)
{
    response answer;
    answer.status = status;
    answer.body = std::move(text);
    answer.close = true;
    return answer;
}

response refuse(std::string text)
{
    response answer = plain_error(503, std::move(text));
    answer.headers.push_back({"Retry-After", "1"});
    return answer;
}

} // namespace plumspoke::http

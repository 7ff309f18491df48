#include "plumspoke/http/message.hpp"

#include <algorithm>
#include <cctype>

namespace plumspoke::http
{

bool header_names_equal(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && std::equal(left.begin(),
                                                     left.end(),
                                                     right.begin(),
                                                     [](unsigned char a, unsigned char b)
                                                     {
                                                         return std::tolower(a) == std::tolower(b);
                                                     });
}

std::string_view find_header(const std::vector<header>& headers, std::string_view name) noexcept
{
    const auto found = std::find_if(headers.begin(),
                                    headers.end(),
                                    [name](const header& one)
                                    {
                                        return header_names_equal(one.name, name);
                                    });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::string_view reason_phrase(int status) noexcept
{
    switch (status)
    {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 421:
        return "Misdirected Request";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace plumspoke::http

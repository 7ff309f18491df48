#include "plumspoke/endpoint/error.hpp"

#include <array>

namespace plumspoke::endpoint
{

namespace
{

constexpr std::array<error::listed_error, 9> errors = {{
    {700, "connect_refused", "the endpoint refused the connection; nothing was sent"},
    {701, "connect_timeout", "the endpoint did not take the connection in time; nothing was sent"},
    {702, "write_failed", "the connection broke while the request was written"},
    {703, "answer_timeout", "no whole answer came in time"},
    {704, "closed_before_answer", "the endpoint closed the connection before it answered"},
    {705, "truncated_answer", "the endpoint closed the connection within its answer"},
    {706, "garbled_answer", "the answer is not HTTP"},
    {707, "answer_too_large", "the answer is larger than the limit"},
    {708, "bad_address", "the endpoint's address is not IP:PORT"},
}};

} // namespace

const error::listed_category& category() noexcept
{
    static const error::listed_category instance("endpoint", errors);
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace plumspoke::endpoint

#include "plumspoke/dispatch/orders.hpp"

namespace plumspoke::dispatch
{

std::string_view to_string(reply value) noexcept
{
    switch (value)
    {
    case reply::done:
        return "done";
    case reply::fenced:
        return "fenced";
    case reply::superseded:
        return "superseded";
    case reply::expired:
        return "expired";
    case reply::no_room:
        return "no_room";
    case reply::no_ticket:
        return "no_ticket";
    case reply::malformed:
        return "malformed";
    case reply::unhealthy:
        return "unhealthy";
    case reply::other_life:
        return "other_life";
    case reply::unsent:
        return "unsent";
    case reply::none:
        break;
    }
    return "no_answer";
}

} // namespace plumspoke::dispatch

#include "plumspoke/operator/error.hpp"

#include <array>

namespace plumspoke::operators
{

namespace
{

constexpr std::array<error::listed_error, 5> errors = {{
    {400, "bad_document", "the document has faults; each is listed with its path"},
    {401, "not_leader", "this control VM is not the leader; ask the one that it names"},
    {402, "no_answer", "the outcome is not known; send the same request again"},
    {403, "unknown_path", "there is nothing at this path"},
    {404, "too_large", "the request is larger than the limit"},
}};

} // namespace

const error::listed_category& category() noexcept
{
    static const error::listed_category instance("operator", errors);
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace plumspoke::operators

#include "plumspoke/worker/error.hpp"

#include <array>

namespace plumspoke::worker
{

namespace
{

constexpr std::array<error::listed_error, 3> errors = {{
    {500, "bad_report", "the report is not as docs/WORKERS.md says"},
    {501, "old_sequence", "a newer report of this worker, or of its next process, was answered before"},
    {502, "not_leader", "this control VM may not grant leases now; ask the leader that it names"},
}};

} // namespace

const error::listed_category& category() noexcept
{
    static const error::listed_category instance("worker", errors);
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace plumspoke::worker

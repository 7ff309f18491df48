#include "plumspoke/replica/error.hpp"

#include <array>

namespace plumspoke::replica
{

namespace
{

constexpr std::array<error::listed_error, 12> errors = {{
    {200, "not_leader", "this replica is not the leader; send the request to the leader that it names"},
    {201, "disk_write_failed", "a write or sync failed; the replica stops, and nothing was acknowledged"},
    {202, "disk_read_failed", "a file of the data folder can't be read"},
    {203, "log_damaged", "a record before the end of the log is damaged; replace this replica's data folder"},
    {204, "snapshot_damaged", "the newest snapshot is damaged; replace this replica's data folder"},
    {205, "folder_in_use", "another process has locked the data folder"},
    {206, "no_identity", "the data folder has no identity; the replica joins as a new member"},
    {207, "already_initialized", "the data folder already has an identity"},
    {208, "queue_full", "too many commands are queued; retry later"},
    {209,
     "lost_leadership",
     "leadership was lost before the command was applied; it may or may not take effect: send it again"},
    {210, "stopping", "the replica is stopping"},
    {211, "disk_full", "the disk is full; nothing was written or acknowledged, and the replica retries"},
}};

} // namespace

const error::listed_category& category() noexcept
{
    static const error::listed_category instance("replica", errors);
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace plumspoke::replica

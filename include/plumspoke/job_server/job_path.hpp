#pragma once

/// @file
/// @brief The queue and the job that the path of a caller's request names.

#include "plumspoke/jobs/store.hpp"

#include <string>
#include <string_view>

namespace plumspoke::job_server
{

/// @brief What a path names under the current configuration.
struct job_path
{
    jobs::outcome problem = jobs::outcome::accepted;
    jobs::queue queue;
    std::string id;         // of the job; empty: the path names the queue
    bool known_job = false; // whether a job with this id exists

    /// @brief Whether the id may be that of a job.
    [[nodiscard]] bool has_job_id() const noexcept;
};

/// @brief Resolves a path.
/// @return with `problem` unconfigured or unknown_queue if it names no queue
[[nodiscard]] job_path
resolve_job_path(const jobs::store& state, std::string_view host, std::string_view path);

} // namespace plumspoke::job_server

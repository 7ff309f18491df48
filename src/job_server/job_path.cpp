#include "plumspoke/job_server/job_path.hpp"

namespace plumspoke::job_server
{

bool job_path::has_job_id() const noexcept
{
    return !id.empty() && jobs::job_id::fits(id) && id.find('/') == std::string::npos;
}

job_path resolve_job_path(const jobs::store& state, std::string_view host, std::string_view path)
{
    job_path out;
    if (state.current().version == 0)
    {
        out.problem = jobs::outcome::unconfigured;
        return out;
    }
    const jobs::queue* found = state.current().find_queue(host, path);
    if (found == nullptr)
    {
        out.problem = jobs::outcome::unknown_queue;
        return out;
    }
    out.queue = *found;
    out.id = path.substr(found->path_prefix.size());
    out.known_job = jobs::job_id::fits(out.id) && state.find(out.id) != nullptr;
    return out;
}

} // namespace plumspoke::job_server

#include "grpc_log.hpp"

#include "plumspoke/logging/event.hpp"

#include <atomic>
#include <grpc/support/log.h>
#include <string_view>

namespace plumspoke::job_server
{

namespace
{

std::atomic<std::uint64_t> failed_accept_count{0};

void handle_log_line(gpr_log_func_args* line)
{
    const std::string_view message = line->message;
    if (message.find("Failed accept") != std::string_view::npos)
    {
        ++failed_accept_count;
    }
    logging::write(logging::event("grpc", "library_error", "gRPC reported an error.")
                       .with("file", line->file)
                       .with("line", line->line)
                       .with("text", message));
}

} // namespace

void install_grpc_log_handler()
{
    gpr_set_log_function(&handle_log_line);
}

std::uint64_t failed_accepts() noexcept
{
    return failed_accept_count;
}

} // namespace plumspoke::job_server

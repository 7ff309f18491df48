#pragma once

/// @file
/// @brief Client of the control API for command-line tools: finds the leader and retries requests.

#include "plumspoke/http/client.hpp"

#include <nlohmann/json.hpp>
#include <vector>

namespace plumspoke::operators
{

/// @brief Response of a control VM.
struct control_answer
{
    int status = 0; // 0: no response
    nlohmann::json body;

    [[nodiscard]] bool reached() const noexcept
    {
        return status != 0;
    }
    [[nodiscard]] bool accepted() const noexcept
    {
        return status >= 200 && status < 300;
    }
};

/// @brief Calls control VMs in turn until the leader answers or the time limit is reached.
class control_api_client
{
  public:
    /// @param addresses HTTP addresses (IP:PORT) of the control VMs
    /// @param limit timeout of one call, including retries after leader changes
    control_api_client(std::vector<std::string> addresses, milliseconds limit);

    [[nodiscard]] control_answer get(const std::string& path);

    /// @note Retried during leader changes; each body carries a request id, so that retries are idempotent.
    [[nodiscard]] control_answer post(const std::string& path, const nlohmann::json& body);

  private:
    [[nodiscard]] control_answer call(const http::request& sent);

    std::vector<std::string> addresses_;
    milliseconds limit_;
};

} // namespace plumspoke::operators

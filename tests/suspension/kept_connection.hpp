#pragma once

/// @file
/// @brief An HTTP client that keeps its connection open until the server is gone.

#include "plumspoke/time/time.hpp"

#include <string>

namespace plumspoke::test
{

/// @brief One connection, opened again after an error. A response has to have a Content-Length.
class kept_connection
{
  public:
    /// @brief A response; status 0 if there was none in time.
    struct response
    {
        int status = 0;
        std::string body;
    };

    kept_connection(std::string ip, int port);
    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;
    kept_connection(kept_connection&& other) noexcept;
    kept_connection& operator=(kept_connection&& other) noexcept;
    ~kept_connection();

    [[nodiscard]] response call(const std::string& method,
                                const std::string& path,
                                const std::string& host,
                                const std::string& body,
                                milliseconds limit);

    /// @return false if the server can't be reached
    [[nodiscard]] bool send(const std::string& method,
                            const std::string& path,
                            const std::string& host,
                            const std::string& body);

    /// @brief Waits until a response begins or the connection ends. Unlike receive(), it doesn't close the
    ///        connection at the limit.
    [[nodiscard]] bool wait_readable(milliseconds limit) const;

    /// @brief Waits for the response to the request sent last.
    [[nodiscard]] response receive(milliseconds limit);

  private:
    [[nodiscard]] bool open();
    void close();

    std::string ip_;
    int port_;
    int socket_ = -1;
};

} // namespace plumspoke::test

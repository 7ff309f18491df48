#pragma once

/// @file
/// @brief A TCP connection to an endpoint: one HTTP exchange at a time, every wait bounded by a deadline.
///
/// CivetWeb's client is not used, since it has no timeout for a stalled body (docs/DECISIONS.md).
/// Answers are parsed by Boost.Beast.

#include "plumspoke/endpoint/error.hpp"
#include "plumspoke/http/message.hpp"
#include "plumspoke/time/time.hpp"

#include <boost/intrusive/list.hpp>
#include <string_view>

namespace plumspoke::endpoint
{

/// @brief How far an exchange got; determines which outcome may be reported.
enum class progress : std::uint8_t
{
    nothing_sent, // the request certainly did not run
    sent,         // part of the request was written to the socket; it may run
    answered,     // a complete answer was received
};

/// @brief Result of an exchange.
struct exchange_result
{
    std::error_code error;
    progress reached = progress::nothing_sent;
    http::response answer;
    bool reusable = false;
};

/// @brief A client connection, closed by the destructor.
class connection : public boost::intrusive::list_base_hook<>
{
  public:
    connection() noexcept = default;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// @brief Connects to `address`, an IPv4 address and port as IP:PORT.
    /// @return bad_address, connect_refused or connect_timeout on failure
    [[nodiscard]] std::error_code connect(const std::string& address, time_point deadline);

    /// @brief Sends a complete request and reads the complete answer.
    /// @param max_answer limit of the answer's body, in bytes
    /// @note After an error, or if the result is not reusable, the connection must be closed, so that a late
    ///       answer is never matched to another request.
    [[nodiscard]] exchange_result
    exchange(std::string_view request, time_point deadline, std::size_t max_answer);

    /// @brief Whether an idle connection is still open and has no unread data.
    [[nodiscard]] bool is_idle_and_open() const noexcept;

    [[nodiscard]] time_point idle_since() const noexcept
    {
        return idle_since_;
    }
    void set_idle_since(time_point at) noexcept
    {
        idle_since_ = at;
    }

  private:
    [[nodiscard]] std::error_code
    write_all(std::string_view request, time_point deadline, progress& reached) const;

    int socket_ = -1;
    bool answer_pending_ = false; // a request was started and its complete answer not yet received
    time_point idle_since_{};
};

} // namespace plumspoke::endpoint

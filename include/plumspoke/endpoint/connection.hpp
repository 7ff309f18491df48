#pragma once

/// @file
/// @brief One TCP connection to an endpoint, one exchange at a time, each wait bounded by a deadline.
///
/// CivetWeb's client is not used here: it has no limit for a body that stalls (docs/DECISIONS.md).
/// The parser is Boost.Beast's.

#include "plumspoke/endpoint/error.hpp"
#include "plumspoke/http/message.hpp"
#include "plumspoke/time/time.hpp"

#include <boost/intrusive/list.hpp>
#include <string_view>

namespace plumspoke::endpoint
{

/// @brief How far a request got; decides what may be said of it.
enum class progress : std::uint8_t
{
    nothing_sent, // proof that it did not run
    sent,         // some of it left this machine; it may run
    answered,     // a whole answer came
};

/// @brief What became of an exchange.
struct exchange_result
{
    std::error_code error;
    progress reached = progress::nothing_sent;
    http::response answer;
    bool reusable = false;
};

/// @brief A connection; closed by its destructor.
class connection : public boost::intrusive::list_base_hook<>
{
  public:
    connection() noexcept = default;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// @brief Connects to IP:PORT.
    [[nodiscard]] std::error_code connect(const std::string& address, time_point deadline);

    /// @brief Sends a whole request and reads a whole answer.
    /// @note After an error, or where the result is not reusable, the connection must be closed: an answer
    ///       that comes late must never meet another request.
    [[nodiscard]] exchange_result
    exchange(std::string_view request, time_point deadline, std::size_t max_answer);

    /// @brief Whether an idle connection is still open and silent.
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
    bool answer_pending_ = false; // a request was sent whose whole answer has not come
    time_point idle_since_{};
};

} // namespace plumspoke::endpoint

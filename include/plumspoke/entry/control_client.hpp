#pragma once

/// @file
/// @brief gRPC client of an entry for control: reports, claims and outcomes. Locates the leader itself.

#include "plumspoke/control/slot_allocator.hpp"
#include "plumspoke/settings/process_settings.hpp"

#include <memory>
#include <optional>

namespace plumspoke::entry
{

/// @brief Reply of control to a report.
struct report_reply
{
    std::uint64_t version = 0;
    std::string configuration; // JSON; empty if unchanged
    duration lease{};
    std::vector<control::slot_share> granted;
};

/// @brief Claim of an idempotency key for an unsafe request.
struct claim_request
{
    std::string service;
    std::string key;
    std::string digest;
    std::string requester; // identifies this request
    duration deadline{};
};

/// @brief State of a claim, and the recorded answer if the request is done.
struct claim_reply
{
    control::claim_state state = control::claim_state::refused;
    std::uint64_t claim = 0;
    int status = 0;
    std::string content_type;
    std::string body;
};

/// @brief Outcome to record for a claim.
struct claim_outcome
{
    std::string service;
    std::string key;
    std::uint64_t claim = 0;
    control::claim_state state = control::claim_state::unknown;
    int status = 0;
    std::string content_type;
    std::string body;
};

/// @brief Sends requests to the leading control process. Thread-safe.
class control_client
{
  public:
    explicit control_client(std::vector<settings::control_peer> peers);
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;
    ~control_client();

    /// @brief Sends one report to the peer believed to lead; on failure, the next call uses another peer.
    /// @return nothing if no leader answered within `limit`
    [[nodiscard]] std::optional<report_reply> report(const control::entry_report& sent, duration limit);

    /// @brief Claims a key. Retries until the deadline, which is safe because `requester` identifies the
    /// request.
    /// @return nothing if no leader answered by the deadline
    [[nodiscard]] std::optional<claim_reply> claim(const claim_request& asked, time_point deadline);

    /// @brief Records an outcome; retries until the deadline.
    /// @return whether control recorded it
    bool record(const claim_outcome& ended, time_point deadline);

  private:
    class channels;
    std::unique_ptr<channels> channels_;
};

} // namespace plumspoke::entry

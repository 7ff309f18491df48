#pragma once

/// @file
/// @brief An entry's calls to control: reports, claims, outcomes. Finds the leader by itself.

#include "plumspoke/control/slot_allocator.hpp"
#include "plumspoke/settings/process_settings.hpp"

#include <memory>
#include <optional>

namespace plumspoke::entry
{

/// @brief What control answered to a report.
struct report_reply
{
    std::uint64_t version = 0;
    std::string configuration; // JSON, empty where nothing is new
    duration lease{};
    std::vector<control::slot_share> granted;
};

/// @brief An unsafe request under its key.
struct claim_request
{
    std::string service;
    std::string key;
    std::string digest;
    std::string asker; // names this very request
    duration deadline{};
};

/// @brief How its claim stands.
struct claim_reply
{
    control::claim_state state = control::claim_state::refused;
    std::uint64_t claim = 0;
    int status = 0;
    std::string content_type;
    std::string body;
};

/// @brief What is recorded under a claim.
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

/// @brief Speaks gRPC to whichever control process leads. Safe to use from several threads.
class control_client
{
  public:
    explicit control_client(std::vector<settings::control_peer> peers);
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;
    ~control_client();

    /// @brief One report; asks each peer once at the most.
    /// @return nothing where no leader answered in time
    [[nodiscard]] std::optional<report_reply> report(const control::entry_report& sent, duration limit);

    /// @brief Claims a key; repeats until the deadline, which is safe because the asker is named.
    [[nodiscard]] std::optional<claim_reply> claim(const claim_request& asked, time_point deadline);

    /// @brief Records an outcome; repeats until the deadline.
    bool record(const claim_outcome& ended, time_point deadline);

  private:
    class channels;
    std::unique_ptr<channels> channels_;
};

} // namespace plumspoke::entry

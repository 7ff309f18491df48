#pragma once

/// @file
/// @brief Workers' announcements and the registry of announcements that one control VM received.

#include "plumspoke/fleet/worker_life.hpp"
#include "plumspoke/jobs/model.hpp"
#include "plumspoke/time/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace plumspoke::fleet
{

/// @brief Whether a worker accepts tasks.
enum class worker_state : std::uint8_t
{
    ready = 0,
    draining = 1,
    gone = 2, // it announced its end
    /// A goodbye with its id arrived while it wasn't draining; may be from an earlier life.
    leave_unconfirmed = 3,
};

/// @brief Self-description of one life of a worker.
struct announcement
{
    worker_life life;
    std::string service; // name of its pool
    std::string address;
    std::string zone;
    std::vector<std::string> labels; // labels that tasks may require
    std::string rack;
    jobs::resources room; // total capacity, including what running tasks use
    worker_state state = worker_state::ready;
    std::int64_t time_left_ms = 0; // while draining: minimum time until it stops
    std::uint64_t sequence = 0;    // orders the announcements of one life
    std::string vm;                // the same for every life of the worker

    /// @brief Whether the worker announced that it stops.
    [[nodiscard]] bool is_leaving() const noexcept
    {
        return state == worker_state::draining || state == worker_state::gone;
    }

    /// @brief Whether two announcements are equal except for their sequence numbers.
    [[nodiscard]] bool has_same_content(const announcement& other) const noexcept;
};

/// @brief Announcements that a control VM received, and which of them were relayed to the leader.
class worker_registry
{
  public:
    /// @brief Stores an announcement.
    /// @return false if a newer announcement of the same life was already received
    bool receive(time_point now, const announcement& received);

    /// @brief Handles a goodbye, which names a worker id but no life. It ends the leaving lives of
    ///        the id or, if none is leaving, marks all of them as unconfirmed.
    /// @return the updated announcements of the affected lives
    std::vector<announcement> handle_goodbye(time_point now, const std::string& id);

    /// @brief All announcements that have not expired.
    [[nodiscard]] std::vector<announcement> all() const;

    /// @brief The last announcement of this life, or std::nullopt if none was received.
    [[nodiscard]] std::optional<announcement> find(const worker_life& life) const;

    /// @brief Announcements not yet relayed to the leader of this term; all of them after a leader change.
    [[nodiscard]] std::vector<announcement> changed_since_relay(std::uint64_t leader_term) const;

    /// @brief Lives that announced themselves again, without changes, since the last relay.
    [[nodiscard]] std::vector<worker_life> alive_since_relay(std::uint64_t leader_term) const;

    /// @brief Records that the leader of this term accepted the results of changed_since_relay and
    ///        alive_since_relay.
    void mark_relayed(std::uint64_t leader_term, const std::vector<announcement>& relayed);

    /// @brief Schedules full announcements again for lives that are unknown to the leader.
    void mark_unknown(const std::vector<worker_life>& lives);

    /// @brief Whether this life's newest announcement was relayed to the leader of this term.
    [[nodiscard]] bool is_relayed(std::uint64_t leader_term, const worker_life& life) const;

    /// @brief Removes workers whose last announcement is older than `silence`.
    void expire(time_point now, duration silence);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return records_.size();
    }

  private:
    struct record
    {
        announcement last;
        time_point received_at{};
        std::uint64_t relayed_term = 0; // 0: the newest content has not been relayed
        bool received_since_relay = true;
    };
    std::map<worker_life, record> records_;
};

} // namespace plumspoke::fleet

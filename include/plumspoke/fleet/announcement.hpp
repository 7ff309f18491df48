#pragma once

/// @file
/// @brief What a worker says of itself, and what one control VM has heard.

#include "plumspoke/fleet/worker_life.hpp"
#include "plumspoke/jobs/model.hpp"
#include "plumspoke/time/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace plumspoke::fleet
{

/// @brief Whether a worker takes tasks.
enum class worker_state : std::uint8_t
{
    ready = 0,
    draining = 1,
    gone = 2,     // it has said goodbye
    doubtful = 3, // a goodbye came under its id, and it had not said that it leaves: maybe an earlier life's
};

/// @brief What one life of a worker says of itself.
struct announcement
{
    worker_life life;
    std::string service; // the pool that it belongs to
    std::string address;
    std::string zone;
    std::vector<std::string> labels; // what tasks may require
    std::string rack;
    jobs::resources room; // all that it has, whatever runs there
    worker_state state = worker_state::ready;
    std::int64_t time_left_ms = 0; // while draining: at least so long
    std::uint64_t sequence = 0;    // tells a late announcement of this life from a newer one
    std::string vm;                // stays over lives

    /// @brief Whether it has said that its end is planned.
    [[nodiscard]] bool is_leaving() const noexcept
    {
        return state == worker_state::draining || state == worker_state::gone;
    }

    /// @brief Whether two announcements say the same, but for their sequence.
    [[nodiscard]] bool says_the_same(const announcement& other) const noexcept;
};

/// @brief What a control VM has heard from workers, and what of it the leader has.
class registry
{
  public:
    /// @brief Takes an announcement in.
    /// @return false where a newer one of the same life was heard before
    bool receive(time_point now, const announcement& heard);

    /// @brief A goodbye has come under this id, of whichever life: it is that of a life that was leaving.
    /// @return what is to be told of the lives that it may concern
    std::vector<announcement> say_goodbye(time_point now, const std::string& id);

    /// @brief All that was heard and has not expired.
    [[nodiscard]] std::vector<announcement> all() const;

    /// @brief What this life said last; nothing where it was not heard.
    [[nodiscard]] std::optional<announcement> find(const worker_life& life) const;

    /// @brief What the leader of this term doesn't have yet; all of it after a change of leader.
    [[nodiscard]] std::vector<announcement> changed_since_relay(std::uint64_t leader_term) const;

    /// @brief Workers heard since the last relay whose announcement the leader has.
    [[nodiscard]] std::vector<worker_life> alive_since_relay(std::uint64_t leader_term) const;

    /// @brief The leader of this term has taken what the last two calls returned.
    void note_relayed(std::uint64_t leader_term, const std::vector<announcement>& relayed);

    /// @brief The leader doesn't know these: they are sent whole again.
    void note_unknown(const std::vector<worker_life>& lives);

    /// @brief Whether the leader of this term has this life's newest announcement.
    [[nodiscard]] bool is_relayed(std::uint64_t leader_term, const worker_life& life) const;

    /// @brief Drops workers that have been silent for long.
    void expire(time_point now, duration silence);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return heard_.size();
    }

  private:
    struct record
    {
        announcement last;
        time_point heard_at{};
        std::uint64_t relayed_term = 0; // 0: the newest content has not been relayed
        bool heard_since_relay = true;
    };
    std::map<worker_life, record> heard_;
};

} // namespace plumspoke::fleet

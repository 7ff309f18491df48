#pragma once

/// @file
/// @brief Identifies one start of a worker: a restarted worker may keep its id.

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace plumspoke::fleet
{

/// @brief One life of a worker, from a start to its end. It keeps no state of earlier lives.
/// @note The order of `born_ms` doesn't tell which of two lives is later, since clocks may be stepped.
struct worker_life
{
    std::string id;           // worker id; a later life may reuse it
    std::int64_t born_ms = 0; // ms since 1970 on the worker's clock at its start; 0: unknown

    bool operator==(const worker_life&) const = default;
    bool operator<(const worker_life& other) const noexcept
    {
        return std::tie(id, born_ms) < std::tie(other.id, other.born_ms);
    }
};

/// @brief Hash function for unordered containers.
struct worker_life_hash
{
    [[nodiscard]] std::size_t operator()(const worker_life& of) const noexcept
    {
        return std::hash<std::string>()(of.id) ^ std::hash<std::int64_t>()(of.born_ms);
    }
};

} // namespace plumspoke::fleet

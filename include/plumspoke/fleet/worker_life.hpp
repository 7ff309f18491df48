#pragma once

/// @file
/// @brief Which start of a worker is meant: a worker that starts again may keep its id.

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace plumspoke::fleet
{

/// @brief One life of a worker, from a start to its end: it holds and knows nothing of an earlier one.
/// @note Of two lives neither the greater nor the smaller `born_ms` is the later one, since clocks step.
struct worker_life
{
    std::string id;           // of the worker; a later life may have the same
    std::int64_t born_ms = 0; // since 1970, by the worker's clock at its start; 0: not told

    bool operator==(const worker_life&) const = default;
    bool operator<(const worker_life& other) const noexcept
    {
        return std::tie(id, born_ms) < std::tie(other.id, other.born_ms);
    }
};

/// @brief For look-ups by life.
struct worker_life_hash
{
    [[nodiscard]] std::size_t operator()(const worker_life& of) const noexcept
    {
        return std::hash<std::string>()(of.id) ^ std::hash<std::int64_t>()(of.born_ms);
    }
};

} // namespace plumspoke::fleet

#pragma once

/// @file
/// @brief Learns from late reports how much a filler of one image slows a serving task of another.
///
/// Model: log(tail / reference) = sum over the fillers beside it of effect(serving image, filler image)
/// x pace. The reference is what siblings of the same job have at the same time: they share its load,
/// which alone moves tails by a factor of three within seconds. Fitted by normalized least mean squares
/// (Widrow and Hoff, 1960), faster upwards than downwards: a pair that harms does so at high load only,
/// and it is the harm that counts.

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace plumspoke::dispatch
{

/// @brief A filler beside a serving task while its tail was measured.
struct filler_beside
{
    std::string image;
    double pace = 1; // 0 to 1
};

/// @brief Effects between images, with how much is known of each.
class interference
{
  public:
    /// @brief Takes one report in.
    /// @param serving image of the serving task
    /// @param inflation logarithm of its tail over that of its siblings
    /// @param beside the fillers that were there
    void observe(const std::string& serving, double inflation, std::span<const filler_beside> beside);

    /// @brief By how much the logarithm of a serving task's tail grows beside one filler at full pace.
    [[nodiscard]] double effect(const std::string& serving, const std::string& filler) const;

    /// @brief How many reports the estimate rests on, weighed by pace.
    [[nodiscard]] double evidence(const std::string& serving, const std::string& filler) const;

  private:
    struct estimate
    {
        double effect = 0;
        double weight = 0;
    };
    using estimates = std::map<std::string, estimate>; // by the filler's image
    [[nodiscard]] const estimate* find(const std::string& serving, const std::string& filler) const;

    std::map<std::string, estimates> images_; // by the serving task's image
};

} // namespace plumspoke::dispatch

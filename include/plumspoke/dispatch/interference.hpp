#pragma once

/// @file
/// @brief Learns from late reports how much a filler of one image slows a serving task of another.
///
/// A tail grows like 1 / (1 - load), so it is its inverse that pressures add up in. With slack = target /
/// tail, the model is: slack of the siblings - slack = sum over the fillers beside it of effect(serving
/// image, filler image) x pace. The siblings are the tasks of the same job at the same time: they share
/// its load, which alone moves tails by a factor of three within seconds. Fitted by normalized least
/// mean squares (Widrow and Hoff, 1960). On 8,500 reports harmless pairs came out at 0 to 0.2, harmful
/// ones at 0.5 to 1.9 for one filler; a serving task alone has a slack of 1.6 to 3.9.

#include "plumspoke/jobs/model.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace plumspoke::dispatch
{

/// @brief The number of an image among those that one leader has met; numbers begin with 1.
using image_number = std::uint32_t;

/// @brief A filler beside a serving task while its tail was measured.
struct filler_beside
{
    image_number image = 0;
    double pace = 1; // 0 to 1
};

/// @brief Effects between images, with how much is known of each.
class interference
{
  public:
    interference() = default;
    interference(const interference&) = delete;
    interference& operator=(const interference&) = delete;
    interference(interference&&) = default;
    interference& operator=(interference&&) = default;
    ~interference() = default;

    /// @brief The number of an image, a new one where it was not met before.
    [[nodiscard]] image_number number_of(const std::string& image);

    /// @brief Takes one report in.
    /// @param serving image of the serving task
    /// @param lost_slack how much less slack it has than its siblings
    /// @param saturated whether its tail is so long that more pressure would hardly show
    /// @param beside the fillers that were there
    void
    observe(image_number serving, double lost_slack, bool saturated, std::span<const filler_beside> beside);

    /// @brief How much slack a serving task loses beside one filler at full pace.
    [[nodiscard]] double effect(const std::string& serving, const std::string& filler) const;

    /// @brief How many reports the estimate rests on, weighed by pace.
    [[nodiscard]] double evidence(const std::string& serving, const std::string& filler) const;

    /// @brief As above for images by number: a placement asks for each run of each worker.
    /// @complexity Constant.
    [[nodiscard]] double effect(image_number serving, image_number filler) const noexcept;
    [[nodiscard]] double evidence(image_number serving, image_number filler) const noexcept;

    /// @brief Takes over what an earlier leader learned; a pair that is known already stays.
    void take_over(const std::map<jobs::image_pair, jobs::learned_effect>& recorded);

    /// @brief The pairs of which more is known than was recorded last; they count as recorded then.
    [[nodiscard]] std::vector<jobs::learned_effect> take_changed();

  private:
    struct estimate
    {
        double effect = 0;
        double weight = 0;
        double recorded_effect = 0;
        double recorded_weight = 0;

        [[nodiscard]] bool is_news() const noexcept;
    };
    using estimates = std::map<std::string, estimate>; // by the filler's image
    [[nodiscard]] const estimate* find(const std::string& serving, const std::string& filler) const;
    [[nodiscard]] const estimate* find(image_number serving, image_number filler) const noexcept;
    [[nodiscard]] estimate& at(const std::string& serving, const std::string& filler);
    [[nodiscard]] estimate& at(image_number serving, image_number filler);
    [[nodiscard]] static double effect_of(const estimate* known) noexcept;

    std::map<std::string, estimates> images_; // by the serving task's image
    std::map<std::string, image_number> numbers_;
    std::vector<const std::string*> names_{nullptr}; // by number: keys of numbers_
    std::vector<std::vector<estimate*>> by_number_;  // serving, filler: into images_, or null
};

} // namespace plumspoke::dispatch

#pragma once

/// @file
/// @brief Learns from latency reports how much a filler of one image slows a serving task of another.
///
/// Tail latency grows like 1 / (1 - load), so effects add up in its inverse. With slack = target / tail, the
/// model is: slack of the siblings - slack = sum over the colocated fillers of effect(serving image, filler
/// image) x pace. Siblings are the tasks of the same job at the same time. They share its load, which alone
/// changes tails by a factor of three within seconds. The effects are fitted by normalized least mean squares
/// (Widrow and Hoff, 1960). On 8,500 reports the effect of one filler was 0 to 0.2 for harmless pairs and 0.5
/// to 1.9 for harmful ones; a serving task alone has a slack of 1.6 to 3.9.

#include "plumspoke/jobs/model.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace plumspoke::dispatch
{

/// @brief Number that one leader assigns to an image; starts at 1.
using image_number = std::uint32_t;

/// @brief A filler beside a serving task while its tail was measured.
struct colocated_filler
{
    image_number image = 0;
    double pace = 1; // 0 to 1
};

/// @brief Estimated effects of filler images on serving images, with the evidence for each.
class interference
{
  public:
    interference() = default;
    interference(const interference&) = delete;
    interference& operator=(const interference&) = delete;
    interference(interference&&) = default;
    interference& operator=(interference&&) = default;
    ~interference() = default;

    /// @brief Returns the number of an image, and assigns one to a new image.
    [[nodiscard]] image_number number_of(const std::string& image);

    /// @brief Updates the estimates from one report.
    /// @param serving image of the serving task
    /// @param slack_loss how much less slack it has than its siblings
    /// @param saturated whether its tail is so long that additional load would hardly show
    /// @param colocated the colocated fillers while the report was measured
    void observe(image_number serving,
                 double slack_loss,
                 bool saturated,
                 std::span<const colocated_filler> colocated);

    /// @brief How much slack a serving task loses beside one filler at full pace.
    [[nodiscard]] double effect(const std::string& serving, const std::string& filler) const;

    /// @brief The number of reports behind the estimate, weighted by pace.
    [[nodiscard]] double evidence(const std::string& serving, const std::string& filler) const;

    /// @brief The same for images by number: placements look up effects for every run on every worker.
    /// @complexity Constant.
    [[nodiscard]] double effect(image_number serving, image_number filler) const noexcept;
    [[nodiscard]] double evidence(image_number serving, image_number filler) const noexcept;

    /// @brief Adopts the recorded estimates of earlier leaders. Pairs with evidence of their own keep theirs.
    void adopt_recorded(const std::map<jobs::image_pair, jobs::learned_effect>& recorded);

    /// @brief Returns the estimates that have changed enough since their last record, and marks them as
    ///        recorded.
    [[nodiscard]] std::vector<jobs::learned_effect> take_changed();

  private:
    struct estimate
    {
        double effect = 0;
        double weight = 0;
        double recorded_effect = 0;
        double recorded_weight = 0;

        [[nodiscard]] bool needs_record() const noexcept;
    };
    using estimates = std::map<std::string, estimate>; // by the image of the filler
    [[nodiscard]] const estimate* find(const std::string& serving, const std::string& filler) const;
    [[nodiscard]] const estimate* find(image_number serving, image_number filler) const noexcept;
    [[nodiscard]] estimate& at(const std::string& serving, const std::string& filler);
    [[nodiscard]] estimate& at(image_number serving, image_number filler);
    [[nodiscard]] static double effect_of(const estimate* pair) noexcept;

    std::map<std::string, estimates> images_; // by the image of the serving task
    std::map<std::string, image_number> numbers_;
    std::vector<const std::string*> names_{nullptr}; // keys of numbers_, by number
    std::vector<std::vector<estimate*>>
        by_number_; // by the numbers of serving and filler image: entries of images_, or null
};

} // namespace plumspoke::dispatch

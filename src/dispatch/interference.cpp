#include "plumspoke/dispatch/interference.hpp"

#include <algorithm>
#include <cmath>

namespace plumspoke::dispatch
{

namespace
{

// Step sizes of the fit: half of the error at first, decreasing to a tenth over the first ten reports.
constexpr double initial_step = 0.5;
constexpr double min_step = 0.1;
constexpr double reports_until_min_step = 10;
// Estimates decrease more slowly than they increase, since a wrongly placed filler costs four times as much
// as one that is wrongly kept off a worker.
constexpr double decrease_factor = 0.5;
// An unmeasured pair counts as mildly harmful, so it is tried where there is slack.
constexpr double prior_effect = 0.4;
constexpr double prior_evidence = 0.7; // reports that weigh as much as the prior
constexpr double max_effect = 4;       // the largest slack of a serving task
// A pair is recorded again once its effect has changed by this much, a tenth of a mildly harmful one, or its
// evidence has grown by this factor.
constexpr double recorded_effect_change = 0.05;
constexpr double recorded_evidence_factor = 2;
constexpr double milli = 1000;
constexpr double min_power = 0.01; // sum of squared paces below which a report says nothing about fillers

} // namespace

image_number interference::number_of(const std::string& image)
{
    const auto [found, is_new] = numbers_.try_emplace(image, static_cast<image_number>(names_.size()));
    if (is_new)
    {
        names_.push_back(&found->first);
    }
    return found->second;
}

interference::estimate& interference::at(const std::string& serving, const std::string& filler)
{
    const auto [found, is_new] = images_[serving].try_emplace(filler);
    if (is_new)
    {
        const image_number row = number_of(serving);
        const image_number column = number_of(filler);
        by_number_.resize(std::max<std::size_t>(by_number_.size(), row + 1));
        by_number_[row].resize(std::max<std::size_t>(by_number_[row].size(), column + 1));
        by_number_[row][column] = &found->second;
    }
    return found->second;
}

interference::estimate& interference::at(image_number serving, image_number filler)
{
    const bool is_known = serving < by_number_.size() && filler < by_number_[serving].size();
    estimate* entry = is_known ? by_number_[serving][filler] : nullptr;
    return entry == nullptr ? at(*names_.at(serving), *names_.at(filler)) : *entry;
}

void interference::observe(image_number serving,
                           double slack_loss,
                           bool saturated,
                           std::span<const colocated_filler> colocated)
{
    double predicted = 0;
    double power = 0;
    for (const colocated_filler& filler : colocated)
    {
        predicted += at(serving, filler.image).effect * filler.pace;
        power += filler.pace * filler.pace;
    }
    if (power < min_power)
    {
        return;
    }
    const double error = slack_loss - predicted;
    if (saturated && error < 0)
    {
        return; // a saturated report is only a lower bound of the lost slack
    }
    for (const colocated_filler& filler : colocated)
    {
        estimate& pair = at(serving, filler.image);
        const double confidence = std::min(pair.weight / reports_until_min_step, 1.0);
        const double step = initial_step + (min_step - initial_step) * confidence;
        const double direction = error > 0 ? 1 : decrease_factor;
        pair.effect =
            std::clamp(pair.effect + direction * step * error * filler.pace / power, 0.0, max_effect);
        pair.weight += filler.pace / static_cast<double>(colocated.size());
    }
}

const interference::estimate* interference::find(const std::string& serving, const std::string& filler) const
{
    const auto image = images_.find(serving);
    if (image == images_.end())
    {
        return nullptr;
    }
    const auto pair = image->second.find(filler);
    return pair == image->second.end() ? nullptr : &pair->second;
}

const interference::estimate* interference::find(image_number serving, image_number filler) const noexcept
{
    const bool is_known = serving < by_number_.size() && filler < by_number_[serving].size();
    return is_known ? by_number_[serving][filler] : nullptr;
}

double interference::effect(const std::string& serving, const std::string& filler) const
{
    return effect_of(find(serving, filler));
}

double interference::effect(image_number serving, image_number filler) const noexcept
{
    return effect_of(find(serving, filler));
}

double interference::effect_of(const estimate* pair) noexcept
{
    if (pair == nullptr)
    {
        return prior_effect;
    }
    const double evidence_share = pair->weight / (pair->weight + prior_evidence);
    return std::max(pair->effect, evidence_share * pair->effect + (1 - evidence_share) * prior_effect);
}

bool interference::estimate::needs_record() const noexcept
{
    return weight > recorded_evidence_factor * recorded_weight ||
           std::abs(effect - recorded_effect) > recorded_effect_change;
}

void interference::adopt_recorded(const std::map<jobs::image_pair, jobs::learned_effect>& recorded)
{
    for (const auto& [images, recorded_pair] : recorded)
    {
        estimate adopted;
        adopted.effect = static_cast<double>(recorded_pair.effect_milli) / milli;
        adopted.weight = static_cast<double>(recorded_pair.evidence_milli) / milli;
        adopted.recorded_effect = adopted.effect;
        adopted.recorded_weight = adopted.weight;
        estimate& present = at(images.serving, images.filler);
        if (present.weight == 0)
        {
            present = adopted;
        }
    }
}

std::vector<jobs::learned_effect> interference::take_changed()
{
    std::vector<jobs::learned_effect> changed;
    for (auto& [serving, pairs] : images_)
    {
        for (auto& [filler, pair] : pairs)
        {
            if (!pair.needs_record())
            {
                continue;
            }
            pair.recorded_effect = pair.effect;
            pair.recorded_weight = pair.weight;
            changed.push_back({{serving, filler},
                               static_cast<std::int64_t>(pair.effect * milli),
                               static_cast<std::int64_t>(pair.weight * milli)});
        }
    }
    return changed;
}

double interference::evidence(const std::string& serving, const std::string& filler) const
{
    const estimate* pair = find(serving, filler);
    return pair == nullptr ? 0 : pair->weight;
}

double interference::evidence(image_number serving, image_number filler) const noexcept
{
    const estimate* pair = find(serving, filler);
    return pair == nullptr ? 0 : pair->weight;
}

} // namespace plumspoke::dispatch

#include "plumspoke/dispatch/interference.hpp"

#include <algorithm>
#include <cmath>

namespace plumspoke::dispatch
{

namespace
{

// Steps of the fit: half of an error at first, a tenth once ten reports are known.
constexpr double first_step = 0.5;
constexpr double least_step = 0.1;
constexpr double reports_until_least = 10;
// Downwards so much slower: what is put on a worker wrongly costs four times what is kept from it.
constexpr double downward_share = 0.5;
// A pair that was never seen counts as mildly harmful: it is tried where there is slack.
constexpr double unknown_effect = 0.4;
constexpr double unknown_weight = 0.7; // reports that it takes to outweigh that
constexpr double highest_effect = 4;   // all the slack that a serving task ever has
// Worth a record: a tenth of what a filler takes where it harms little, or as much evidence again.
constexpr double news_effect = 0.05;
constexpr double news_weight_factor = 2;
constexpr double milli = 1000;
constexpr double least_power = 0.01; // of paces: below it nothing that counts was there

} // namespace

void interference::observe(const std::string& serving,
                           double lost_slack,
                           bool saturated,
                           std::span<const filler_beside> beside)
{
    estimates& of_image = images_[serving];
    double predicted = 0;
    double power = 0;
    for (const filler_beside& one : beside)
    {
        predicted += of_image[one.image].effect * one.pace;
        power += one.pace * one.pace;
    }
    if (power < least_power)
    {
        return;
    }
    const double error = lost_slack - predicted;
    if (saturated && error < 0)
    {
        return; // the pressure is at least what was seen
    }
    for (const filler_beside& one : beside)
    {
        estimate& of = of_image[one.image];
        const double known = std::min(of.weight / reports_until_least, 1.0);
        const double step = first_step + (least_step - first_step) * known;
        const double direction = error > 0 ? 1 : downward_share;
        of.effect = std::clamp(of.effect + direction * step * error * one.pace / power, 0.0, highest_effect);
        of.weight += one.pace / static_cast<double>(beside.size());
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

double interference::effect(const std::string& serving, const std::string& filler) const
{
    const estimate* known = find(serving, filler);
    if (known == nullptr)
    {
        return unknown_effect;
    }
    const double share = known->weight / (known->weight + unknown_weight);
    return std::max(known->effect, share * known->effect + (1 - share) * unknown_effect);
}

bool interference::estimate::is_news() const noexcept
{
    return weight > news_weight_factor * recorded_weight || std::abs(effect - recorded_effect) > news_effect;
}

void interference::take_over(const std::map<jobs::image_pair, jobs::learned_effect>& recorded)
{
    for (const auto& [images, one] : recorded)
    {
        estimate of;
        of.effect = static_cast<double>(one.effect_milli) / milli;
        of.weight = static_cast<double>(one.evidence_milli) / milli;
        of.recorded_effect = of.effect;
        of.recorded_weight = of.weight;
        images_[images.serving].try_emplace(images.filler, of);
    }
}

std::vector<jobs::learned_effect> interference::take_changed()
{
    std::vector<jobs::learned_effect> changed;
    for (auto& [serving, known] : images_)
    {
        for (auto& [filler, of] : known)
        {
            if (!of.is_news())
            {
                continue;
            }
            of.recorded_effect = of.effect;
            of.recorded_weight = of.weight;
            changed.push_back({{serving, filler},
                               static_cast<std::int64_t>(of.effect * milli),
                               static_cast<std::int64_t>(of.weight * milli)});
        }
    }
    return changed;
}

double interference::evidence(const std::string& serving, const std::string& filler) const
{
    const estimate* known = find(serving, filler);
    return known == nullptr ? 0 : known->weight;
}

} // namespace plumspoke::dispatch

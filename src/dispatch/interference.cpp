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
    const bool met = serving < by_number_.size() && filler < by_number_[serving].size();
    estimate* known = met ? by_number_[serving][filler] : nullptr;
    return known == nullptr ? at(*names_.at(serving), *names_.at(filler)) : *known;
}

void interference::observe(image_number serving,
                           double lost_slack,
                           bool saturated,
                           std::span<const filler_beside> beside)
{
    double predicted = 0;
    double power = 0;
    for (const filler_beside& one : beside)
    {
        predicted += at(serving, one.image).effect * one.pace;
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
        estimate& of = at(serving, one.image);
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

const interference::estimate* interference::find(image_number serving, image_number filler) const noexcept
{
    const bool met = serving < by_number_.size() && filler < by_number_[serving].size();
    return met ? by_number_[serving][filler] : nullptr;
}

double interference::effect(const std::string& serving, const std::string& filler) const
{
    return effect_of(find(serving, filler));
}

double interference::effect(image_number serving, image_number filler) const noexcept
{
    return effect_of(find(serving, filler));
}

double interference::effect_of(const estimate* known) noexcept
{
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
        estimate& present = at(images.serving, images.filler);
        if (present.weight == 0)
        {
            present = of;
        }
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

double interference::evidence(image_number serving, image_number filler) const noexcept
{
    const estimate* known = find(serving, filler);
    return known == nullptr ? 0 : known->weight;
}

} // namespace plumspoke::dispatch

#include "plumspoke/settings/policy_switches.hpp"

#include <algorithm>

namespace plumspoke::settings
{

std::optional<mechanism> find_mechanism(std::string_view name) noexcept
{
    const auto found = std::find(mechanism_names.begin(), mechanism_names.end(), name);
    if (found == mechanism_names.end())
    {
        return std::nullopt;
    }
    return static_cast<mechanism>(found - mechanism_names.begin());
}

} // namespace plumspoke::settings

#include "plumspoke/settings/checker.hpp"

#include <algorithm>

namespace plumspoke::settings
{

namespace
{

const nlohmann::json null_value = nullptr;
const nlohmann::json empty_object = nlohmann::json::object();
const nlohmann::json empty_array = nlohmann::json::array();

std::string range_text(range allowed)
{
    if (allowed.highest == std::numeric_limits<std::int64_t>::max())
    {
        return "must be at least " + std::to_string(allowed.lowest);
    }
    return "must be from " + std::to_string(allowed.lowest) + " to " + std::to_string(allowed.highest);
}

} // namespace

object_reader::object_reader(const nlohmann::json& value, std::string path, std::vector<fault>& faults)
    : value_(value.is_object() ? value : empty_object), path_(std::move(path)), faults_(faults)
{
    if (!value.is_object())
    {
        faults_.push_back(
            {path_.empty() ? "/" : path_, std::string("must be an object, not ") + value.type_name()});
    }
}

std::string object_reader::path_of(std::string_view key) const
{
    return path_ + "/" + std::string(key);
}

void object_reader::add_fault(std::string_view key, std::string message)
{
    faults_.push_back({path_of(key), std::move(message)});
}

const nlohmann::json* object_reader::find(const char* key, bool required)
{
    requested_keys_.insert(key);
    const auto found = value_.find(key);
    if (found != value_.end())
    {
        return &*found;
    }
    if (required)
    {
        add_fault(key, "is missing");
    }
    return nullptr;
}

std::string object_reader::required_string(const char* key)
{
    const nlohmann::json* found = find(key, true);
    if (found == nullptr)
    {
        return {};
    }
    if (!found->is_string() || found->get_ref<const std::string&>().empty())
    {
        add_fault(key, "must be a text that is not empty");
        return {};
    }
    return found->get<std::string>();
}

std::string object_reader::optional_string(const char* key, std::string_view default_value)
{
    const nlohmann::json* found = find(key, false);
    if (found == nullptr)
    {
        return std::string(default_value);
    }
    if (!found->is_string())
    {
        add_fault(key, "must be a text");
        return std::string(default_value);
    }
    return found->get<std::string>();
}

std::int64_t object_reader::required_integer(const char* key, range allowed)
{
    if (find(key, true) == nullptr)
    {
        return allowed.lowest;
    }
    return optional_integer(key, allowed.lowest, allowed);
}

std::int64_t object_reader::optional_integer(const char* key, std::int64_t default_value, range allowed)
{
    const nlohmann::json* found = find(key, false);
    if (found == nullptr)
    {
        return default_value;
    }
    if (!found->is_number_integer())
    {
        add_fault(key, "must be a whole number");
        return default_value;
    }
    const bool too_large =
        found->is_number_unsigned() &&
        found->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const std::int64_t number =
        too_large ? std::numeric_limits<std::int64_t>::max() : found->get<std::int64_t>();
    if (too_large || number < allowed.lowest || number > allowed.highest)
    {
        add_fault(key, range_text(allowed));
        return default_value;
    }
    return number;
}

double object_reader::optional_number(const char* key, double default_value, double lowest, double highest)
{
    const nlohmann::json* found = find(key, false);
    if (found == nullptr)
    {
        return default_value;
    }
    if (!found->is_number())
    {
        add_fault(key, "must be a number");
        return default_value;
    }
    const double number = found->get<double>();
    if (!(number >= lowest && number <= highest))
    {
        add_fault(key,
                  "must be from " + nlohmann::json(lowest).dump() + " to " + nlohmann::json(highest).dump());
        return default_value;
    }
    return number;
}

bool object_reader::optional_bool(const char* key, bool default_value)
{
    const nlohmann::json* found = find(key, false);
    if (found == nullptr)
    {
        return default_value;
    }
    if (!found->is_boolean())
    {
        add_fault(key, "must be true or false");
        return default_value;
    }
    return found->get<bool>();
}

std::size_t object_reader::optional_choice(const char* key,
                                           std::vector<std::string_view> choices,
                                           std::size_t default_value)
{
    const std::string text = optional_string(key, choices.at(default_value));
    const auto found = std::find(choices.begin(), choices.end(), text);
    if (found != choices.end())
    {
        return static_cast<std::size_t>(found - choices.begin());
    }
    std::string list;
    for (const std::string_view choice : choices)
    {
        list += list.empty() ? "" : ", ";
        list += choice;
    }
    add_fault(key, "must be one of " + list);
    return default_value;
}

const nlohmann::json& object_reader::optional_array(const char* key)
{
    const nlohmann::json* found = find(key, false);
    if (found == nullptr)
    {
        return empty_array;
    }
    if (!found->is_array())
    {
        add_fault(key, "must be a list");
        return empty_array;
    }
    return *found;
}

const nlohmann::json& object_reader::optional_value(const char* key)
{
    const nlohmann::json* found = find(key, false);
    return found == nullptr ? null_value : *found;
}

void object_reader::finish()
{
    for (const auto& [key, ignored] : value_.items())
    {
        if (!requested_keys_.contains(key))
        {
            add_fault(key, "is not a known key");
        }
    }
}

nlohmann::json parse_text(std::string_view text, std::vector<fault>& faults)
{
    try
    {
        return nlohmann::json::parse(text);
    }
    catch (const nlohmann::json::parse_error& error)
    {
        faults.push_back({"/", "is not JSON: syntax error at byte " + std::to_string(error.byte)});
        return nullptr;
    }
}

} // namespace plumspoke::settings

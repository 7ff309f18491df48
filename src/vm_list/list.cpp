#include "plumspoke/vm_list/list.hpp"

#include <array>

namespace plumspoke::vm_list
{

namespace
{

constexpr std::array<error::listed_error, 4> errors = {{
    {800, "unreachable", "the platform's list can't be had; the last good one stays in force"},
    {801, "garbled", "the platform's list can't be read; the last good one stays in force"},
    {802, "empty", "the platform's list is empty; the last good one stays in force"},
    {803, "older", "the platform's list is older than one seen before; the newer one stays in force"},
}};

} // namespace

const error::listed_category& category() noexcept
{
    static const error::listed_category instance("platform", errors);
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

vm_list parse_list(std::string_view text, std::error_code& error)
{
    std::vector<settings::fault> faults;
    const nlohmann::json document = settings::parse_text(text, faults);
    vm_list result;
    if (!faults.empty())
    {
        error = errc::garbled;
        return result;
    }
    settings::object_reader reader(document, "", faults);
    result.version = static_cast<std::uint64_t>(reader.required_integer("version", {0}));
    const nlohmann::json& vms = reader.optional_array("vms");
    for (std::size_t i = 0; i < vms.size(); ++i)
    {
        settings::object_reader vm(vms[i], "/vms/" + std::to_string(i), faults);
        const std::string name = vm.required_string("name");
        const bool leaving = vm.optional_choice("state", {"live", "leaving"}, 0) == 1;
        (leaving ? result.leaving : result.live).insert(name);
    }
    if (!faults.empty())
    {
        error = errc::garbled;
    }
    else if (vms.empty())
    {
        error = errc::empty;
    }
    return result;
}

std::error_code list_cache::update(std::string_view text)
{
    std::error_code error;
    vm_list parsed = parse_list(text, error);
    if (!error && parsed.version < current_.version)
    {
        error = errc::older;
    }
    if (!error)
    {
        current_ = std::move(parsed);
    }
    last_error_ = error;
    return error;
}

std::error_code list_cache::mark_unreachable() noexcept
{
    last_error_ = errc::unreachable;
    return last_error_;
}

} // namespace plumspoke::vm_list

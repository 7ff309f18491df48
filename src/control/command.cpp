#include "plumspoke/control/command.hpp"

#include "plumspoke/control/error.hpp"

namespace plumspoke::control
{

namespace
{

std::string to_bytes(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

/// @brief Decodes the body as the command whose `kind` matches; nothing if none does.
template <std::size_t Position = 0>
std::optional<command> decode_kind(std::string_view kind, const nlohmann::json& body)
{
    if constexpr (Position == std::variant_size_v<command>)
    {
        return std::nullopt;
    }
    else
    {
        using candidate = std::variant_alternative_t<Position, command>;
        if (kind == candidate::kind)
        {
            return command(body.get<candidate>());
        }
        return decode_kind<Position + 1>(kind, body);
    }
}

} // namespace

std::string encode(const command& value)
{
    return std::visit(
        [](const auto& body)
        {
            nlohmann::json out = nlohmann::json::array();
            out.push_back(std::string(std::decay_t<decltype(body)>::kind));
            out.push_back(body);
            return to_bytes(out);
        },
        value);
}

std::optional<command> decode(std::string_view bytes)
{
    const nlohmann::json value = nlohmann::json::from_cbor(bytes, true, false);
    if (!value.is_array() || value.size() != 2 || !value[0].is_string())
    {
        return std::nullopt;
    }
    try
    {
        return decode_kind(value[0].get_ref<const std::string&>(), value[1]);
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

std::string encode_answer(const command_answer& value)
{
    return to_bytes(value);
}

command_answer decode_answer(std::string_view bytes)
{
    const nlohmann::json value = nlohmann::json::from_cbor(bytes, true, false);
    if (value.is_discarded())
    {
        command_answer unreadable;
        unreadable.error = static_cast<std::int64_t>(errc::unreadable_command);
        unreadable.message = make_error_code(errc::unreadable_command).message();
        return unreadable;
    }
    return value.get<command_answer>();
}

} // namespace plumspoke::control

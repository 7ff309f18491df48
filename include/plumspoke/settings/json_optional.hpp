#pragma once

/// @file
/// @brief JSON serialization of std::optional as its value or null.

#include <nlohmann/json.hpp>
#include <optional>

template <typename Value> struct nlohmann::adl_serializer<std::optional<Value>>
{
    static void to_json(nlohmann::json& out, const std::optional<Value>& value)
    {
        if (value.has_value())
        {
            out = *value;
        }
        else
        {
            out = nullptr;
        }
    }

    static void from_json(const nlohmann::json& in, std::optional<Value>& value)
    {
        if (in.is_null())
        {
            value.reset();
        }
        else
        {
            value = in.get<Value>();
        }
    }
};

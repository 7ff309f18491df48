#pragma once

/// @file
/// @brief Strict validation of JSON objects: each fault has a message and a path in the document.

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plumspoke::settings
{

/// @brief A validation fault: its path in the document and a message.
struct fault
{
    std::string path;
    std::string message;

    bool operator==(const fault&) const = default;
};

/// @brief Inclusive range of valid integers.
struct range
{
    std::int64_t lowest = 0;
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
};

/// @brief Reads one object of a document and records which keys were requested.
/// @note Call finish last: every key that wasn't requested is reported as unknown.
class object_reader
{
  public:
    /// @param value the object; any other type is reported as a fault
    /// @param path path in the document, such as `/services/0`
    /// @param faults receives one entry for each fault
    object_reader(const nlohmann::json& value, std::string path, std::vector<fault>& faults);

    [[nodiscard]] std::string required_string(const char* key);
    [[nodiscard]] std::string optional_string(const char* key, std::string_view default_value);
    [[nodiscard]] std::int64_t required_integer(const char* key, range allowed);
    [[nodiscard]] std::int64_t optional_integer(const char* key, std::int64_t default_value, range allowed);
    [[nodiscard]] double
    optional_number(const char* key, double default_value, double lowest, double highest);
    [[nodiscard]] bool optional_bool(const char* key, bool default_value);

    /// @brief Reads a string that must be one of `choices`.
    /// @return its index, or `default_value` if the key is missing or invalid
    [[nodiscard]] std::size_t
    optional_choice(const char* key, std::vector<std::string_view> choices, std::size_t default_value);

    /// @brief Reads an array; empty if the key is missing.
    [[nodiscard]] const nlohmann::json& optional_array(const char* key);

    /// @brief Returns a value without validation; null if the key is missing.
    [[nodiscard]] const nlohmann::json& optional_value(const char* key);

    [[nodiscard]] std::string path_of(std::string_view key) const;
    void add_fault(std::string_view key, std::string message);

    /// @brief Reports keys that were not requested.
    void finish();

  private:
    [[nodiscard]] const nlohmann::json* find(const char* key, bool required);

    const nlohmann::json& value_;
    std::string path_;
    std::vector<fault>& faults_;
    std::set<std::string> requested_keys_;
};

/// @brief Parses JSON text; a syntax error is reported as one fault with its byte offset.
[[nodiscard]] nlohmann::json parse_text(std::string_view text, std::vector<fault>& faults);

} // namespace plumspoke::settings

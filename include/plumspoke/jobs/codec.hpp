#pragma once

/// @file
/// @brief Converts jobs, commands and answers to protobuf messages and back.

#include "plumspoke/jobs.pb.h"
#include "plumspoke/jobs/store.hpp"

namespace plumspoke::jobs
{

[[nodiscard]] wire::JobSpec to_wire(const job_spec& value);
[[nodiscard]] job_spec from_wire(const wire::JobSpec& value);
[[nodiscard]] wire::Configuration to_wire(const configuration& value);
[[nodiscard]] configuration from_wire(const wire::Configuration& value);
[[nodiscard]] wire::Queue to_wire(const queue& value);
[[nodiscard]] queue from_wire(const wire::Queue& value);
[[nodiscard]] wire::SetEvacuation to_wire(const set_evacuation& value);
[[nodiscard]] set_evacuation from_wire(const wire::SetEvacuation& value);
[[nodiscard]] wire::Room to_wire(const resources& value);
[[nodiscard]] resources from_wire(const wire::Room& value);

/// @brief Serializes a command for the replicated log.
[[nodiscard]] std::string encode(const command& value);

/// @return the command, or nothing if the bytes are malformed
[[nodiscard]] std::optional<command> decode(std::string_view bytes);

[[nodiscard]] std::string encode_answer(const command_answer& value);
[[nodiscard]] command_answer decode_answer(std::string_view bytes);

} // namespace plumspoke::jobs

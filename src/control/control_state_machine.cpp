#include "plumspoke/control/control_state_machine.hpp"

#include "plumspoke/control/error.hpp"
#include "plumspoke/error/assert.hpp"

namespace plumspoke::control
{

std::string control_state_machine::apply(replica::log_index index, std::string_view bytes)
{
    const std::optional<control::command> value = decode(bytes);
    if (!value.has_value())
    {
        return encode_answer(
            refuse(static_cast<int>(errc::unreadable_command), "log " + std::to_string(index)));
    }
    const std::lock_guard lock(mutex_);
    return encode_answer(control::apply(state_, index, *value));
}

std::string control_state_machine::save() const
{
    const std::lock_guard lock(mutex_);
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(state_), bytes);
    return bytes;
}

void control_state_machine::restore(std::string_view saved)
{
    const nlohmann::json value = nlohmann::json::from_cbor(saved, true, false);
    PLUMSPOKE_ASSERT(
        value.is_object()); // the checksum matched, so only an incompatible version can fail here
    control_state restored = value.get<control_state>();
    rebuild_derived(restored);
    const std::lock_guard lock(mutex_);
    state_ = std::move(restored);
}

} // namespace plumspoke::control

#include "plumspoke/jobs/job_state_machine.hpp"

#include "plumspoke/error/assert.hpp"
#include "plumspoke/jobs/codec.hpp"

namespace plumspoke::jobs
{

std::string job_state_machine::apply(replica::log_index /*index*/, std::string_view bytes)
{
    const std::optional<command> value = decode(bytes);
    const std::lock_guard lock(mutex_);
    return apply_locked(value);
}

std::string job_state_machine::save() const
{
    const std::lock_guard lock(mutex_);
    return store_.save();
}

void job_state_machine::restore(std::string_view saved)
{
    const std::lock_guard lock(mutex_);
    restore_locked(saved);
}

std::optional<std::string>
job_state_machine::try_apply(replica::log_index /*index*/, std::string_view bytes, duration limit)
{
    const std::optional<command> value = decode(bytes);
    const std::unique_lock lock(mutex_, limit);
    if (!lock.owns_lock())
    {
        return std::nullopt;
    }
    return apply_locked(value);
}

std::optional<std::string> job_state_machine::try_save(duration limit) const
{
    const std::unique_lock lock(mutex_, limit);
    if (!lock.owns_lock())
    {
        return std::nullopt;
    }
    return store_.save();
}

bool job_state_machine::try_restore(std::string_view saved, duration limit)
{
    const std::unique_lock lock(mutex_, limit);
    if (!lock.owns_lock())
    {
        return false;
    }
    restore_locked(saved);
    return true;
}

std::string job_state_machine::apply_locked(const std::optional<command>& value)
{
    if (!value.has_value())
    {
        return encode_answer({outcome::invalid, {}});
    }
    return encode_answer(store_.apply(*value));
}

void job_state_machine::restore_locked(std::string_view saved)
{
    const bool readable = store_.restore(saved);
    PLUMSPOKE_ASSERT(readable); // its checksum was correct, so only an incompatible version fails here
}

} // namespace plumspoke::jobs

#include "plumspoke/jobs/job_state_machine.hpp"

#include "plumspoke/error/assert.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/time/boot_clock.hpp"

namespace plumspoke::jobs
{

std::string job_state_machine::apply(replica::log_index /*index*/, std::string_view bytes)
{
    const std::optional<command> value = decode(bytes);
    const std::lock_guard lock(mutex_);
    return apply_locked(value, boot_clock::now());
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

std::optional<std::string> job_state_machine::try_apply(const replica::log_entry& entry, duration limit)
{
    const std::optional<command> value = decode(entry.data);
    const std::unique_lock lock(mutex_, limit);
    if (!lock.owns_lock())
    {
        return std::nullopt;
    }
    return apply_locked(value, entry.appended_at == time_point{} ? boot_clock::now() : entry.appended_at);
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

std::string job_state_machine::apply_locked(const std::optional<command>& value, time_point appended_at)
{
    if (!value.has_value())
    {
        return encode_answer({outcome::invalid, {}});
    }
    if (const auto* planned = std::get_if<round>(&*value);
        planned != nullptr && planned->unrenewed.has_value())
    {
        unrenewed_recorded_at_ = appended_at;
    }
    return encode_answer(store_.apply(*value));
}

void job_state_machine::restore_locked(std::string_view saved)
{
    unrenewed_recorded_at_ = boot_clock::now();
    const bool readable = store_.restore(saved);
    PLUMSPOKE_ASSERT(readable); // its checksum was correct, so only an incompatible version fails here
}

} // namespace plumspoke::jobs

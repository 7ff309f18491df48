#include "plumspoke/jobs/machine.hpp"

#include "plumspoke/error/assert.hpp"
#include "plumspoke/jobs/codec.hpp"

namespace plumspoke::jobs
{

std::string machine::apply(replica::log_index /*index*/, std::string_view bytes)
{
    const std::optional<command> value = decode(bytes);
    const std::lock_guard lock(mutex_);
    return apply_held(value);
}

std::string machine::save() const
{
    const std::lock_guard lock(mutex_);
    return store_.save();
}

void machine::restore(std::string_view saved)
{
    const std::lock_guard lock(mutex_);
    restore_held(saved);
}

std::optional<std::string>
machine::try_apply(replica::log_index /*index*/, std::string_view bytes, duration limit)
{
    const std::optional<command> value = decode(bytes);
    const std::unique_lock lock(mutex_, limit);
    if (!lock.owns_lock())
    {
        return std::nullopt;
    }
    return apply_held(value);
}

std::optional<std::string> machine::try_save(duration limit) const
{
    const std::unique_lock lock(mutex_, limit);
    if (!lock.owns_lock())
    {
        return std::nullopt;
    }
    return store_.save();
}

bool machine::try_restore(std::string_view saved, duration limit)
{
    const std::unique_lock lock(mutex_, limit);
    if (!lock.owns_lock())
    {
        return false;
    }
    restore_held(saved);
    return true;
}

std::string machine::apply_held(const std::optional<command>& value)
{
    if (!value.has_value())
    {
        return encode_answer({outcome::invalid, {}});
    }
    return encode_answer(store_.apply(*value));
}

void machine::restore_held(std::string_view saved)
{
    const bool readable = store_.restore(saved);
    PLUMSPOKE_ASSERT(readable); // its check sum was right, so only a wrong version could do this
}

} // namespace plumspoke::jobs

#include "plumspoke/jobs/machine.hpp"

#include "plumspoke/error/assert.hpp"
#include "plumspoke/jobs/codec.hpp"

namespace plumspoke::jobs
{

std::string machine::apply(replica::log_index /*index*/, std::string_view bytes)
{
    const std::optional<jobs::command> value = decode(bytes);
    if (!value.has_value())
    {
        return encode_answer({outcome::invalid, {}});
    }
    const std::lock_guard lock(mutex_);
    return encode_answer(store_.apply(*value));
}

std::string machine::save() const
{
    const std::lock_guard lock(mutex_);
    return store_.save();
}

void machine::restore(std::string_view saved)
{
    const std::lock_guard lock(mutex_);
    const bool readable = store_.restore(saved);
    PLUMSPOKE_ASSERT(readable); // its check sum was right, so only a wrong version could do this
}

} // namespace plumspoke::jobs

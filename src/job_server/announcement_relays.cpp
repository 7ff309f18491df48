#include "plumspoke/job_server/announcement_relays.hpp"

#include <cstdint>
#include <xxhash.h>

namespace plumspoke::job_server
{

namespace
{

// Followers relay at least every 400 ms.
constexpr auto validity = milliseconds(1500);

std::uint64_t weight_of(std::string_view address, std::string_view worker)
{
    return XXH3_64bits_withSeed(address.data(), address.size(), XXH3_64bits(worker.data(), worker.size()));
}

} // namespace

void announcement_relays::record(time_point now, std::string_view address)
{
    if (address.empty())
    {
        return;
    }
    const std::lock_guard lock(mutex_);
    std::erase_if(relayed_at_,
                  [now](const auto& entry)
                  {
                      return entry.second + validity < now;
                  });
    relayed_at_.insert_or_assign(std::string(address), now);
}

std::string announcement_relays::choose(time_point now, std::string_view worker) const
{
    const std::lock_guard lock(mutex_);
    const std::string* chosen = nullptr;
    std::uint64_t largest = 0;
    for (const auto& [address, relayed_at] : relayed_at_)
    {
        const std::uint64_t weight = weight_of(address, worker);
        if (now <= relayed_at + validity && (chosen == nullptr || weight > largest))
        {
            chosen = &address;
            largest = weight;
        }
    }
    return chosen == nullptr ? std::string() : *chosen;
}

} // namespace plumspoke::job_server

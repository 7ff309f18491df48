#include "plumspoke/replica/join_requests.hpp"

#include <algorithm>

namespace plumspoke::replica
{

namespace
{

// A joining process repeats its request within this time.
constexpr auto request_lifetime = milliseconds(1500);

} // namespace

void join_requests::add(const member& joining, time_point now)
{
    const auto found = std::find_if(requests_.begin(),
                                    requests_.end(),
                                    [&joining](const request& existing)
                                    {
                                        return existing.joining.name == joining.name;
                                    });
    if (found != requests_.end() && found->joining.id == joining.id)
    {
        found->received_at = now;
        return;
    }
    if (found != requests_.end())
    {
        requests_.erase(found);
    }
    requests_.push_back({joining, now});
}

std::vector<member> join_requests::pending(time_point now, const membership& present)
{
    std::erase_if(requests_,
                  [now, &present](const request& existing)
                  {
                      return now > existing.received_at + request_lifetime ||
                             present.find(existing.joining.id) != nullptr;
                  });
    std::vector<member> out;
    out.reserve(requests_.size());
    for (const request& existing : requests_)
    {
        out.push_back(existing.joining);
    }
    return out;
}

} // namespace plumspoke::replica

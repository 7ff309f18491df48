#include "plumspoke/replica/message.hpp"

#include <algorithm>
#include <numeric>

namespace plumspoke::replica
{

const member* membership::find(const member_id& id) const noexcept
{
    const auto found = std::find_if(members.begin(),
                                    members.end(),
                                    [&id](const member& candidate)
                                    {
                                        return candidate.id == id;
                                    });
    return found == members.end() ? nullptr : &*found;
}

const member* membership::find_name(const std::string& name) const noexcept
{
    const auto found = std::find_if(members.begin(),
                                    members.end(),
                                    [&name](const member& candidate)
                                    {
                                        return candidate.name == name;
                                    });
    return found == members.end() ? nullptr : &*found;
}

std::size_t membership::voter_count() const noexcept
{
    return static_cast<std::size_t>(std::count_if(members.begin(),
                                                  members.end(),
                                                  [](const member& candidate)
                                                  {
                                                      return candidate.voter;
                                                  }));
}

bool membership::is_voter(const member_id& id) const noexcept
{
    const member* found = find(id);
    return found != nullptr && found->voter;
}

std::size_t data_bytes(std::span<const log_entry> entries) noexcept
{
    return std::accumulate(entries.begin(),
                           entries.end(),
                           std::size_t{0},
                           [](std::size_t sum, const log_entry& entry)
                           {
                               return sum + entry.data.size();
                           });
}

} // namespace plumspoke::replica

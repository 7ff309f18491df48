#include "plumspoke/control/claim_expiry.hpp"

namespace plumspoke::control
{

std::vector<command> claim_expiry::tick(time_point now, const control_state& state)
{
    std::vector<command> commands;
    std::map<std::uint64_t, time_point> still_open;
    for (const std::string& name : state.open_claims)
    {
        const claim& open = state.claims.at(name);
        const auto before = seen_.find(open.id);
        const time_point since = before == seen_.end() ? now : before->second;
        still_open[open.id] = since;
        if (now >= since + milliseconds(open.deadline_ms) + margin_)
        {
            finish_claim ended;
            ended.service = open.service;
            ended.key = open.key;
            ended.id = open.id;
            ended.state = claim_state::unknown;
            commands.emplace_back(std::move(ended));
        }
    }
    seen_ = std::move(still_open);
    return commands;
}

} // namespace plumspoke::control

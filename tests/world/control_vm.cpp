#include "plumspoke/replica/error.hpp"
#include "world.hpp"

namespace plumspoke::world
{

namespace
{

constexpr auto worker_lease = milliseconds(2000);
constexpr auto entry_lease = milliseconds(2000);
constexpr auto drift_margin = milliseconds(400);
constexpr auto claim_margin = milliseconds(2000);
constexpr auto join_interval = milliseconds(300);
constexpr auto schedule_interval = milliseconds(100);

plumspoke::worker::lease_manager_options lease_manager_options()
{
    plumspoke::worker::lease_manager_options options;
    options.lease = worker_lease;
    options.drift_margin = drift_margin;
    options.reproposal_interval = milliseconds(500);
    return options;
}

control::slot_allocator_options make_slot_allocator_options()
{
    control::slot_allocator_options options;
    options.lease = entry_lease;
    options.drift_margin = drift_margin;
    return options;
}

replica::node_options node_options()
{
    replica::node_options options;
    options.election_timeout = milliseconds(400);
    options.heartbeat_interval = milliseconds(80);
    options.drift_margin = milliseconds(100);
    return options;
}

} // namespace

control_vm::control_vm(world& owner, const std::string& name, const replica::membership& first_members)
    : process(owner, name), id_(name + ".first"), lease_manager_(lease_manager_options()),
      claim_expiry_(claim_margin), policy_({}), slot_allocator_(make_slot_allocator_options())
{
    disk_.base.members = first_members;
    start_node();
}

void control_vm::start_node()
{
    state_ = {};
    if (!disk_.base.data.empty())
    {
        state_ = nlohmann::json::from_cbor(disk_.base.data).get<control::control_state>();
    }
    control::rebuild_derived(state_);
    applied_ = disk_.base.index;
    leading_term_ = 0;
    node_ = std::make_unique<replica::node>(id_, node_options(), disk_, now(), world_.random());
}

void control_vm::kill()
{
    node_.reset();
    waiting_.clear();
    joining_.clear();
    start_node(); // restores the disk's state; the node is not driven while the process is down
}

void control_vm::restart()
{
    start_node();
}

void control_vm::lose_disk()
{
    disk_ = {};
    id_ = name() + "." + std::to_string(++identities_);
    start_node();
}

bool control_vm::may_act() const
{
    return node_->holds_lease(now());
}

void control_vm::receive(const replica::message& received)
{
    node_->receive(now(), received);
    flush();
}

void control_vm::join(const replica::member& joining)
{
    if (node_->current_role() == replica::role::leader && node_->members().find(joining.id) == nullptr)
    {
        joining_.push_back(joining);
    }
}

void control_vm::tick()
{
    node_->tick(now());
    flush();
    if (!up)
    {
        return;
    }
    if (node_->members().find(id_) == nullptr && now() >= next_join_)
    {
        next_join_ = now() + join_interval;
        for (const auto& other : world_.control_vms())
        {
            if (other.get() != this)
            {
                world_.send(*this,
                            *other,
                            [target = other.get(), self = replica::member{id_, name(), name(), false}]
                            {
                                target->join(self);
                            });
            }
        }
    }
    if (node_->current_role() == replica::role::leader)
    {
        if (!node_->membership_change_pending())
        {
            const auto changed = replica::next_membership(*node_, joining_, now(), node_options());
            joining_.clear();
            if (changed.has_value() && node_->propose_membership(now(), *changed))
            {
                flush();
            }
        }
    }
    if (up && may_act())
    {
        act_as_leader();
    }
}

void control_vm::act_as_leader()
{
    const bool same_leadership = leading_term_ == node_->term() && now() < acting_until_;
    acting_until_ = node_->lease_end();
    if (!same_leadership)
    {
        leading_term_ = node_->term();
        lease_manager_.reset(now());
        claim_expiry_.reset();
        policy_.reset();
        slot_allocator_.reset(now(), state_.config);
    }
    if (now() < next_schedule_)
    {
        return;
    }
    next_schedule_ = now() + schedule_interval;
    slot_allocator_.tick(now(), state_.config);
    std::vector<control::command> commands = lease_manager_.tick(now(), state_);
    for (control::command& next : claim_expiry_.tick(now(), state_))
    {
        commands.push_back(std::move(next));
    }
    const auto usable = [this](const std::string& name)
    {
        return lease_manager_.is_live(now(), name);
    };
    for (control::command& next : policy_.decide(now(), state_, usable))
    {
        commands.push_back(std::move(next));
    }
    for (const control::command& next : commands)
    {
        propose(next, [](std::error_code, const control::command_answer&) {});
    }
}

void control_vm::propose(const control::command& value, command_callback done)
{
    const std::vector<std::string> commands = {control::encode(value)};
    const auto index = node_->propose(now(), commands);
    if (!index.has_value())
    {
        done(replica::errc::not_leader, {});
        return;
    }
    waiting_[*index] = {node_->term(), std::move(done)};
    flush();
}

bool control_vm::receive(const plumspoke::worker::report& received, plumspoke::worker::orders& reply)
{
    if (!may_act())
    {
        return false;
    }
    act_as_leader();
    std::error_code error;
    plumspoke::worker::report_outcome output = lease_manager_.receive(now(), state_, received, error);
    if (error)
    {
        return false;
    }
    for (const control::command& next : output.commands)
    {
        propose(next, [](std::error_code, const control::command_answer&) {});
    }
    policy_.observe(now(), state_, received);
    reply = std::move(output.reply);
    return true;
}

bool control_vm::receive(const control::entry_report& received, control::entry_orders& reply)
{
    if (!may_act())
    {
        return false;
    }
    act_as_leader();
    reply = slot_allocator_.receive(now(), state_.config, received);
    return reply.accepted;
}

void control_vm::flush()
{
    for (int round = 0; round < 4 && up; ++round)
    {
        const replica::node_output output = node_->take_output();
        if (output.must_sync())
        {
            if (!world_.sync_survived(*this))
            {
                return;
            }
            if (output.installed.has_value())
            {
                disk_.base = *output.installed;
                disk_.entries.clear();
            }
            disk_.hard = output.hard.value_or(disk_.hard);
            if (output.truncate_from != 0)
            {
                std::erase_if(disk_.entries,
                              [&output](const replica::log_entry& one)
                              {
                                  return one.index >= output.truncate_from;
                              });
            }
            disk_.entries.insert(disk_.entries.end(), output.entries.begin(), output.entries.end());
            if (world_.killed_after_sync(*this))
            {
                return;
            }
        }
        else if (output.messages.empty() && output.committed.empty())
        {
            break;
        }
        for (const replica::message& sent : output.messages)
        {
            control_vm* target = world_.find_member(sent.to);
            if (target != nullptr)
            {
                world_.send(*this,
                            *target,
                            [target, sent]
                            {
                                target->receive(sent);
                            });
            }
            if (!up)
            {
                return;
            }
        }
        if (output.installed.has_value())
        {
            state_ = {};
            if (!output.installed->data.empty())
            {
                state_ = nlohmann::json::from_cbor(output.installed->data).get<control::control_state>();
            }
            control::rebuild_derived(state_);
            applied_ = output.installed->index;
        }
        node_->persisted(now());
        apply(output.committed);
    }
    fail_waiting();
    take_snapshot();
}

void control_vm::apply(const std::vector<replica::log_entry>& committed)
{
    for (const replica::log_entry& entry : committed)
    {
        applied_ = entry.index;
        control::command_answer answer;
        if (entry.kind == replica::entry_kind::command)
        {
            answer = control::apply(state_, entry.index, *control::decode(entry.data));
        }
        const auto found = waiting_.find(entry.index);
        if (found == waiting_.end())
        {
            continue;
        }
        const command_callback done = std::move(found->second.done);
        const bool own = found->second.term == entry.term;
        waiting_.erase(found);
        done(own ? std::error_code() : make_error_code(replica::errc::lost_leadership), answer);
    }
}

void control_vm::fail_waiting()
{
    if (node_->current_role() == replica::role::leader || waiting_.empty())
    {
        return;
    }
    const std::map<replica::log_index, waiting> lost = std::exchange(waiting_, {});
    for (const auto& [index, one] : lost)
    {
        one.done(replica::errc::lost_leadership, {});
    }
}

void control_vm::take_snapshot()
{
    if (applied_ < disk_.base.index + world_.options().snapshot_interval)
    {
        return;
    }
    replica::snapshot taken;
    taken.index = applied_;
    taken.term = *node_->term_at(applied_);
    nlohmann::json::to_cbor(nlohmann::json(state_), taken.data);
    node_->compact(applied_);
    taken.members = node_->members_at(applied_);
    disk_.base = taken;
    std::erase_if(disk_.entries,
                  [&taken](const replica::log_entry& one)
                  {
                      return one.index <= taken.index;
                  });
    node_->set_snapshot(std::move(taken));
}

} // namespace plumspoke::world

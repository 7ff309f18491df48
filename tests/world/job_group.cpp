#include "job_group.hpp"

#include "plumspoke/jobs/codec.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace plumspoke::test
{

namespace
{

constexpr auto step_length = milliseconds(1);
constexpr auto message_delay = milliseconds(2);
constexpr auto longest_wait = seconds(20);

std::string name_of(std::size_t vm)
{
    return "vm" + std::to_string(vm);
}

} // namespace

job_group::job_group(std::uint64_t seed) : now_(from_microseconds(3'600'000'000))
{
    replica::restored_state empty;
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        empty.base.members.members.push_back({name_of(i), name_of(i), name_of(i), true});
    }
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        vms_.at(i).node = std::make_unique<replica::node>(
            name_of(i), replica::node_options(), empty, now_, seed * vm_count + i + 1);
    }
}

void job_group::run_for(duration span)
{
    for (const time_point end = now_ + span; now_ < end;)
    {
        step();
    }
}

std::size_t job_group::run_until_led()
{
    for (const time_point end = now_ + longest_wait; now_ < end; step())
    {
        const auto found = std::find_if(vms_.begin(),
                                        vms_.end(),
                                        [this](const control_vm& one)
                                        {
                                            return leads(one);
                                        });
        if (found != vms_.end())
        {
            return static_cast<std::size_t>(found - vms_.begin());
        }
    }
    FAIL("no leader was elected");
    return 0;
}

std::optional<replica::log_index> job_group::propose(std::size_t vm, const jobs::command& value)
{
    control_vm& to = vms_.at(vm);
    const std::string command = jobs::encode(value);
    const std::optional<replica::log_index> index = to.node->propose(now_, std::span(&command, 1));
    process_output(to);
    return index;
}

void job_group::run_until_applied(std::size_t vm, replica::log_index index)
{
    const time_point end = now_ + longest_wait;
    while (vms_.at(vm).applied < index && now_ < end)
    {
        step();
    }
    REQUIRE(vms_.at(vm).applied >= index);
}

void job_group::kill(std::size_t vm)
{
    vms_.at(vm).up = false;
}

void job_group::step()
{
    now_ += step_length;
    while (!messages_.empty() && messages_.front().due_at <= now_)
    {
        const replica::message received = std::move(messages_.front().content);
        messages_.pop_front();
        for (control_vm& one : vms_)
        {
            if (one.up && one.node->id() == received.to)
            {
                one.node->receive(now_, received);
                process_output(one);
            }
        }
    }
    for (control_vm& one : vms_)
    {
        if (one.up)
        {
            one.node->tick(now_);
            process_output(one);
        }
    }
}

void job_group::process_output(control_vm& of)
{
    // The second round delivers what the sync of the first one has committed.
    for (int round = 0; round < 2; ++round)
    {
        const replica::node_output output = of.node->take_output();
        for (const replica::message& sent : output.messages)
        {
            messages_.push_back({now_ + message_delay, sent});
        }
        of.node->persisted(now_);
        for (const replica::log_entry& entry : output.committed)
        {
            of.applied = entry.index;
            if (entry.kind == replica::entry_kind::command)
            {
                (void)of.state.apply(jobs::decode(entry.data).value());
            }
        }
    }
}

bool job_group::leads(const control_vm& one) const
{
    return one.up && one.node->holds_lease(now_) && one.applied >= one.node->term_start_index();
}

} // namespace plumspoke::test

#include "replica_world.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::test
{

using namespace replica;

namespace
{

constexpr auto tick_interval = milliseconds(5);
constexpr auto refused_after = milliseconds(5); // a connection to a process that isn't there yet
constexpr auto membership_interval = milliseconds(200);
constexpr auto join_interval = milliseconds(500);
constexpr std::size_t own_interval_spread = 100;

node_options options_of(const replica_load& load)
{
    node_options out;
    out.wanted_voters = load.vms;
    return out;
}

std::string address_of(const member_id& id)
{
    return id.substr(0, id.find('.'));
}

} // namespace

/// @brief Snapshots from one VM to another.
struct replica_world::lane
{
    snapshot_queue queue;
    std::uint64_t transfer = 0; // rises with each, so that a cancelled one is told apart
    bool busy = false;
};

/// @brief One control VM: what its disk holds, and its process.
struct replica_world::vm
{
    std::string address;
    std::size_t snapshot_interval = 0;
    member_id id;
    restored_state disk;
    std::unique_ptr<node> process; // empty: down
    std::uint64_t life = 0;        // rises with each start and stop
    join_requests joining;
    snapshot_schedule snapshots;
    log_index applied = 0;
    time_point busy_until{};
    time_point link_free_at{}; // of the snapshots that it sends
    time_point next_look{};
    time_point next_join{};
    double owed_entries = 0;
    duration extra_delay{};
    std::vector<message> inbox;
    std::map<std::string, lane> lanes;
};

replica_world::replica_world(std::uint64_t seed, const replica_load& load)
    : load_(load), random_(seed), begun_(from_microseconds(3'600'000'000)), now_(begun_)
{
    membership all;
    for (std::size_t i = 0; i < load.vms; ++i)
    {
        const std::string address = "vm" + std::to_string(i);
        all.members.push_back({address + ".first", address, address, true});
    }
    for (const member& one : all.members)
    {
        auto made = std::make_unique<vm>();
        made->address = one.address;
        made->snapshot_interval = load.snapshot_interval - own_interval_spread * vms_.size();
        made->id = one.id;
        made->disk.base.members = all;
        vms_.push_back(std::move(made));
        start(*vms_.back());
    }
}

replica_world::~replica_world() = default;

// ---- faults ------------------------------------------------------------------------------------

void replica_world::lose_disk(duration at, std::size_t number, duration down_for)
{
    schedule(begun_ + at,
             [this, number, down_for]
             {
                 stop(*vms_.at(number), true, down_for);
             });
}

void replica_world::lose_power(duration at, std::size_t number, duration down_for)
{
    schedule(begun_ + at,
             [this, number, down_for]
             {
                 stop(*vms_.at(number), false, down_for);
             });
}

void replica_world::kill_leader(duration at, duration down_for)
{
    schedule(begun_ + at,
             [this, down_for]
             {
                 if (vm* leads = leader(); leads != nullptr)
                 {
                     stop(*leads, false, down_for);
                 }
             });
}

void replica_world::slow_down(duration at, std::size_t number, duration extra, duration for_how_long)
{
    schedule(begun_ + at,
             [this, number, extra]
             {
                 vms_.at(number)->extra_delay = extra;
             });
    schedule(begun_ + at + for_how_long,
             [this, number]
             {
                 vms_.at(number)->extra_delay = {};
             });
}

void replica_world::stop(vm& of, bool disk_is_lost, duration down_for)
{
    if (disk_is_lost)
    {
        waiting_for_vote_.erase(of.id);
        of.disk = {};
        of.id = of.address + "." + std::to_string(of.life);
        ++outcome_.disks_lost;
    }
    if (of.process == nullptr)
    {
        return; // it starts when it would have
    }
    of.process.reset();
    ++of.life;
    schedule(now_ + down_for,
             [this, &of]
             {
                 start(of);
             });
}

void replica_world::start(vm& of)
{
    ++of.life;
    of.inbox.clear();
    of.lanes.clear();
    of.joining = {};
    of.applied = of.disk.base.index;
    of.snapshots = {of.snapshot_interval, of.disk.base.index};
    of.process = std::make_unique<node>(of.id, options_of(load_), of.disk, now_, random_());
    of.busy_until = now_;
    of.link_free_at = now_;
    of.next_look = now_ + random(membership_interval);
    of.next_join = now_;
    of.owed_entries = 0;
}

// ---- the loop ----------------------------------------------------------------------------------

replica_outcome replica_world::run(duration until)
{
    const time_point end = begun_ + until;
    while (now_ < end)
    {
        now_ += tick_interval;
        while (!events_.empty() && events_.begin()->first.first <= now_)
        {
            const auto next = events_.extract(events_.begin());
            next.mapped()();
        }
        for (const std::unique_ptr<vm>& one : vms_)
        {
            step(*one);
        }
        check_votes();
    }
    outcome_.committed = committed_.size();
    return outcome_;
}

void replica_world::schedule(time_point at, std::function<void()> action)
{
    events_[{at, next_event_++}] = std::move(action);
}

void replica_world::step(vm& of)
{
    if (of.process == nullptr || now_ < of.busy_until)
    {
        return;
    }
    ask_to_join(of);
    for (const message& received : std::exchange(of.inbox, {}))
    {
        of.process->receive(now_, received);
    }
    of.process->tick(now_);
    of.owed_entries += load_.entries_per_s * std::chrono::duration<double>(tick_interval).count();
    if (const auto count = static_cast<std::size_t>(of.owed_entries); count > 0)
    {
        of.owed_entries -= static_cast<double>(count);
        if (of.process->holds_lease(now_))
        {
            (void)of.process->propose(now_, std::vector<std::string>(count, "entry"));
        }
    }
    manage_membership(of);
    flush(of);
    save_snapshot_if_due(of);
}

void replica_world::ask_to_join(vm& of)
{
    if (now_ < of.next_look)
    {
        return;
    }
    of.next_look = now_ + membership_interval;
    vm* asked = leader();
    if (of.process->members().find(of.id) != nullptr || now_ < of.next_join || asked == nullptr)
    {
        return;
    }
    of.next_join = now_ + join_interval;
    waiting_for_vote_.try_emplace(of.id, now_);
    const member self{of.id, of.address, of.address, false};
    const std::uint64_t life = asked->life;
    schedule(now_ + 2 * load_.link_delay,
             [this, asked, life, self]
             {
                 if (asked->life == life && asked->process != nullptr)
                 {
                     asked->joining.add(self, now_);
                 }
             });
}

void replica_world::manage_membership(vm& of)
{
    const std::vector<member> joining = of.joining.open(now_, of.process->members());
    if (of.process->current_role() != role::leader || of.process->membership_change_pending())
    {
        return;
    }
    if (const auto changed = next_membership(*of.process, joining, now_, options_of(load_)))
    {
        const bool takes_in = of.process->members().find(changed->members.back().id) == nullptr;
        if (of.process->propose_membership(now_, *changed) && takes_in)
        {
            of.snapshots.on_member_joined(now_);
        }
    }
}

void replica_world::flush(vm& of)
{
    const node_output output = of.process->take_output();
    const duration written = output.must_sync() ? load_.sync_time : duration(0);
    persist(of, output);
    for (const message& sent : output.messages)
    {
        send(of, sent, written);
    }
    of.process->persisted(now_);
    if (output.installed.has_value())
    {
        of.busy_until = now_ + load_.install_time;
        of.applied = output.installed->index;
        of.snapshots.on_saved(of.applied);
    }
    check(of, output.committed);
}

void replica_world::persist(vm& of, const node_output& output)
{
    if (output.hard.has_value())
    {
        of.disk.hard = *output.hard;
    }
    if (output.installed.has_value())
    {
        of.disk.base = *output.installed;
        of.disk.entries.clear();
    }
    if (output.truncate_from != 0)
    {
        std::erase_if(of.disk.entries,
                      [&output](const log_entry& one)
                      {
                          return one.index >= output.truncate_from;
                      });
    }
    of.disk.entries.insert(of.disk.entries.end(), output.entries.begin(), output.entries.end());
}

void replica_world::save_snapshot_if_due(vm& of)
{
    of.process->await_snapshot(of.snapshots.is_awaited(now_, of.applied));
    if (now_ < of.busy_until || !of.snapshots.is_due(now_, of.applied, false, true))
    {
        return;
    }
    snapshot state;
    state.index = of.applied;
    state.term = *of.process->term_at(of.applied);
    of.process->compact(of.applied);
    state.members = of.process->members_at(of.applied);
    of.disk.base = state;
    const std::span<const log_entry> rest = of.process->entries_after(of.applied);
    of.disk.entries.assign(rest.begin(), rest.end());
    of.process->set_snapshot(std::move(state));
    of.snapshots.on_saved(of.applied);
    of.busy_until = now_ + load_.save_time;
}

// ---- links -------------------------------------------------------------------------------------

void replica_world::send(vm& from, const message& sent, duration delay)
{
    vm* to = find(address_of(sent.to));
    if (std::holds_alternative<install_snapshot>(sent.body))
    {
        send_snapshot(from, *to, sent);
        return;
    }
    const duration way =
        delay + load_.link_delay + random(load_.max_jitter) + from.extra_delay + to->extra_delay;
    schedule(now_ + way,
             [to, sent]
             {
                 if (to->process != nullptr)
                 {
                     to->inbox.push_back(sent);
                 }
             });
}

void replica_world::send_snapshot(vm& from, vm& to, const message& sent)
{
    lane& on = from.lanes[to.address];
    if (on.queue.push(sent))
    {
        on.queue.finish(false);
        on.busy = false;
    }
    if (!on.busy)
    {
        begin_transfer(from, to);
    }
}

void replica_world::begin_transfer(vm& from, vm& to)
{
    lane& on = from.lanes[to.address];
    const std::optional<message> next = on.queue.take();
    if (!next.has_value())
    {
        return;
    }
    on.busy = true;
    ++on.transfer;
    ++outcome_.snapshots_sent;
    time_point ends = now_ + (random_() % 2 == 0 ? load_.connect_timeout : duration(refused_after));
    if (to.process != nullptr)
    {
        from.link_free_at = std::max(now_, from.link_free_at) + load_.transfer_time;
        ends = from.link_free_at + from.extra_delay + to.extra_delay;
    }
    schedule(
        ends,
        [this, &from, &to, sent = *next, life_from = from.life, life_to = to.life, transfer = on.transfer]
        {
            if (from.life != life_from || from.lanes[to.address].transfer != transfer ||
                !from.lanes[to.address].busy)
            {
                return;
            }
            const bool delivered = to.process != nullptr && to.life == life_to;
            lane& ended = from.lanes[to.address];
            ended.busy = false;
            ended.queue.finish(delivered);
            if (delivered)
            {
                to.inbox.push_back(sent);
            }
            begin_transfer(from, to);
        });
}

// ---- promises ----------------------------------------------------------------------------------

void replica_world::check(vm& of, const std::vector<log_entry>& committed)
{
    for (const log_entry& one : committed)
    {
        of.applied = one.index;
        const auto [found, added] = committed_.try_emplace(one.index, one.term);
        if (!added && found->second != one.term)
        {
            outcome_.broken.push_back(of.address + " has committed another entry " +
                                      std::to_string(one.index));
        }
    }
    if (of.process->holds_lease(now_) && !committed_.empty() &&
        of.process->last_index() < committed_.rbegin()->first)
    {
        outcome_.broken.push_back(of.address + " leads without entry " +
                                  std::to_string(committed_.rbegin()->first));
    }
}

void replica_world::check_votes()
{
    const vm* leads = leader();
    if (leads == nullptr || leads->process->membership_change_pending())
    {
        return;
    }
    std::erase_if(waiting_for_vote_,
                  [this, leads](const auto& one)
                  {
                      const bool votes = leads->process->members().is_voter(one.first);
                      if (votes)
                      {
                          ++outcome_.votes_regained;
                          outcome_.vote_delays.push_back(
                              std::chrono::duration_cast<duration>(now_ - one.second));
                      }
                      return votes;
                  });
}

replica_world::vm* replica_world::leader()
{
    for (const std::unique_ptr<vm>& one : vms_)
    {
        if (one->process != nullptr && one->process->holds_lease(now_))
        {
            return one.get();
        }
    }
    return nullptr;
}

replica_world::vm* replica_world::find(const std::string& address)
{
    const auto found = std::find_if(vms_.begin(),
                                    vms_.end(),
                                    [&address](const std::unique_ptr<vm>& one)
                                    {
                                        return one->address == address;
                                    });
    return found == vms_.end() ? nullptr : found->get();
}

duration replica_world::random(duration most)
{
    return duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most.count() + 1)));
}

} // namespace plumspoke::test

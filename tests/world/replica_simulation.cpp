#include "replica_simulation.hpp"

#include <algorithm>
#include <utility>

namespace plumspoke::test
{

using namespace replica;

namespace
{

constexpr auto tick_interval = milliseconds(5);
constexpr auto connection_refused_delay = milliseconds(5); // while the VM is up, but its process is not
constexpr auto membership_interval = milliseconds(200);
constexpr auto join_interval = milliseconds(500);
constexpr std::size_t snapshot_interval_step = 100;
constexpr std::size_t any_number_of_bytes = std::numeric_limits<std::size_t>::max();

node_options options_of(const simulation_load& load)
{
    node_options out;
    out.target_voter_count = load.vms;
    return out;
}

std::string address_of(const member_id& id)
{
    return id.substr(0, id.find('.'));
}

} // namespace

/// @brief Snapshot transfers from one VM to another.
struct replica_simulation::snapshot_channel
{
    snapshot_queue queue;
    std::uint64_t transfer = 0; // number of the current transfer; identifies cancelled ones
    bool busy = false;
};

/// @brief One control VM with its disk and its process.
struct replica_simulation::vm
{
    std::string address;
    std::size_t snapshot_interval = 0;
    member_id id;
    restored_state disk;
    std::unique_ptr<node> process; // empty: down
    std::uint64_t incarnation = 0; // incremented with each start and stop
    join_requests joining;
    snapshot_schedule snapshots;
    log_index applied = 0;
    time_point busy_until{};
    time_point link_idle_at{}; // when the queued snapshot transfers are done
    time_point next_join_check{};
    time_point next_join{};
    double fractional_entries = 0;
    duration extra_delay{};
    time_point reachable_at{}; // messages are dropped before
    time_point connected_at{}; // end of the last cut
    bool suspended = false;
    time_point resumes_at{};
    duration missed{}; // time that its clock hasn't counted
    std::vector<message> inbox;
    std::map<std::string, snapshot_channel> snapshot_channels;
};

replica_simulation::replica_simulation(std::uint64_t seed, const simulation_load& load)
    : load_(load), random_(seed), start_time_(from_microseconds(3'600'000'000)), now_(start_time_)
{
    membership all;
    for (std::size_t i = 0; i < load.vms; ++i)
    {
        const std::string address = "vm" + std::to_string(i);
        all.members.push_back({address + ".first", address, address, true});
    }
    for (const member& current : all.members)
    {
        auto new_vm = std::make_unique<vm>();
        new_vm->address = current.address;
        new_vm->snapshot_interval = load.snapshot_interval - snapshot_interval_step * vms_.size();
        new_vm->id = current.id;
        new_vm->disk.base.members = all;
        vms_.push_back(std::move(new_vm));
        start(*vms_.back());
    }
}

replica_simulation::~replica_simulation() = default;

// ---- faults ------------------------------------------------------------------------------------

void replica_simulation::lose_disk(duration at, std::size_t number, duration down_for)
{
    schedule(start_time_ + at,
             [this, number, down_for]
             {
                 stop(*vms_.at(number), true, down_for);
             });
}

void replica_simulation::lose_power(duration at, std::size_t number, duration down_for)
{
    schedule(start_time_ + at,
             [this, number, down_for]
             {
                 stop(*vms_.at(number), false, down_for);
             });
}

void replica_simulation::kill_leader(duration at, duration down_for)
{
    schedule(start_time_ + at,
             [this, down_for]
             {
                 if (vm* current_leader = leader(); current_leader != nullptr)
                 {
                     stop(*current_leader, false, down_for);
                 }
             });
}

void replica_simulation::suspend(duration at, std::size_t number, duration length)
{
    schedule(start_time_ + at,
             [this, number, length]
             {
                 suspend(*vms_.at(number), length);
             });
}

void replica_simulation::suspend_leader(duration at, duration length)
{
    schedule(start_time_ + at,
             [this, length]
             {
                 if (vm* current_leader = leader(); current_leader != nullptr)
                 {
                     suspend(*current_leader, length);
                 }
             });
}

void replica_simulation::suspend(vm& of, duration length)
{
    if (of.process == nullptr)
    {
        return;
    }
    if (!of.suspended)
    {
        ++result_.suspensions;
        of.suspended = true;
        of.resumes_at = now_;
    }
    const time_point end = std::max(of.resumes_at, now_ + length);
    of.missed += std::chrono::duration_cast<duration>(load_.clock_stops_while_suspended ? end - of.resumes_at
                                                                                        : duration(0));
    of.resumes_at = end;
    schedule(end,
             [this, &of, end]
             {
                 if (of.suspended && of.resumes_at == end)
                 {
                     resume(of);
                 }
             });
}

void replica_simulation::resume(vm& of)
{
    of.suspended = false;
    of.busy_until = std::max(of.busy_until, now_ + tick_interval); // other threads may run first
}

void replica_simulation::cut_off(duration at, std::size_t number, duration length)
{
    schedule(start_time_ + at,
             [this, number, length]
             {
                 vm& of = *vms_.at(number);
                 of.connected_at = std::max(of.connected_at, now_ + length);
             });
}

void replica_simulation::lose_disk_if_all_vote(duration at, std::size_t number, duration down_for)
{
    schedule(start_time_ + at,
             [this, number, down_for]
             {
                 const vm* current_leader = leader();
                 if (current_leader == nullptr)
                 {
                     return;
                 }
                 const membership& members = current_leader->process->members();
                 const bool all_vote = std::all_of(vms_.begin(),
                                                   vms_.end(),
                                                   [&members](const std::unique_ptr<vm>& current)
                                                   {
                                                       return members.is_voter(current->id);
                                                   });
                 if (all_vote && members.voter_count() == vms_.size())
                 {
                     stop(*vms_.at(number), true, down_for);
                 }
             });
}

void replica_simulation::add_delay(duration at, std::size_t number, duration extra_delay, duration length)
{
    schedule(start_time_ + at,
             [this, number, extra_delay]
             {
                 vms_.at(number)->extra_delay = extra_delay;
             });
    schedule(start_time_ + at + length,
             [this, number]
             {
                 vms_.at(number)->extra_delay = {};
             });
}

void replica_simulation::stop(vm& of, bool disk_is_lost, duration down_for)
{
    if (disk_is_lost)
    {
        join_requested_at_.erase(of.id);
        of.disk = {};
        of.id = of.address + "." + std::to_string(of.incarnation);
        ++result_.disks_lost;
    }
    if (of.process == nullptr)
    {
        return; // its restart is already scheduled
    }
    of.process.reset();
    of.suspended = false;
    ++of.incarnation;
    schedule(now_ + down_for,
             [this, &of]
             {
                 start(of);
             });
}

void replica_simulation::start(vm& of)
{
    ++of.incarnation;
    of.inbox.clear();
    of.snapshot_channels.clear();
    of.joining = {};
    of.applied = of.disk.base.index;
    of.snapshots = {{of.snapshot_interval, any_number_of_bytes}, of.disk.base.index};
    of.process = std::make_unique<node>(of.id, options_of(load_), of.disk, local_time(of), random_());
    of.busy_until = now_;
    of.link_idle_at = now_;
    of.next_join_check = now_ + random(membership_interval);
    of.next_join = now_;
    of.fractional_entries = 0;
    if (load_.max_reconnect_delay > duration(0))
    {
        of.reachable_at = now_ + random(load_.max_reconnect_delay);
    }
}

// ---- the loop ----------------------------------------------------------------------------------

simulation_result replica_simulation::run(duration until)
{
    const time_point end = start_time_ + until;
    while (now_ < end)
    {
        now_ += tick_interval;
        while (!events_.empty() && events_.begin()->first.first <= now_)
        {
            const auto next = events_.extract(events_.begin());
            next.mapped()();
        }
        check_reads();
        for (const std::unique_ptr<vm>& current : vms_)
        {
            step(*current);
        }
        check_reads();
        record_regained_votes();
    }
    result_.committed = committed_.size();
    return result_;
}

void replica_simulation::schedule(time_point at, std::function<void()> action)
{
    events_[{at, next_event_number_++}] = std::move(action);
}

void replica_simulation::step(vm& of)
{
    if (of.process == nullptr || of.suspended || now_ < of.busy_until)
    {
        return;
    }
    request_join(of);
    const time_point now = local_time(of);
    for (const message& received : std::exchange(of.inbox, {}))
    {
        of.process->receive(now, received);
    }
    of.process->tick(now);
    of.fractional_entries += load_.entries_per_s * std::chrono::duration<double>(tick_interval).count();
    if (const auto count = static_cast<std::size_t>(of.fractional_entries); count > 0)
    {
        of.fractional_entries -= static_cast<double>(count);
        if (of.process->holds_lease(now))
        {
            (void)of.process->propose(now, std::vector<std::string>(count, "entry"));
        }
    }
    change_membership(of);
    flush(of);
    save_snapshot_if_due(of);
    of.busy_until = std::max(of.busy_until, now_ + load_.round_time);
}

void replica_simulation::request_join(vm& of)
{
    if (now_ < of.next_join_check)
    {
        return;
    }
    of.next_join_check = now_ + membership_interval;
    vm* target = leader();
    if (of.process->members().find(of.id) != nullptr || now_ < of.next_join || target == nullptr)
    {
        return;
    }
    of.next_join = now_ + join_interval;
    join_requested_at_.try_emplace(of.id, now_);
    const member self{of.id, of.address, of.address, false};
    const std::uint64_t incarnation = target->incarnation;
    schedule(now_ + 2 * load_.link_delay,
             [this, &of, target, incarnation, self]
             {
                 if (target->incarnation == incarnation && target->process != nullptr)
                 {
                     target->joining.add(self, local_time(*target));
                     of.reachable_at = now_;
                 }
             });
}

void replica_simulation::change_membership(vm& of)
{
    const time_point now = local_time(of);
    const std::vector<member> joining = of.joining.pending(now, of.process->members());
    if (of.process->current_role() != role::leader || of.process->membership_change_pending())
    {
        return;
    }
    if (const auto changed = next_membership(*of.process, joining, now, options_of(load_)))
    {
        const bool adds_learner = of.process->members().find(changed->members.back().id) == nullptr;
        if (of.process->propose_membership(now, *changed) && adds_learner)
        {
            of.snapshots.on_member_joined(now);
        }
    }
}

void replica_simulation::flush(vm& of)
{
    const node_output output = of.process->take_output();
    const duration written = output.must_sync() ? load_.sync_time : duration(0);
    persist(of, output);
    for (const message& sent : output.messages)
    {
        send(of, sent, written);
    }
    of.process->persisted(local_time(of));
    if (output.installed.has_value())
    {
        of.busy_until = now_ + load_.install_time;
        of.applied = output.installed->index;
        of.snapshots.on_saved(of.applied);
    }
    check_committed(of, output.committed);
}

void replica_simulation::persist(vm& of, const node_output& output)
{
    if (output.hard.has_value())
    {
        of.disk.hard = *output.hard;
    }
    if (output.acknowledgement_limit.has_value())
    {
        of.disk.acknowledgement_limit = output.acknowledgement_limit;
    }
    if (output.installed.has_value())
    {
        of.disk.base = *output.installed;
        of.disk.entries.clear();
    }
    if (output.truncate_from != 0)
    {
        std::erase_if(of.disk.entries,
                      [&output](const log_entry& entry)
                      {
                          return entry.index >= output.truncate_from;
                      });
    }
    of.disk.entries.insert(of.disk.entries.end(), output.entries.begin(), output.entries.end());
}

void replica_simulation::save_snapshot_if_due(vm& of)
{
    of.process->set_snapshot_pending(of.snapshots.is_fresh_snapshot_pending(local_time(of), of.applied));
    if (now_ < of.busy_until || !of.snapshots.is_due(local_time(of), of.applied, {}))
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

void replica_simulation::send(vm& from, const message& sent, duration delay)
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
             [this, to, sent, from = &from]
             {
                 const bool connected = now_ >= std::max(from->connected_at, to->connected_at);
                 if (to->process != nullptr && connected && now_ >= to->reachable_at)
                 {
                     to->inbox.push_back(sent);
                 }
             });
}

void replica_simulation::send_snapshot(vm& from, vm& to, const message& sent)
{
    snapshot_channel& on = from.snapshot_channels[to.address];
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

void replica_simulation::begin_transfer(vm& from, vm& to)
{
    snapshot_channel& on = from.snapshot_channels[to.address];
    const std::optional<message> next = on.queue.pop();
    if (!next.has_value())
    {
        return;
    }
    on.busy = true;
    ++on.transfer;
    ++result_.snapshots_sent;
    time_point ends =
        now_ + (random_() % 2 == 0 ? load_.connect_timeout : duration(connection_refused_delay));
    if (to.process != nullptr)
    {
        from.link_idle_at = std::max(now_, from.link_idle_at) + load_.transfer_time;
        ends = from.link_idle_at + from.extra_delay + to.extra_delay;
    }
    schedule(ends,
             [this,
              &from,
              &to,
              sent = *next,
              from_incarnation = from.incarnation,
              to_incarnation = to.incarnation,
              transfer = on.transfer]
             {
                 if (from.incarnation != from_incarnation ||
                     from.snapshot_channels[to.address].transfer != transfer ||
                     !from.snapshot_channels[to.address].busy)
                 {
                     return;
                 }
                 const bool connected = now_ >= std::max(from.connected_at, to.connected_at);
                 const bool delivered =
                     connected && to.process != nullptr && to.incarnation == to_incarnation;
                 snapshot_channel& ended = from.snapshot_channels[to.address];
                 ended.busy = false;
                 ended.queue.finish(delivered);
                 if (delivered)
                 {
                     to.inbox.push_back(sent);
                 }
                 begin_transfer(from, to);
             });
}

// ---- invariants --------------------------------------------------------------------------------

void replica_simulation::check_committed(vm& of, const std::vector<log_entry>& committed)
{
    for (const log_entry& entry : committed)
    {
        of.applied = entry.index;
        const auto [found, added] = committed_.try_emplace(entry.index, entry.term);
        if (!added && found->second != entry.term)
        {
            result_.violations.push_back(of.address + " committed a different entry " +
                                         std::to_string(entry.index));
        }
    }
    if (of.process->holds_lease(local_time(of)) && !committed_.empty() &&
        of.process->last_index() < committed_.rbegin()->first)
    {
        result_.violations.push_back(of.address + " holds a lease without entry " +
                                     std::to_string(committed_.rbegin()->first));
    }
}

// A VM that holds the lease by its own clock answers reads from the entries that it has applied.
void replica_simulation::check_reads()
{
    for (const std::unique_ptr<vm>& current : vms_)
    {
        if (current->process == nullptr || current->suspended ||
            !current->process->holds_lease(local_time(*current)))
        {
            continue;
        }
        if (current->applied < acknowledged_)
        {
            ++result_.stale_reads;
            continue;
        }
        acknowledged_ = current->applied;
        if (current->process->term() > last_serving_term_)
        {
            last_serving_term_ = current->process->term();
            ++result_.leaderships;
            const node& process = *current->process;
            earlier_lease_ends_[process.term()] = process.earlier_lease_end();
            result_.times_since_lease.push_back(
                std::chrono::duration_cast<duration>(process.leader_since() - process.earlier_lease_end()));
        }
        check_earlier_leases(*current);
    }
}

// Times of different VMs compare only while all clocks count the same time.
void replica_simulation::check_earlier_leases(const vm& serving)
{
    const auto later = earlier_lease_ends_.upper_bound(serving.process->term());
    const auto contradicted = std::find_if(later,
                                           earlier_lease_ends_.end(),
                                           [this](const auto& entry)
                                           {
                                               return entry.second < now_;
                                           });
    if (!load_.clock_stops_while_suspended && contradicted != earlier_lease_ends_.end())
    {
        result_.violations.push_back(serving.address + " holds a lease that term " +
                                     std::to_string(contradicted->first) + " takes for expired");
    }
    if (load_.clock_stops_while_suspended || serving.process->term() != last_serving_term_)
    {
        return;
    }
    if (last_served_at_ > earlier_lease_ends_.at(last_serving_term_) &&
        last_served_term_ < last_serving_term_)
    {
        result_.violations.push_back(serving.address + " takes the lease of term " +
                                     std::to_string(last_served_term_) + " for expired too early");
    }
    last_served_term_ = serving.process->term();
    last_served_at_ = now_;
}

time_point replica_simulation::local_time(const vm& of) const
{
    return now_ - of.missed;
}

void replica_simulation::record_regained_votes()
{
    const vm* current_leader = leader();
    if (current_leader == nullptr || current_leader->process->membership_change_pending())
    {
        return;
    }
    std::erase_if(join_requested_at_,
                  [this, current_leader](const auto& current)
                  {
                      const bool votes = current_leader->process->members().is_voter(current.first);
                      // A disk that votes asks again if it restarts before it knows of its membership.
                      if (votes && disks_with_vote_.insert(current.first).second)
                      {
                          ++result_.votes_regained;
                          result_.vote_delays.push_back(
                              std::chrono::duration_cast<duration>(now_ - current.second));
                      }
                      return votes;
                  });
}

replica_simulation::vm* replica_simulation::leader()
{
    for (const std::unique_ptr<vm>& current : vms_)
    {
        if (current->process != nullptr && !current->suspended &&
            current->process->holds_lease(local_time(*current)))
        {
            return current.get();
        }
    }
    return nullptr;
}

replica_simulation::vm* replica_simulation::find(const std::string& address)
{
    const auto found = std::find_if(vms_.begin(),
                                    vms_.end(),
                                    [&address](const std::unique_ptr<vm>& current)
                                    {
                                        return current->address == address;
                                    });
    return found == vms_.end() ? nullptr : found->get();
}

duration replica_simulation::random(duration most)
{
    return duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most.count() + 1)));
}

} // namespace plumspoke::test

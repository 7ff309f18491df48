#include "plumspoke/replica/driver.hpp"

#include "plumspoke/logging/event.hpp"
#include "plumspoke/logging/logging.hpp"
#include "plumspoke/metrics/thread_meter.hpp"

#include <algorithm>
#include <chrono>
#include <future>
#include <iomanip>
#include <iterator>
#include <numeric>
#include <random>
#include <sstream>
#include <utility>

namespace plumspoke::replica
{

namespace
{

constexpr auto tick_interval = milliseconds(20);
constexpr std::size_t max_inbox = 4096;
constexpr auto disk_full_retry_interval = milliseconds(50); // space may be freed at any time
constexpr auto slow_round = milliseconds(100);              // heartbeats are sent and answered between rounds
constexpr const char* log_component = "replica";
constexpr std::uint64_t nanoseconds_per_microsecond = 1000;

std::int64_t to_ms(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

std::uint64_t random_number()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string new_identity(const std::string& name)
{
    std::ostringstream id;
    id << name << '.' << std::hex << std::setw(16) << std::setfill('0') << random_number();
    return id.str();
}

/// @brief Time left until a deadline, at least zero.
duration remaining_until(time_point until)
{
    return std::max(duration::zero(), std::chrono::duration_cast<duration>(until - boot_clock::now()));
}

} // namespace

std::size_t jittered_snapshot_interval(std::string_view id, std::size_t configured) noexcept
{
    // 64-bit FNV-1a (Fowler, Noll, Vo): unlike std::hash, it is the same in every run and build.
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char character : id)
    {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3U;
    }
    return configured - static_cast<std::size_t>(hash % (configured / 2 + 1));
}

// ---- construction ------------------------------------------------------------------------------

driver::driver(driver_options options, storage& disk, state_machine& machine, transport& network)
    : options_(options), storage_(disk), machine_(machine), transport_(network)
{
}

driver::~driver()
{
    stop();
}

std::error_code driver::start(const std::string& name)
{
    restored_state restored;
    std::error_code failed = storage_.open(restored);
    if (failed == errc::no_identity)
    {
        failed = storage_.write_identity(new_identity(name));
        PLUMSPOKE_LOG(INFO, log_component)
            << "The data folder has no identity. Joining as " << storage_.identity() << ".";
    }
    if (failed)
    {
        return failed;
    }
    if (!restored.base.data.empty())
    {
        machine_.restore(restored.base.data);
    }
    applied_index_ = restored.base.index;
    snapshots_ = {{jittered_snapshot_interval(storage_.identity(), options_.snapshot_interval),
                   jittered_snapshot_interval(storage_.identity(), options_.max_log_bytes)},
                  restored.base.index};
    synced_hard_ = restored.hard;
    const time_point now = boot_clock::now();
    log_restored(now, restored);
    node_ =
        std::make_unique<node>(storage_.identity(), options_.node, std::move(restored), now, random_number());
    publish();
    thread_ = std::thread(
        [this]
        {
            run();
        });
    return {};
}

void driver::log_restored(time_point now, const restored_state& restored) const
{
    const std::optional<time_point> limit = restored.acknowledgement_limit;
    const std::int64_t limit_age_ms =
        limit.has_value() ? to_ms(std::chrono::duration_cast<duration>(now - *limit)) : -1;
    logging::write(logging::event(log_component, "restored", "Read the replica's state from its disk.")
                       .with("index", static_cast<std::int64_t>(restored.base.index))
                       .with("entries", static_cast<std::int64_t>(restored.entries.size()))
                       .with("log_bytes", static_cast<std::int64_t>(storage_.log_bytes()))
                       .with("acknowledgement_limit", limit.has_value() ? 1 : 0)
                       .with("acknowledgement_limit_age_ms", limit_age_ms));
}

void driver::stop()
{
    {
        const std::lock_guard lock(mutex_);
        if (stopping_.exchange(true))
        {
            return;
        }
    }
    wake_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
    }
    fail_all_proposals(errc::stopping);
}

// ---- events ------------------------------------------------------------------------------------

std::error_code driver::enqueue(std::string& command, proposal_callback& done, term_number term)
{
    const std::lock_guard lock(mutex_);
    if (stopping_)
    {
        return errc::stopping;
    }
    if (status_.current_role != role::leader)
    {
        return errc::not_leader;
    }
    if (queued_proposals_.size() >= options_.max_queued_proposals ||
        queued_bytes_ >= options_.max_queued_bytes)
    {
        return errc::queue_full;
    }
    queued_bytes_ += command.size();
    queued_proposals_.push_back({std::move(command), std::move(done), term});
    return {};
}

void driver::propose(std::string command, proposal_callback done, term_number term)
{
    if (const std::error_code refused = enqueue(command, done, term); refused)
    {
        done({refused, {}}); // enqueue does not move from it on errors
        return;
    }
    wake_.notify_one();
}

proposal_result driver::propose_and_wait(std::string command, duration limit)
{
    auto promise = std::make_shared<std::promise<proposal_result>>();
    std::future<proposal_result> future = promise->get_future();
    propose(std::move(command),
            [promise](proposal_result result)
            {
                promise->set_value(std::move(result));
            });
    if (future.wait_for(limit) != std::future_status::ready)
    {
        return {errc::lost_leadership, {}};
    }
    return future.get();
}

void driver::receive(message received, const std::string& from_address)
{
    {
        const std::lock_guard lock(mutex_);
        if (!from_address.empty() && sender_addresses_.size() < max_inbox)
        {
            sender_addresses_[received.from] = from_address;
        }
        if (inbox_.size() >= max_inbox)
        {
            return; // treated as lost by the network; the sender repeats it
        }
        inbox_.push_back(std::move(received));
    }
    wake_.notify_one();
}

bool driver::join(const member& joining)
{
    {
        const std::lock_guard lock(mutex_);
        if (status_.current_role != role::leader)
        {
            return false;
        }
        if (status_.members.find(joining.id) != nullptr)
        {
            return true;
        }
        join_requests_.add(joining, boot_clock::now());
    }
    // Connections to the lost disk's process have failed for as long as its VM was down.
    transport_.reconnect(joining.address);
    return true;
}

replica_status driver::status() const
{
    const std::lock_guard lock(mutex_);
    return status_;
}

bool driver::holds_lease(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return status_.holds_lease(now);
}

// ---- the thread --------------------------------------------------------------------------------

void driver::run()
{
    std::vector<message> messages;
    std::vector<queued_proposal> proposals;
    while (!stopping_)
    {
        drain_events(messages, proposals);
        const time_point now = boot_clock::now();
        phase_times_ = {};
        phase_ended_at_ = now;
        const std::size_t received = messages.size();
        const std::size_t proposed = proposals.size();
        process_events(now, messages, proposals);
        manage_membership(now);
        record_phase(round_phase::receive);
        if (!process_output(now))
        {
            return;
        }
        log_slow_round(received, proposed);
    }
    node_->step_down(boot_clock::now());
    publish();
}

void driver::record_phase(round_phase phase)
{
    const time_point now = boot_clock::now();
    phase_times_.at(static_cast<std::size_t>(phase)) +=
        std::chrono::duration_cast<duration>(now - phase_ended_at_);
    phase_ended_at_ = now;
}

void driver::log_slow_round(std::size_t messages, std::size_t proposals)
{
    const duration total = std::accumulate(phase_times_.begin(), phase_times_.end(), duration::zero());
    if (total < slow_round)
    {
        return;
    }
    const auto ms_of = [this](round_phase phase)
    {
        return to_ms(phase_times_.at(static_cast<std::size_t>(phase)));
    };
    logging::write(logging::event(log_component, "slow_round", "The replica's thread was busy for long.")
                       .with("took_ms", to_ms(total))
                       .with("receive_ms", ms_of(round_phase::receive))
                       .with("persist_ms", ms_of(round_phase::persist))
                       .with("send_ms", ms_of(round_phase::send))
                       .with("apply_ms", ms_of(round_phase::apply))
                       .with("save_ms", ms_of(round_phase::save))
                       .with("messages", static_cast<std::int64_t>(messages))
                       .with("proposals", static_cast<std::int64_t>(proposals)));
}

void driver::drain_events(std::vector<message>& messages, std::vector<queued_proposal>& proposals)
{
    const bool accepting = accepts_proposals();
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock,
                   tick_interval,
                   [this, accepting]
                   {
                       // Applying has its own bounded wait, so there is no need to wait here.
                       return stopping_ || !inbox_.empty() || (accepting && !queued_proposals_.empty()) ||
                              !is_all_applied();
                   });
    messages.assign(std::make_move_iterator(inbox_.begin()), std::make_move_iterator(inbox_.end()));
    inbox_.clear();
    proposals.clear();
    if (accepting)
    {
        take_proposals(proposals);
    }
}

// Requires mutex_ to be held.
void driver::take_proposals(std::vector<queued_proposal>& proposals)
{
    std::size_t bytes = 0;
    while (!queued_proposals_.empty() && proposals.size() < options_.max_proposals_per_round &&
           bytes < options_.max_bytes_per_round)
    {
        bytes += queued_proposals_.front().command.size();
        proposals.push_back(std::move(queued_proposals_.front()));
        queued_proposals_.pop_front();
    }
    queued_bytes_ -= bytes;
}

// Proposals stay queued while the log can't be shortened: until earlier entries are applied, or until the
// disk has space for a snapshot. On a replica that doesn't lead they fail at once.
bool driver::accepts_proposals() const noexcept
{
    const bool has_log_space = apply_queue_.size() < options_.max_queued_proposals &&
                               unapplied_bytes() < options_.max_log_bytes / 2 &&
                               storage_.log_bytes() < 2 * options_.max_log_bytes;
    return has_log_space || node_->current_role() != role::leader;
}

std::size_t driver::unapplied_bytes() const noexcept
{
    const log_index base = node_->first_index() - 1;
    return data_bytes(node_->entries_after(std::max(applied_index_, base)));
}

void driver::process_events(time_point now,
                            std::vector<message>& messages,
                            std::vector<queued_proposal>& proposals)
{
    for (const message& received : messages)
    {
        node_->receive(now, received);
    }
    node_->tick(now);
    reject_of_other_terms(proposals);
    if (proposals.empty())
    {
        return;
    }
    std::vector<std::string> commands;
    commands.reserve(proposals.size());
    for (queued_proposal& proposal : proposals)
    {
        commands.push_back(std::move(proposal.command));
    }
    const std::optional<log_index> first = node_->propose(now, commands);
    for (std::size_t i = 0; i < proposals.size(); ++i)
    {
        if (first.has_value())
        {
            pending_proposals_[*first + i] = {node_->term(), std::move(proposals[i].done)};
        }
        else
        {
            proposals[i].done({errc::not_leader, {}});
        }
    }
}

void driver::reject_of_other_terms(std::vector<queued_proposal>& proposals) const
{
    const auto rejected = std::stable_partition(proposals.begin(),
                                                proposals.end(),
                                                [this](const queued_proposal& one)
                                                {
                                                    return one.term == any_term || one.term == node_->term();
                                                });
    std::for_each(rejected,
                  proposals.end(),
                  [](const queued_proposal& one)
                  {
                      one.done({errc::not_leader, {}});
                  });
    proposals.erase(rejected, proposals.end());
}

bool driver::process_output(time_point now)
{
    // A group of one commits in the second round what the sync of the first round completes.
    for (int round = 0; round < 2; ++round)
    {
        node_output output = node_->take_output(options_.max_apply_queue_bytes -
                                                std::min(apply_queue_bytes_, options_.max_apply_queue_bytes));
        if (output.must_sync())
        {
            const time_point started_at = boot_clock::now();
            if (const std::error_code failed = persist(now, output); failed)
            {
                PLUMSPOKE_LOG(ERROR, log_component)
                    << "Writing to the disk failed. Stopping. " << failed.message();
                publish_disk_failure(now, failed);
                return false;
            }
            synced_hard_ = output.hard.value_or(synced_hard_);
            log_persisted_snapshot(output, started_at);
        }
        record_phase(round_phase::persist);
        for (const message& sent : output.messages)
        {
            if (const std::string to = address_of(sent.to); !to.empty())
            {
                transport_.send(to, sent);
            }
        }
        node_->persisted(now);
        queue_output(output);
        record_phase(round_phase::send);
    }
    const time_point until = boot_clock::now() + tick_interval;
    apply_queued(until);
    fail_lost_proposals();
    record_phase(round_phase::apply);
    const std::error_code failed = save_snapshot_if_due(until);
    record_phase(round_phase::save);
    if (failed)
    {
        PLUMSPOKE_LOG(ERROR, log_component) << "Saving a snapshot failed. Stopping. " << failed.message();
        const std::lock_guard lock(mutex_);
        status_.failure = failed;
        stopping_ = true;
        return false;
    }
    publish();
    return true;
}

void driver::log_persisted_snapshot(const node_output& output, time_point started_at)
{
    if (output.installed.has_value())
    {
        const auto elapsed = std::chrono::duration_cast<duration>(boot_clock::now() - started_at);
        logging::write(
            logging::event(log_component, "snapshot_persisted", "Persisted a snapshot from the leader.")
                .with("index", static_cast<std::int64_t>(output.installed->index))
                .with("took_ms", to_ms(elapsed)));
    }
}

// Retries while the disk is full: until the records are written, the replica acknowledges, sends and leads
// nothing, like a suspended VM. A restarted process would have to read the whole state, only to find the disk
// full again.
std::error_code driver::persist(time_point now, const node_output& output)
{
    std::error_code failed = storage_.persist(output);
    if (failed != errc::disk_full)
    {
        return failed;
    }
    logging::write(logging::event(log_component, "disk_full", "The disk is full. Waiting for free space."));
    {
        const std::lock_guard lock(mutex_);
        publish_step_down(now, step_down_reason::disk_failed);
    }
    while (failed == errc::disk_full && !stopping_)
    {
        std::this_thread::sleep_for(disk_full_retry_interval);
        failed = storage_.persist(output);
    }
    // The published status says that this replica stepped down, and the leader's loop has discarded its
    // state. Leading on in the same term would match answers to earlier proposals with later ones.
    node_->step_down(boot_clock::now(), step_down_reason::disk_failed);
    const duration waited = std::chrono::duration_cast<duration>(boot_clock::now() - now);
    logging::write(
        logging::event(
            log_component,
            "disk_again",
            "Stopped waiting for free space: the disk is writable again, or the replica is stopping.")
            .with("waited_ms", to_ms(waited))
            .with("error", failed ? failed.message() : ""));
    return failed;
}

// Requires mutex_ to be held.
void driver::publish_step_down(time_point now, step_down_reason reason)
{
    if (status_.is_leader())
    {
        status_.last_leadership = {};
        status_.last_leadership.term = status_.term;
        status_.last_leadership.reason = reason;
        status_.last_leadership.ended_at = now;
        status_.last_leadership.length = std::chrono::duration_cast<duration>(now - status_.leader_since);
    }
    status_.current_role = role::follower;
    status_.lease_end = time_point{};
}

void driver::publish_disk_failure(time_point now, std::error_code failed)
{
    const std::lock_guard lock(mutex_);
    publish_step_down(now, step_down_reason::disk_failed);
    status_.failure = failed;
    stopping_ = true;
}

void driver::log_candidacy()
{
    const candidacy& last = node_->last_candidacy();
    if (last.number == candidacies_logged_)
    {
        return;
    }
    candidacies_logged_ = last.number;
    logging::write(
        logging::event(log_component,
                       "election",
                       "Starting an election: no message from a leader within the election timeout.")
            .with("term", static_cast<std::int64_t>(node_->term()))
            .with("last_leader", last.last_leader)
            .with("since_heard_ms", to_ms(last.since_leader_contact))
            .with("longest_gap_ms", to_ms(last.longest_event_gap)));
}

std::string driver::address_of(const member_id& id) const
{
    if (const member* known = node_->members().find(id); known != nullptr)
    {
        return known->address;
    }
    const std::lock_guard lock(mutex_);
    const auto found = sender_addresses_.find(id);
    return found == sender_addresses_.end() ? std::string() : found->second;
}

void driver::queue_output(node_output& output)
{
    if (output.installed.has_value())
    {
        apply_queue_.clear(); // the snapshot covers these entries
        apply_queue_bytes_ = 0;
        fail_proposals_after(0);
        snapshots_.on_saved(output.installed->index);
        snapshot_to_install_ = std::move(output.installed);
    }
    if (!output.committed.empty())
    {
        ++commit_rounds_;
    }
    apply_queue_bytes_ += data_bytes(output.committed);
    std::move(output.committed.begin(), output.committed.end(), std::back_inserter(apply_queue_));
}

bool driver::is_all_applied() const noexcept
{
    return !snapshot_to_install_.has_value() && applied_index_ >= node_->commit_index();
}

void driver::apply_queued(time_point until)
{
    if (!install_queued_snapshot(until))
    {
        return;
    }
    while (!apply_queue_.empty() && apply_entry(apply_queue_.front(), until))
    {
        apply_queue_bytes_ -= apply_queue_.front().data.size();
        apply_queue_.pop_front();
        if (boot_clock::now() >= until)
        {
            return; // many short entries delay heartbeats, too
        }
    }
}

bool driver::install_queued_snapshot(time_point until)
{
    if (!snapshot_to_install_.has_value())
    {
        return true;
    }
    if (!machine_.try_restore(snapshot_to_install_->data, remaining_until(until)))
    {
        return false;
    }
    applied_index_ = snapshot_to_install_->index;
    logging::write(logging::event(log_component, "snapshot_taken", "Restored a snapshot from the leader.")
                       .with("index", static_cast<std::int64_t>(applied_index_))
                       .with("bytes", static_cast<std::int64_t>(snapshot_to_install_->data.size())));
    snapshot_to_install_.reset();
    return true;
}

bool driver::apply_entry(const log_entry& entry, time_point until)
{
    std::optional<std::string> answer = std::string();
    if (entry.kind == entry_kind::command)
    {
        answer = machine_.try_apply(entry, remaining_until(until));
    }
    if (!answer.has_value())
    {
        return false;
    }
    applied_index_ = entry.index;
    snapshots_.on_applied(entry.data.size());
    complete_proposal(entry, std::move(*answer));
    return true;
}

void driver::complete_proposal(const log_entry& entry, std::string answer)
{
    const auto found = pending_proposals_.find(entry.index);
    if (found == pending_proposals_.end())
    {
        return;
    }
    proposal_callback done = std::move(found->second.done);
    const bool own = found->second.term == entry.term;
    pending_proposals_.erase(found);
    if (own)
    {
        done({{}, std::move(answer), entry.index, entry.term});
        return;
    }
    done({errc::lost_leadership, {}});
}

void driver::fail_lost_proposals()
{
    if (node_->current_role() == role::leader || pending_proposals_.empty())
    {
        return;
    }
    // The proposals of committed entries complete when the entries are applied.
    fail_proposals_after(node_->commit_index());
}

void driver::fail_proposals_after(log_index last_kept)
{
    std::map<log_index, pending_proposal> lost;
    for (auto at = pending_proposals_.upper_bound(last_kept); at != pending_proposals_.end();)
    {
        lost.insert(pending_proposals_.extract(at++));
    }
    // Whether these entries are committed depends on the next leader, so the outcome is reported as unknown.
    for (auto& [index, proposal] : lost)
    {
        proposal.done({errc::lost_leadership, {}});
    }
}

void driver::fail_all_proposals(std::error_code error)
{
    std::map<log_index, pending_proposal> pending = std::exchange(pending_proposals_, {});
    std::deque<queued_proposal> queued;
    {
        const std::lock_guard lock(mutex_);
        queued = std::exchange(queued_proposals_, {});
        queued_bytes_ = 0;
    }
    for (auto& [index, proposal] : pending)
    {
        proposal.done({error, {}});
    }
    for (queued_proposal& proposal : queued)
    {
        proposal.done({error, {}});
    }
}

std::error_code driver::save_snapshot_if_due(time_point until)
{
    const time_point now = boot_clock::now();
    node_->set_snapshot_pending(snapshots_.is_fresh_snapshot_pending(now, applied_index_));
    if (!snapshots_.is_due(
            now, applied_index_, {snapshot_to_install_.has_value(), is_all_applied(), unapplied_bytes()}))
    {
        return {};
    }
    const time_point started_at = boot_clock::now();
    std::optional<std::string> saved = machine_.try_save(remaining_until(until));
    if (!saved.has_value())
    {
        return {}; // the state is locked; retried in the next round
    }
    const std::size_t bytes = saved->size();
    const std::uint64_t log_bytes_before = storage_.log_bytes();
    snapshot state;
    state.index = applied_index_;
    state.term = *node_->term_at(applied_index_);
    state.data = std::move(*saved);
    node_->compact(applied_index_);
    state.members = node_->members_at(applied_index_);
    const std::error_code failed =
        storage_.save_snapshot(state, synced_hard_, node_->entries_after(applied_index_));
    // The snapshot holds committed entries only, so it may be sent even if this disk failed to store it.
    node_->set_snapshot(std::move(state));
    if (failed == errc::disk_full)
    {
        snapshots_.defer(boot_clock::now());
        logging::write(logging::event(
            log_component, "snapshot_put_off", "The disk is too full for a snapshot. Retrying later."));
        return {};
    }
    if (failed)
    {
        return failed;
    }
    snapshots_.on_saved(applied_index_);
    const auto took = std::chrono::duration_cast<duration>(boot_clock::now() - started_at);
    logging::write(logging::event(log_component, "snapshot_saved", "Saved a snapshot of the state.")
                       .with("index", static_cast<std::int64_t>(applied_index_))
                       .with("bytes", static_cast<std::int64_t>(bytes))
                       .with("log_bytes_before", static_cast<std::int64_t>(log_bytes_before))
                       .with("log_bytes", static_cast<std::int64_t>(storage_.log_bytes()))
                       .with("took_ms", to_ms(took)));
    return {};
}

void driver::manage_membership(time_point now)
{
    std::vector<member> joining;
    {
        const std::lock_guard lock(mutex_);
        joining = join_requests_.pending(now, node_->members());
    }
    if (node_->current_role() != role::leader || node_->membership_change_pending())
    {
        return;
    }
    if (const std::optional<membership> changed = next_membership(*node_, joining, now, options_.node))
    {
        const bool adds_learner = node_->members().find(changed->members.back().id) == nullptr;
        if (node_->propose_membership(now, *changed))
        {
            if (adds_learner)
            {
                snapshots_.on_member_joined(now);
            }
            logging::write(logging::event(log_component, "membership", "Proposed a membership change.")
                               .with("members", static_cast<std::int64_t>(changed->members.size()))
                               .with("voters", static_cast<std::int64_t>(changed->voter_count()))
                               .with("last_member", changed->members.back().id));
        }
    }
}

void driver::publish()
{
    log_candidacy();
    replica_status status;
    status.id = node_->id();
    status.current_role = node_->current_role();
    status.term = node_->term();
    status.leader = node_->leader();
    status.members = node_->members();
    if (const member* leader = status.members.find(status.leader); leader != nullptr)
    {
        status.leader_name = leader->name;
        status.leader_address = leader->address;
    }
    status.commit_index = node_->commit_index();
    status.applied_index = applied_index_;
    status.last_index = node_->last_index();
    for (const member& current : status.members.members)
    {
        status.match.push_back(node_->match_index(current.id));
    }
    status.membership_pending = node_->membership_change_pending();
    status.lease_end = node_->lease_end();
    status.leader_since = node_->leader_since();
    status.earlier_lease_end = node_->earlier_lease_end();
    status.last_earlier_term = node_->last_earlier_term();
    // Readers need the entries to be applied, not just committed.
    status.term_committed = node_->term_committed() && applied_index_ >= node_->term_start_index();
    status.sync_count = storage_.sync_count();
    status.commit_rounds = commit_rounds_;
    status.log_disk_bytes = storage_.log_bytes();
    status.log_memory_bytes = node_->log_bytes();
    status.last_leadership = node_->last_leadership();
    status.cpu_time_us = metrics::read_thread_nanoseconds() / nanoseconds_per_microsecond;
    const std::lock_guard lock(mutex_);
    if (status.current_role != status_.current_role || status.term != status_.term)
    {
        PLUMSPOKE_LOG(INFO, log_component)
            << "Term " << status.term << ", now " << (status.is_leader() ? "leader." : "not leader.");
    }
    status_ = std::move(status);
}

} // namespace plumspoke::replica

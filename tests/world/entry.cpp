#include "world.hpp"

#include "plumspoke/endpoint/error.hpp"

#include <algorithm>

namespace plumspoke::world
{

namespace
{

constexpr auto report_interval = milliseconds(200);
constexpr auto entry_lease = milliseconds(2000);
constexpr auto retry_slot = milliseconds(20);
constexpr int max_attempts = 3;

} // namespace

/// A request in progress at an entry.
struct entry_vm::live_call
{
    call requested;
    std::uint64_t life = 0;
    std::optional<entry::request_flow> flow;
    entry::service_pointer state;
    std::function<void(entry::outcome)> done;
    std::vector<const entry::endpoint_state*> tried;
    std::uint64_t claim = 0;
    bool claimed = false;
    bool answered = false;
};

entry_vm::entry_vm(world& owner, std::string name) : process(owner, std::move(name))
{
}

void entry_vm::kill()
{
    for (const std::shared_ptr<bool>& abandoned : connections_)
    {
        *abandoned = true; // the sockets are reset when the process is killed
    }
    connections_.clear();
    table_.reset();
    version_ = 0;
    lease_end_ = time_point{};
    in_flight_ = 0;
}

void entry_vm::restart()
{
    sequence_ = 0;
    next_report_ = time_point{};
    stopping_ = false;
    stopped_ = false;
}

void entry_vm::stop()
{
    stopping_ = true;
}

void entry_vm::tick()
{
    if (stopped_)
    {
        return;
    }
    if (table_ != nullptr)
    {
        for (const auto& [name, slots] : table_->slots)
        {
            (void)slots->release_expired(now());
        }
    }
    if (now() >= next_report_)
    {
        next_report_ = now() + report_interval;
        report();
    }
    if (stopping_ && in_flight_ == 0)
    {
        stopped_ = true;
    }
}

void entry_vm::report()
{
    control::entry_report sent;
    sent.entry = name();
    sent.incarnation = "life" + std::to_string(life);
    sent.sequence = ++sequence_;
    sent.version_in_force = version_;
    if (table_ != nullptr)
    {
        for (const auto& [worker_name, slots] : table_->slots)
        {
            sent.held.push_back({worker_name, slots->held()});
        }
    }
    const time_point sent_at = now();
    const std::uint64_t sequence = sequence_;
    for (const auto& vm : world_.control_vms())
    {
        world_.send(*this,
                    *vm,
                    [this, target = vm.get(), sent, sent_at, sequence]
                    {
                        control::entry_orders orders;
                        if (!target->receive(sent, orders))
                        {
                            return;
                        }
                        const control::configuration config = target->state().config;
                        world_.send(
                            *target,
                            *this,
                            [this, orders, config, sent_at, sequence]
                            {
                                if (sequence != sequence_ || now() >= sent_at + entry_lease)
                                {
                                    return;
                                }
                                world_.facts.check(config.version >= version_,
                                                   "configuration_never_reverts: " + name() +
                                                       " was told version " + std::to_string(config.version) +
                                                       " after " + std::to_string(version_));
                                if (config.version > version_)
                                {
                                    entry::table_options options;
                                    options.retry_percent = 10;
                                    options.retry_reserve = 50;
                                    table_ = entry::make_table(config, table_.get(), {}, now(), options);
                                    version_ = config.version;
                                }
                                if (table_ != nullptr)
                                {
                                    for (const auto& row : table_->slots)
                                    {
                                        const auto found = std::find_if(orders.granted.begin(),
                                                                        orders.granted.end(),
                                                                        [&row](const control::slot_share& one)
                                                                        {
                                                                            return one.worker == row.first;
                                                                        });
                                        row.second->set_granted(found == orders.granted.end() ? 0
                                                                                              : found->slots);
                                    }
                                }
                                lease_end_ = std::max(lease_end_, sent_at + entry_lease);
                            });
                    });
    }
}

void entry_vm::request(const call& requested, std::function<void(entry::outcome)> done)
{
    if (!running() || stopping_)
    {
        return; // the load balancer would not route the request here
    }
    auto live = std::make_shared<live_call>();
    live->requested = requested;
    live->life = life;
    live->done = std::move(done);
    live->flow.emplace(requested.safe, max_attempts, now() + requested.deadline);
    ++in_flight_;
    const entry::service_route* route = table_ == nullptr ? nullptr : table_->find(requested.service);
    if (route == nullptr || !serving())
    {
        answer(live, entry::outcome::not_run);
        return;
    }
    live->state = route->state;
    if (requested.key.empty())
    {
        attempt(live);
        return;
    }
    claim_first(live);
}

void entry_vm::claim_first(const std::shared_ptr<live_call>& live)
{
    if (live->life != life || live->answered)
    {
        return;
    }
    if (now() >= live->flow->deadline())
    {
        answer(live, entry::outcome::not_run);
        return;
    }
    control::begin_claim value;
    value.service = live->requested.service;
    value.key = live->requested.key;
    value.digest = "same";
    value.entry = live->requested.id;
    value.deadline_ms = std::chrono::duration_cast<milliseconds>(live->requested.deadline).count();
    control_vm& target = *world_.control_vms()[target_++ % world_.control_vms().size()];
    world_.send(
        *this,
        target,
        [this, live, value, &target]
        {
            target.propose(
                value,
                [this, live, &target](std::error_code error, const control::command_answer& command_result)
                {
                    if (error)
                    {
                        return;
                    }
                    world_.send(target,
                                *this,
                                [this, live, command_result]
                                {
                                    if (live->life != life || live->answered || live->claimed)
                                    {
                                        return;
                                    }
                                    const control::claim found = command_result.detail.get<control::claim>();
                                    switch (found.state)
                                    {
                                    case control::claim_state::granted:
                                        live->claimed = true;
                                        live->claim = found.id;
                                        attempt(live);
                                        return;
                                    case control::claim_state::done:
                                        answer(live, entry::outcome::done);
                                        return;
                                    case control::claim_state::mismatch:
                                    case control::claim_state::refused:
                                        answer(live, entry::outcome::not_run);
                                        return;
                                    default:
                                        answer(live, entry::outcome::unknown);
                                        return;
                                    }
                                });
                });
        });
    world_.after(milliseconds(200),
                 [this, live]
                 {
                     if (!live->claimed)
                     {
                         claim_first(live);
                     }
                 });
}

void entry_vm::attempt(const std::shared_ptr<live_call>& live)
{
    if (live->life != life || live->answered)
    {
        return;
    }
    if (!running())
    {
        world_.at(frozen_until_us + 1,
                  [this, live]
                  {
                      attempt(live);
                  });
        return;
    }
    const entry::service_route* route = table_ == nullptr ? nullptr : table_->find(live->requested.service);
    if (route == nullptr || !serving() || now() >= live->flow->deadline())
    {
        answer(live, live->flow->outcome_if_abandoned());
        return;
    }
    const entry::endpoint_pointer target =
        entry::choose_endpoint(*route, "", now(), world_.random(), live->tried);
    if (target == nullptr)
    {
        world_.after(retry_slot,
                     [this, live]
                     {
                         attempt(live);
                     });
        return;
    }
    live->flow->begin_attempt();
    target->record_sent(now());
    auto abandoned = std::make_shared<bool>(false);
    auto ended = std::make_shared<bool>(false);
    connections_.push_back(abandoned);
    worker* endpoint = world_.find_worker(target->slots().worker());
    world_.send(*this,
                *endpoint,
                [this, live, target, endpoint, abandoned, ended, delivered = std::make_shared<bool>(false)]
                {
                    endpoint->serve(
                        live->requested,
                        abandoned,
                        delivered,
                        [this, live, target, endpoint, ended](int status)
                        {
                            world_.send(*endpoint,
                                        *this,
                                        [this, live, target, ended, status]
                                        {
                                            if (*ended)
                                            {
                                                return; // late answer: the connection is already closed
                                            }
                                            *ended = true;
                                            entry::attempt_result end;
                                            end.reached = endpoint::progress::answered;
                                            end.status = status;
                                            end_attempt(live, target, end);
                                        });
                        },
                        [this, live, target, abandoned, ended]
                        {
                            if (*ended || live->life != life)
                            {
                                return;
                            }
                            *ended = true;
                            *abandoned = true;
                            entry::attempt_result end;
                            end.reached = endpoint::progress::sent;
                            end.error = endpoint::errc::closed_before_answer;
                            end_attempt(live, target, end);
                        });
                });
    time_out(live, target, abandoned, ended);
}

void entry_vm::time_out(const std::shared_ptr<live_call>& live,
                        const entry::endpoint_pointer& target,
                        const std::shared_ptr<bool>& abandoned,
                        const std::shared_ptr<bool>& ended)
{
    const auto left = std::chrono::duration_cast<duration>(live->flow->deadline() - now());
    const std::int64_t at_us =
        std::max(world_.true_us() + std::max<std::int64_t>(left.count(), 1000), frozen_until_us + 1);
    world_.at(at_us,
              [this, live, target, abandoned, ended]
              {
                  if (*ended || live->life != life)
                  {
                      return;
                  }
                  if (!running() || now() < live->flow->deadline())
                  {
                      time_out(
                          live, target, abandoned, ended); // the process was frozen, or its clock is slow
                      return;
                  }
                  *ended = true;
                  *abandoned = true;
                  entry::attempt_result end;
                  end.reached = endpoint::progress::sent;
                  end.error = endpoint::errc::answer_timeout;
                  end_attempt(live, target, end);
              });
}

void entry_vm::end_attempt(const std::shared_ptr<live_call>& live,
                           const entry::endpoint_pointer& target,
                           const entry::attempt_result& end)
{
    if (live->life != life)
    {
        return;
    }
    if (end.error)
    {
        target->slots().schedule_release(now() + 2 * live->requested.deadline);
        target->record_failure(now(), true);
    }
    else
    {
        target->slots().release();
        target->record_success(milliseconds(20));
    }
    const entry::retry_decision decided = live->flow->decide(now(), end, live->state->budget());
    if (std::holds_alternative<entry::retry_attempt>(decided))
    {
        live->tried.push_back(target.get());
        attempt(live);
        return;
    }
    if (const auto* passed = std::get_if<entry::forward_answer>(&decided))
    {
        answer(live, passed->reported);
        return;
    }
    answer(live, std::get<entry::abandon_request>(decided).reported);
}

void entry_vm::record_claim(const std::shared_ptr<live_call>& live, entry::outcome reported_outcome)
{
    control::finish_claim value;
    value.service = live->requested.service;
    value.key = live->requested.key;
    value.id = live->claim;
    value.state = reported_outcome == entry::outcome::done      ? control::claim_state::done
                  : reported_outcome == entry::outcome::not_run ? control::claim_state::granted
                                                                : control::claim_state::unknown;
    for (const auto& vm : world_.control_vms())
    {
        world_.send(*this,
                    *vm,
                    [target = vm.get(), value]
                    {
                        target->propose(value, [](std::error_code, const control::command_answer&) {});
                    });
    }
}

void entry_vm::answer(const std::shared_ptr<live_call>& live, entry::outcome reported_outcome)
{
    if (live->answered || live->life != life)
    {
        return;
    }
    live->answered = true;
    --in_flight_;
    if (live->claimed)
    {
        record_claim(live, reported_outcome);
    }
    ground_truth& facts = world_.facts;
    const bool ran = facts.endpoint_runs.contains(live->requested.id);
    facts.check(reported_outcome != entry::outcome::not_run || !ran,
                "not_run_is_true: " + live->requested.id + " was told not run, but it ran");
    const bool keyed_ran = !live->requested.key.empty() && facts.keyed_runs.contains(live->requested.key);
    facts.check(reported_outcome != entry::outcome::done || ran || keyed_ran,
                "answer_to_own_caller: " + live->requested.id + " was told done, but never ran");
    facts.reported_outcomes[live->requested.id] = reported_outcome;
    live->done(reported_outcome);
}

} // namespace plumspoke::world

/// @file
/// @brief HTTP requests of operators and workers, served by any control VM.

#include "control_service.hpp"
#include "grpc_log.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/logging/event.hpp"
#include "plumspoke/metrics/memory.hpp"

namespace plumspoke::job_server
{

namespace
{

constexpr const char* part = "control";
// Operators and workers try another control VM after a second.
constexpr auto answer_timeout = milliseconds(800);
constexpr auto relay_interval = milliseconds(400); // of liveness reports to the leader
constexpr auto relay_timeout = milliseconds(600);
constexpr auto registry_expiry = seconds(10); // nine missed announcements
constexpr std::size_t large_body_bytes = 64U << 10U;

http::response busy_response(const std::string& reason)
{
    http::response out = json_response(503, nlohmann::json{{"error", reason}}.dump());
    out.headers.push_back({"Retry-After", "1"});
    return out;
}

} // namespace

http::response json_response(int status, std::string text)
{
    http::response out;
    out.status = status;
    out.content_type = "application/json";
    out.body = std::move(text);
    return out;
}

http::response control_server::handle(const http::request& received)
{
    if (received.body.size() >= large_body_bytes)
    {
        return handle_large(received);
    }
    protocol::control_call call = operators_.read(received);
    return handle(call, received);
}

http::response control_server::handle_large(const http::request& received)
{
    const memory_budget::reservation reserved(large_request_budget_, received.body.size());
    if (!reserved.granted())
    {
        ++counts_.large_requests_refused;
        return busy_response("too many large requests are in progress");
    }
    protocol::control_call call = large_requests_.run(
        [this, &received]
        {
            return operators_.read(received);
        });
    return handle(call, received);
}

http::response control_server::handle(protocol::control_call& call, const http::request& received)
{
    return std::visit(
        [&](auto& one)
        {
            if constexpr (std::is_same_v<std::decay_t<decltype(one)>, protocol::evacuation_call>)
            {
                return handle(one, received);
            }
            else
            {
                return handle(one);
            }
        },
        call);
}

http::response control_server::handle(const protocol::bad_call& call)
{
    ++counts_.calls_invalid;
    logging::write(logging::event(part, "call_refused", call.message).with("status", call.status));
    return json_response(call.status, nlohmann::json{{"error", call.message}}.dump());
}

// ---- configuration -----------------------------------------------------------------------------

http::response control_server::handle(protocol::configure_call& call)
{
    ++counts_.configurations;
    const encoded_configuration encoded = large_requests_.run(
        [&call]
        {
            return encode(std::move(call.value));
        });
    if (acting())
    {
        const jobs::outcome taken = configure(encoded, answer_timeout);
        if (is_durable(taken))
        {
            return json_response(200, "{}");
        }
        if (taken == jobs::outcome::refused)
        {
            return busy_response("the leader has too many commands to commit");
        }
    }
    if (configure_at_leader(encoded))
    {
        return json_response(200, "{}");
    }
    ++counts_.configurations_unanswered;
    logging::write(
        logging::event(part, "configuration_unanswered", "The configuration was not committed in time.")
            .with("version", static_cast<std::int64_t>(encoded.version))
            .with("known_leader", leader_client_.leader()));
    return json_response(503, R"({"error":"no leader has answered in time"})");
}

bool control_server::configure_at_leader(const encoded_configuration& value)
{
    wire::ConfigureRequest request;
    large_requests_.run(
        [&]
        {
            wire::JobCommand command;
            command.ParseFromString(value.command);
            request.mutable_configuration()->Swap(command.mutable_configure());
        });
    bool durable = false;
    const call_result end = leader_client_.call(boot_clock::now() + answer_timeout,
                                                [&](control_channel& to, duration limit)
                                                {
                                                    grpc::ClientContext context;
                                                    set_timeout(context, limit);
                                                    wire::OrderReply reply;
                                                    const grpc::Status status =
                                                        to.stub().Configure(&context, request, &reply);
                                                    durable = status.ok() && reply.durable();
                                                    return to_call_result(status, reply.acting());
                                                });
    return end == call_result::answered && durable;
}

http::response control_server::handle(const protocol::read_configuration_call& /*call*/)
{
    std::optional<std::string> document;
    if (acting())
    {
        document = read_configuration();
    }
    else
    {
        std::string received;
        const call_result end = leader_client_.call(boot_clock::now() + answer_timeout,
                                                    [&](control_channel& to, duration limit)
                                                    {
                                                        grpc::ClientContext context;
                                                        set_timeout(context, limit);
                                                        wire::ReadConfigurationReply reply;
                                                        const grpc::Status status =
                                                            to.stub().ReadConfiguration(&context, {}, &reply);
                                                        received = std::move(*reply.mutable_document());
                                                        return to_call_result(status, reply.acting());
                                                    });
        document = end == call_result::answered ? std::optional(std::move(received)) : std::nullopt;
    }
    if (!document.has_value() || document->empty())
    {
        ++counts_.reads_refused;
        return json_response(503, R"({"error":"the newest configuration is not known for sure"})");
    }
    return json_response(200, std::move(*document));
}

// ---- workers -----------------------------------------------------------------------------------

http::response control_server::handle(const protocol::announce_call& call)
{
    ++counts_.announcements;
    const time_point now = boot_clock::now();
    {
        const std::lock_guard lock(registry_mutex_);
        registry_.receive(now, call.worker);
    }
    if (acting())
    {
        deliver({call.worker});
        return operators_.write(protocol::announce_answer{relays_.choose(now, call.worker.life.id)});
    }
    if (wait_until_relayed(call.worker.life))
    {
        return operators_.write(protocol::announce_answer());
    }
    ++counts_.announcements_refused;
    return json_response(503, R"({"error":"the leader is not reached"})");
}

http::response control_server::handle(const protocol::goodbye_call& call)
{
    const time_point now = boot_clock::now();
    std::vector<fleet::announcement> changed;
    {
        const std::lock_guard lock(registry_mutex_);
        changed = registry_.handle_goodbye(now, call.worker);
    }
    if (!changed.empty() && acting())
    {
        deliver(changed);
    }
    return json_response(200, "{}");
}

bool control_server::wait_until_relayed(const fleet::worker_life& life)
{
    std::unique_lock lock(registry_mutex_);
    const auto is_relayed = [&]
    {
        return stopping_ || registry_.is_relayed(leader_client_.leader_term(), life);
    };
    if (!is_relayed())
    {
        relay_pending_ = true;
        relay_requested_.notify_one();
        relay_done_.wait_for(lock, answer_timeout, is_relayed);
    }
    return registry_.is_relayed(leader_client_.leader_term(), life);
}

void control_server::relay_announcements()
{
    while (!stopping_)
    {
        {
            std::unique_lock lock(registry_mutex_);
            relay_requested_.wait_for(lock,
                                      relay_interval,
                                      [this]
                                      {
                                          return stopping_ || relay_pending_;
                                      });
            relay_pending_ = false;
            registry_.expire(boot_clock::now(), registry_expiry);
        }
        const std::uint64_t term = leader_client_.leader_term();
        if (term != 0 && !acting())
        {
            relay_once(term);
        }
    }
}

void control_server::relay_once(std::uint64_t leader_term)
{
    wire::RelayRequest request;
    std::vector<fleet::announcement> changed;
    {
        const std::lock_guard lock(registry_mutex_);
        changed = registry_.changed_since_relay(leader_term);
        for (const fleet::worker_life& life : registry_.alive_since_relay(leader_term))
        {
            request.add_alive(life.id);
            request.add_alive_born_ms(life.born_ms);
        }
    }
    // Sent without content too: it shows the leader that this VM relays.
    request.set_from(settings_.internal);
    request.set_announce_to(settings_.listen);
    for (const fleet::announcement& one : changed)
    {
        *request.add_changed() = to_wire(one);
    }
    wire::RelayReply reply;
    const call_result end = leader_client_.call(boot_clock::now() + relay_timeout,
                                                [&](control_channel& to, duration limit)
                                                {
                                                    grpc::ClientContext context;
                                                    set_timeout(context, limit);
                                                    const grpc::Status status =
                                                        to.stub().Relay(&context, request, &reply);
                                                    return to_call_result(status, reply.acting());
                                                });
    if (end != call_result::answered || leader_client_.leader_term() != leader_term)
    {
        return; // the leader has changed; everything is sent to the new one
    }
    std::vector<fleet::worker_life> unknown;
    for (int i = 0; i < reply.unknown_size(); ++i)
    {
        const bool has_born_ms = i < reply.unknown_born_ms_size(); // absent from older control VMs
        unknown.push_back({reply.unknown(i), has_born_ms ? reply.unknown_born_ms(i) : 0});
    }
    const std::lock_guard lock(registry_mutex_);
    registry_.mark_relayed(leader_term, changed);
    registry_.mark_unknown(unknown);
    relay_done_.notify_all();
}

void control_server::deliver(const std::vector<fleet::announcement>& changed)
{
    const time_point now = boot_clock::now();
    {
        const std::lock_guard lock(registry_mutex_);
        for (const fleet::announcement& one : changed)
        {
            registry_.receive(now, one);
        }
    }
    boost::asio::post(context_,
                      [this, now, changed]
                      {
                          const metrics::scoped_loop_part measured(metrics::loop_part::announcements);
                          for (const fleet::announcement& one : changed)
                          {
                              dispatcher_.announced(now, one);
                          }
                          schedule_step();
                      });
}

std::vector<fleet::worker_life> control_server::refresh_alive(const std::vector<fleet::worker_life>& lives)
{
    const time_point now = boot_clock::now();
    std::vector<fleet::worker_life> unknown;
    std::vector<fleet::announcement> known;
    {
        const std::lock_guard lock(registry_mutex_);
        for (const fleet::worker_life& life : lives)
        {
            const std::optional<fleet::announcement> last = registry_.find(life);
            if (!last.has_value())
            {
                unknown.push_back(life);
                continue;
            }
            registry_.receive(now, *last);
            known.push_back(*last);
        }
    }
    boost::asio::post(context_,
                      [this, now, known = std::move(known)]
                      {
                          const metrics::scoped_loop_part measured(metrics::loop_part::announcements);
                          for (const fleet::announcement& one : known)
                          {
                              if (!dispatcher_.refresh_liveness(now, one.life))
                              {
                                  dispatcher_.announced(now, one);
                              }
                          }
                      });
    return unknown;
}

// ---- metrics -----------------------------------------------------------------------------------

namespace
{

using counter_lines = std::vector<metrics::counter_line>;

void add(counter_lines& to, const char* name, const char* key, const char* value, std::uint64_t count)
{
    to.push_back({name, metrics::label(key, value), count});
}

void add_server_lines(counter_lines& to, const control_counts& counts)
{
    to.push_back({"plumspoke_announcements_total", "", counts.announcements});
    to.push_back({"plumspoke_announcements_refused_total", "", counts.announcements_refused});
    to.push_back({"plumspoke_configurations_total", "", counts.configurations});
    to.push_back({"plumspoke_large_requests_refused_total", "", counts.large_requests_refused});
    to.push_back({"plumspoke_evacuations_total", "", counts.evacuations});
    to.push_back({"plumspoke_evacuations_unanswered_total", "", counts.evacuations_unanswered});
    to.push_back({"plumspoke_evacuations_abandoned_total", "", counts.evacuations_abandoned});
    to.push_back({"plumspoke_evacuation_conflicts_total", "", counts.evacuation_conflicts});
    to.push_back({"plumspoke_calls_invalid_total", "", counts.calls_invalid});
    to.push_back({"plumspoke_configurations_unanswered_total", "", counts.configurations_unanswered});
    to.push_back({"plumspoke_configuration_reads_refused_total", "", counts.reads_refused});
    to.push_back({"plumspoke_submits_total", "", counts.submits});
    to.push_back({"plumspoke_submits_refused_total", "", counts.submits_refused});
    to.push_back({"plumspoke_submits_refused_behind_total", "", counts.submits_refused_behind});
    to.push_back({"plumspoke_submits_undecided_total", "", counts.submits_undecided});
    to.push_back({"plumspoke_cancels_total", "", counts.cancels});
    to.push_back({"plumspoke_leader_changes_total", "", counts.leader_changes});
    to.push_back({"plumspoke_steps_without_lease_total", "", counts.steps_without_lease});
    to.push_back({"plumspoke_steps_given_way_total", "", counts.steps_yielded});
}

void add_replica_lines(counter_lines& to, const replica::replica_status& status)
{
    to.push_back({"plumspoke_syncs_total", "", status.sync_count});
    to.push_back({"plumspoke_commit_rounds_total", "", status.commit_rounds});
    to.push_back({"plumspoke_term", "", status.term});
    to.push_back({"plumspoke_leading", "", status.is_leader() ? 1U : 0U});
    to.push_back({"plumspoke_log_disk_bytes", "", status.log_disk_bytes});
    to.push_back({"plumspoke_log_memory_bytes", "", status.log_memory_bytes});
    to.push_back({"plumspoke_process_anonymous_bytes", "", metrics::read_anonymous_bytes()});
}

void add_processor_lines(counter_lines& to, const metrics::thread_meter& loop, std::uint64_t replica_us)
{
    for (std::size_t i = 0; i < metrics::loop_part_count; ++i)
    {
        const auto part_of_loop = static_cast<metrics::loop_part>(i);
        to.push_back({"plumspoke_loop_cpu_microseconds_total",
                      metrics::label("part", to_string(part_of_loop)),
                      loop.microseconds(part_of_loop)});
    }
    for (std::size_t i = 0; i < metrics::loop_part_count; ++i)
    {
        const auto part_of_loop = static_cast<metrics::loop_part>(i);
        to.push_back({"plumspoke_loop_passes_total",
                      metrics::label("part", to_string(part_of_loop)),
                      loop.passes(part_of_loop)});
    }
    to.push_back({"plumspoke_replica_cpu_microseconds_total", "", replica_us});
    to.push_back({"plumspoke_process_cpu_microseconds_total", "", metrics::read_process_microseconds()});
}

void add_http_lines(counter_lines& to, const http::server& server)
{
    to.push_back({"plumspoke_http_connections_total", "", server.connections()});
    to.push_back(
        {"plumspoke_http_open_connections", "", static_cast<std::uint64_t>(server.open_connections())});
    to.push_back({"plumspoke_http_in_flight", "", static_cast<std::uint64_t>(server.in_flight())});
    to.push_back({"plumspoke_http_threads", "", static_cast<std::uint64_t>(server.threads())});
    const http::descriptor_search_counts counts = http::read_descriptor_search_counts();
    to.push_back({"plumspoke_http_descriptor_searches_total", "", counts.searches});
    to.push_back({"plumspoke_http_searched_descriptors_total", "", counts.descriptors});
}

void add_log_lines(counter_lines& to, const logging::dropped_lines& dropped)
{
    add(to, "plumspoke_log_lines_dropped_total", "reason", "over_budget", dropped.over_budget);
    add(to, "plumspoke_log_lines_dropped_total", "reason", "not_writable", dropped.not_writable);
}

void add_lapse_lines(counter_lines& to, const dispatch::lapse_counts& counts)
{
    for (std::size_t finder_index = 0; finder_index < dispatch::lapse_detector_count; ++finder_index)
    {
        const std::string finder =
            metrics::label("found_by", to_string(static_cast<dispatch::lapse_detector>(finder_index)));
        for (std::size_t cause_index = 0; cause_index < dispatch::lapse_cause_count; ++cause_index)
        {
            const std::string cause =
                metrics::label("cause", to_string(static_cast<dispatch::lapse_cause>(cause_index)));
            to.push_back({"plumspoke_runs_lapsed_total",
                          finder + "," + cause,
                          counts.at(finder_index).at(cause_index)});
        }
    }
}

void add_dispatch_lines(counter_lines& to, const dispatch::dispatch_counts& counts)
{
    add(to, "plumspoke_orders_total", "kind", "start", counts.starts_ordered);
    add(to, "plumspoke_orders_total", "kind", "stop", counts.stops_ordered);
    add(to, "plumspoke_orders_total", "kind", "pace", counts.paces_ordered);
    add(to, "plumspoke_orders_total", "kind", "hold", counts.polls);
    add(to, "plumspoke_orders_failed_total", "reason", "hold_unanswered", counts.polls_unanswered);
    add(to, "plumspoke_orders_failed_total", "reason", "start_unanswered", counts.starts_unanswered);
    add(to, "plumspoke_orders_failed_total", "reason", "start_no_room", counts.starts_rejected_no_room);
    add(to, "plumspoke_orders_failed_total", "reason", "start_rejected", counts.starts_rejected_other);
    add(to, "plumspoke_run_ends_total", "how", "done", counts.ends_done);
    add(to, "plumspoke_run_ends_total", "how", "failed", counts.ends_failed);
    add(to, "plumspoke_run_ends_total", "how", "stopped", counts.ends_stopped);
    add(to, "plumspoke_run_ends_total", "how", "lapsed", counts.ends_lapsed);
    add(to, "plumspoke_run_ends_total", "how", "lost", counts.ends_lost);
    add(to, "plumspoke_run_ends_total", "how", "crashed", counts.ends_crashed);
    add(to, "plumspoke_run_ends_total", "how", "not_begun", counts.ends_not_begun);
    add(to, "plumspoke_runs_moved_total", "reason", "standstill", counts.moved_stalled);
    add(to, "plumspoke_runs_moved_total", "reason", "straggler", counts.moved_straggler);
    add(to, "plumspoke_runs_moved_total", "reason", "drain", counts.moved_drain);
    add(to, "plumspoke_runs_moved_total", "reason", "pace", counts.moved_pace);
    add_lapse_lines(to, counts.runs_lapsed);
    to.push_back({"plumspoke_workers_crashed_total", "", counts.workers_crashed});
    to.push_back({"plumspoke_tasks_given_up_total", "", counts.tasks_given_up});
    to.push_back({"plumspoke_copies_total", "", counts.copies});
    to.push_back({"plumspoke_workers_set_aside_total", "", counts.workers_set_aside});
}

void add_unconfirmed_lines(counter_lines& to, const dispatch::unconfirmed_runs& runs)
{
    add(to, "plumspoke_unconfirmed_runs", "begun", "here", runs.own);
    add(to, "plumspoke_unconfirmed_runs", "begun", "before", runs.inherited);
    to.push_back({"plumspoke_unconfirmed_jobs", "", runs.jobs});
    const auto oldest_ms = std::chrono::duration_cast<milliseconds>(runs.oldest).count();
    to.push_back({"plumspoke_unconfirmed_oldest_milliseconds", "", static_cast<std::uint64_t>(oldest_ms)});
}

void add_waiting_lines(counter_lines& to, const jobs::store& state)
{
    to.push_back({"plumspoke_evacuated_zones", "", state.evacuated_zones().size()});
    for (const jobs::queue& one : state.current().queues)
    {
        to.push_back({"plumspoke_waiting_jobs", metrics::label("queue", one.name), state.pending(one)});
    }
}

} // namespace

http::response control_server::metrics_response() const
{
    counter_lines lines;
    add_server_lines(lines, counts_);
    const replica::replica_status status = driver_->status();
    add_replica_lines(lines, status);
    add_processor_lines(lines, meter_, status.cpu_time_us);
    add_timeout_lines(lines);
    add_connection_lines(lines);
    add_http_lines(lines, *http_);
    add_log_lines(lines, logging::read_dropped());
    {
        const std::lock_guard lock(counts_mutex_);
        add_dispatch_lines(lines, dispatch_counts_);
        lines.push_back({"plumspoke_live_jobs", "", live_jobs_});
        lines.push_back({"plumspoke_live_runs", "", live_runs_});
        lines.push_back({"plumspoke_known_workers", "", known_workers_});
        add_unconfirmed_lines(lines, unconfirmed_);
    }
    state_machine_.read(
        [&lines](const jobs::store& state)
        {
            add_waiting_lines(lines, state);
        });
    http::response out;
    out.body = metrics::write_counters(lines);
    accept_to_durable_.write(out.body, "plumspoke_accept_to_durable_seconds", "");
    call_times_.write(out.body, "plumspoke_worker_call_seconds", "");
    loop_late_.write(out.body, "plumspoke_loop_late_seconds", "");
    take_over_times_.write(out.body, "plumspoke_loop_seconds", metrics::label("part", "take_over"));
    decide_times_.write(out.body, "plumspoke_loop_seconds", metrics::label("part", "decide"));
    cancel_times_.write(out.body, "plumspoke_cancel_to_stopped_seconds", "");
    carry_out_times_.write(out.body, "plumspoke_loop_seconds", metrics::label("part", "carry_out"));
    return out;
}

void control_server::add_timeout_lines(std::vector<metrics::counter_line>& to) const
{
    constexpr const char* name = "plumspoke_silent_calls_total";
    add(to, name, "kind", "worker_poll", worker_client_->timed_out().polls);
    add(to, name, "kind", "worker_order", worker_client_->timed_out().orders);
    add(to, name, "kind", "replica", transport_->timed_out_calls());
    add(to, name, "kind", "leader_link", leader_client_.timed_out_calls());
}

void control_server::add_connection_lines(std::vector<metrics::counter_line>& to) const
{
    to.push_back({"plumspoke_worker_connections", "", worker_client_->connections()});
    to.push_back({"plumspoke_calls_without_connection_total", "", worker_client_->without_connection()});
    to.push_back({"plumspoke_failed_accepts_total", "", failed_accepts()});
}

} // namespace plumspoke::job_server

#include "control_service.hpp"

#include "plumspoke/job_server/leader_backoff.hpp"
#include "plumspoke/job_server/linearizable_read.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/logging/event.hpp"
#include "plumspoke/time/time_of_day.hpp"

#include <algorithm>
#include <future>

namespace plumspoke::job_server
{

namespace
{

constexpr const char* part = "control";

void set_outcome(wire::JobReply& reply, jobs::outcome result)
{
    reply.set_outcome(static_cast<std::uint32_t>(result));
}

} // namespace

call_result to_call_result(const grpc::Status& status, bool acting)
{
    if (!status.ok())
    {
        return call_result::unknown;
    }
    return acting ? call_result::answered : call_result::not_executed;
}

wire::WorkerAnnouncement to_wire(const fleet::announcement& value)
{
    wire::WorkerAnnouncement out;
    out.set_id(value.life.id);
    out.set_born_ms(value.life.born_ms);
    out.set_service(value.service);
    out.set_address(value.address);
    out.set_zone(value.zone);
    for (const std::string& one : value.labels)
    {
        out.add_labels(one);
    }
    out.set_rack(value.rack);
    *out.mutable_room() = jobs::to_wire(value.room);
    out.set_state(static_cast<std::uint32_t>(value.state));
    out.set_time_left_ms(static_cast<std::uint32_t>(value.time_left_ms));
    out.set_sequence(value.sequence);
    out.set_vm(value.vm);
    return out;
}

fleet::announcement from_wire(const wire::WorkerAnnouncement& value)
{
    fleet::announcement out;
    out.life = {value.id(), value.born_ms()};
    out.service = value.service();
    out.address = value.address();
    out.zone = value.zone();
    out.labels.assign(value.labels().begin(), value.labels().end());
    out.rack = value.rack();
    out.room = jobs::from_wire(value.room());
    out.state = static_cast<fleet::worker_state>(value.state());
    out.time_left_ms = value.time_left_ms();
    out.sequence = value.sequence();
    out.vm = value.vm();
    return out;
}

// ---- answers of the leader ----------------------------------------------------------------------

bool control_server::acting() const
{
    return driver_->holds_lease(boot_clock::now());
}

std::optional<std::uint64_t> control_server::acting_term() const
{
    const replica::replica_status status = driver_->status();
    return status.holds_lease(boot_clock::now()) ? std::optional(status.term) : std::nullopt;
}

control_server::proposed_command
control_server::propose(const jobs::command& value,
                        replica::term_number term,
                        std::shared_ptr<const in_flight_submits::entry> registration)
{
    return propose_encoded(jobs::encode(value), term, std::move(registration));
}

control_server::proposed_command
control_server::propose_encoded(std::string command,
                                replica::term_number term,
                                std::shared_ptr<const in_flight_submits::entry> registration)
{
    const auto promise = std::make_shared<std::promise<replica::proposal_result>>();
    proposed_command out{boot_clock::now(), promise->get_future()};
    driver_->propose(
        std::move(command),
        [promise, registration = std::move(registration)](replica::proposal_result got)
        {
            promise->set_value(std::move(got));
        },
        term);
    return out;
}

replica::proposal_result control_server::await(proposed_command& command, duration limit)
{
    replica::proposal_result result{replica::errc::lost_leadership, {}};
    if (command.result.wait_for(limit) == std::future_status::ready)
    {
        result = command.result.get();
    }
    if (!result.error)
    {
        accept_to_durable_.record(
            std::chrono::duration_cast<duration>(boot_clock::now() - command.proposed_at).count());
        schedule_step();
    }
    return result;
}

replica::proposal_result control_server::commit(const jobs::command& value,
                                                duration limit,
                                                std::shared_ptr<const in_flight_submits::entry> registration)
{
    proposed_command proposed = propose(value, replica::any_term, std::move(registration));
    return await(proposed, limit);
}

control_server::encoded_configuration control_server::encode(jobs::configuration value)
{
    encoded_configuration out{value.version, value.queues.size(), {}};
    out.command = jobs::encode(jobs::configure{std::move(value)});
    return out;
}

jobs::outcome control_server::configure(const encoded_configuration& value, duration limit)
{
    proposed_command proposed = propose_encoded(large_requests_.run(
        [&value]
        {
            return value.command;
        }));
    const replica::proposal_result result = await(proposed, limit);
    if (result.error == replica::errc::not_leader)
    {
        return jobs::outcome::not_leading;
    }
    if (result.error)
    {
        return result.error == replica::errc::queue_full ? jobs::outcome::refused : jobs::outcome::undecided;
    }
    const jobs::outcome taken = jobs::decode_answer(result.answer).result;
    if (!is_durable(taken))
    {
        return taken;
    }
    logging::write(logging::event(part, "configuration", "A configuration was committed.")
                       .with("version", static_cast<std::int64_t>(value.version))
                       .with("in_force", taken == jobs::outcome::accepted ? 1 : 0)
                       .with("term", static_cast<std::int64_t>(result.term))
                       .with("index", static_cast<std::int64_t>(result.index))
                       .with("queues", static_cast<std::int64_t>(value.queues)));
    return taken;
}

std::optional<std::string> control_server::read_configuration() const
{
    std::string document;
    std::uint64_t version = 0;
    const bool is_valid = linearizable_read(
        [this]
        {
            return acting_term();
        },
        [&]
        {
            state_machine_.read(
                [&](const jobs::store& state)
                {
                    version = state.current().version;
                    document = state.current().document;
                });
        });
    const replica::replica_status status = driver_->status();
    const auto lease_left = status.lease_end - boot_clock::now();
    logging::write(logging::event(part, "configuration_read", "The leader's configuration was read.")
                       .with("version", static_cast<std::int64_t>(version))
                       .with("valid", is_valid ? 1 : 0)
                       .with("term", static_cast<std::int64_t>(status.term))
                       .with("applied", static_cast<std::int64_t>(status.applied_index))
                       .with("lease_left_ms", std::chrono::duration_cast<milliseconds>(lease_left).count()));
    return is_valid ? std::optional(std::move(document)) : std::nullopt;
}

// ---- gRPC --------------------------------------------------------------------------------------

grpc::Status control_server::service::Leader(grpc::ServerContext* /*context*/,
                                             const wire::LeaderQuery* /*request*/,
                                             wire::LeaderAnswer* reply)
{
    const replica::replica_status status = owner_.driver_->status();
    reply->set_acting(status.holds_lease(boot_clock::now()));
    reply->set_term(status.term);
    reply->set_leader_address(status.leader_address);
    for (const replica::member& one : status.members.members)
    {
        reply->add_members(one.address);
    }
    return grpc::Status::OK;
}

template <typename Reader>
bool control_server::service::read(wire::JobReply& reply, const Reader& reader) const
{
    // The lease may expire before the read if the process is starved or waits for a long decision.
    const bool is_valid = linearizable_read(
        [this]
        {
            return owner_.acting_term();
        },
        [&]
        {
            owner_.state_machine_.read(reader);
        });
    reply.set_acting(is_valid);
    if (!is_valid)
    {
        reply.Clear();
        reply.set_leader_address(owner_.driver_->status().leader_address);
        set_outcome(reply, jobs::outcome::not_leading);
    }
    return is_valid;
}

grpc::Status control_server::service::Submit(grpc::ServerContext* /*context*/,
                                             const wire::SubmitRequest* request,
                                             wire::JobReply* reply)
{
    std::uint32_t max_body = 0;
    job_path to;
    std::shared_ptr<const in_flight_submits::entry> registration;
    const bool is_valid =
        read(*reply,
             [&](const jobs::store& state)
             {
                 max_body = state.current().max_body_bytes;
                 to = resolve_job_path(state, request->host(), request->path());
                 // Under the state's lock: an earlier submit of this id is either applied or still
                 // registered.
                 if (to.problem == jobs::outcome::accepted && !to.known_job)
                 {
                     registration = std::make_shared<const in_flight_submits::entry>(owner_.submits_, to.id);
                 }
             });
    if (!is_valid)
    {
        return grpc::Status::OK;
    }
    ++owner_.counts_.submits;
    if (to.problem != jobs::outcome::accepted)
    {
        set_outcome(*reply, to.problem);
        reply->set_return_after_ms(
            to.problem == jobs::outcome::unconfigured ? jittered_return_ms(request->path()) : 0);
        return grpc::Status::OK;
    }
    if (!to.has_job_id())
    {
        set_outcome(*reply, jobs::outcome::invalid);
        return grpc::Status::OK;
    }
    if (max_body > 0 && request->body_bytes() > max_body)
    {
        set_outcome(*reply, jobs::outcome::too_large);
        return grpc::Status::OK;
    }
    if (to.known_job)
    {
        set_outcome(*reply, jobs::outcome::known);
        return grpc::Status::OK;
    }
    accept_submit(*request, to, registration, *reply);
    return grpc::Status::OK;
}

void control_server::service::accept_submit(
    const wire::SubmitRequest& request,
    const job_path& to,
    const std::shared_ptr<const in_flight_submits::entry>& registration,
    wire::JobReply& reply)
{
    if (owner_.rejects_submits_ && !registration->has_duplicate())
    {
        // The job would queue behind the leader's backlog; a retry later or through another entry need not.
        ++owner_.counts_.submits_refused;
        ++owner_.counts_.submits_refused_behind;
        logging::write(
            logging::event(part, "job_not_taken", "The leader is overloaded; the job was rejected.")
                .with("job", to.id)
                .with("queue", to.queue.name));
        set_outcome(reply, jobs::outcome::refused);
        reply.set_return_after_ms(jittered_return_ms(request.path()));
        return;
    }
    jobs::submit value;
    value.id = to.id;
    value.source_queue = to.queue;
    value.spec = jobs::from_wire(request.spec());
    value.at_ms = time_of_day_ms();
    const replica::proposal_result result =
        owner_.commit(value, milliseconds(request.limit_ms()), registration);
    if (!result.error)
    {
        const jobs::outcome taken = jobs::decode_answer(result.answer).result;
        logging::write(logging::event(part, "job_taken", "A job was committed.")
                           .with("job", value.id)
                           .with("queue", to.queue.name)
                           .with("priority", to.queue.priority)
                           .with("steps", request.spec().steps_size())
                           .with("outcome", static_cast<std::int64_t>(taken)));
        set_outcome(reply, taken);
        return;
    }
    logging::write(logging::event(part, "job_not_taken", "A job was not committed.")
                       .with("job", value.id)
                       .with("queue", to.queue.name)
                       .with("error", result.error.message()));
    const bool not_proposed =
        result.error == replica::errc::not_leader || result.error == replica::errc::queue_full;
    const bool definitely_rejected =
        not_proposed && !registration->has_duplicate(); // an earlier submit may still be committed
    if (result.error == replica::errc::not_leader)
    {
        reply.set_acting(false); // the leader has just changed; the entry calls the next one
    }
    owner_.counts_.submits_refused += definitely_rejected ? 1 : 0;
    owner_.counts_.submits_undecided += definitely_rejected ? 0 : 1;
    set_outcome(reply, definitely_rejected ? jobs::outcome::refused : jobs::outcome::undecided);
    reply.set_return_after_ms(jittered_return_ms(request.path()));
}

void control_server::service::describe_state(const jobs::store& state,
                                             const wire::JobRequest& request,
                                             wire::JobReply& reply) const
{
    const job_path to = resolve_job_path(state, request.host(), request.path());
    if (to.problem != jobs::outcome::accepted)
    {
        set_outcome(reply, to.problem);
        return;
    }
    if (to.id.empty())
    {
        reply.set_is_count(true);
        reply.set_pending(state.pending(to.queue));
        return;
    }
    if (!to.known_job)
    {
        // Runs under the state's lock: every submit is either applied already or still registered.
        const bool undecided = owner_.submits_.contains(to.id);
        set_outcome(reply, undecided ? jobs::outcome::undecided : jobs::outcome::unknown_job);
        reply.set_return_after_ms(undecided ? jittered_return_ms(request.path()) : 0);
        return;
    }
    reply.set_phase(static_cast<std::uint32_t>(state.find(to.id)->phase));
}

grpc::Status control_server::service::State(grpc::ServerContext* /*context*/,
                                            const wire::JobRequest* request,
                                            wire::JobReply* reply)
{
    (void)read(*reply,
               [&](const jobs::store& state)
               {
                   describe_state(state, *request, *reply);
               });
    return grpc::Status::OK;
}

grpc::Status control_server::service::Cancel(grpc::ServerContext* /*context*/,
                                             const wire::JobRequest* request,
                                             wire::JobReply* reply)
{
    job_path to;
    const bool is_valid = read(*reply,
                               [&](const jobs::store& state)
                               {
                                   to = resolve_job_path(state, request->host(), request->path());
                               });
    if (!is_valid)
    {
        return grpc::Status::OK;
    }
    ++owner_.counts_.cancels;
    if (to.problem != jobs::outcome::accepted || !to.has_job_id())
    {
        const bool no_such_job = to.problem == jobs::outcome::accepted;
        set_outcome(*reply, no_such_job ? jobs::outcome::unknown_job : to.problem);
        return grpc::Status::OK;
    }
    // Recorded for unknown ids too: the submit may precede the cancel in the log, or arrive later.
    const replica::proposal_result result =
        owner_.commit(jobs::cancel{to.id, time_of_day_ms()}, milliseconds(1500));
    logging::write(logging::event(part,
                                  "job_cancelled",
                                  "A cancel was proposed; an error means that it was not committed.")
                       .with("job", to.id)
                       .with("error", result.error ? result.error.message() : ""));
    if (result.error == replica::errc::not_leader)
    {
        reply->set_acting(false); // nothing was recorded; the entry calls the next leader
        set_outcome(*reply, jobs::outcome::not_leading);
        return grpc::Status::OK;
    }
    set_outcome(*reply, result.error ? jobs::outcome::undecided : jobs::decode_answer(result.answer).result);
    return grpc::Status::OK;
}

grpc::Status control_server::service::Configure(grpc::ServerContext* /*context*/,
                                                const wire::ConfigureRequest* request,
                                                wire::OrderReply* reply)
{
    reply->set_acting(owner_.acting());
    reply->set_leader_address(owner_.driver_->status().leader_address);
    if (reply->acting())
    {
        const jobs::outcome taken =
            owner_.configure(owner_.large_requests_.run(
                                 [request]
                                 {
                                     return encode(jobs::from_wire(request->configuration()));
                                 }),
                             operator_order_timeout);
        reply->set_acting(taken != jobs::outcome::not_leading);
        reply->set_durable(is_durable(taken));
    }
    return grpc::Status::OK;
}

grpc::Status control_server::service::ReadConfiguration(grpc::ServerContext* /*context*/,
                                                        const wire::ReadConfigurationRequest* /*request*/,
                                                        wire::ReadConfigurationReply* reply)
{
    std::optional<std::string> document = owner_.read_configuration();
    reply->set_acting(document.has_value());
    if (document.has_value())
    {
        reply->set_present(!document->empty());
        reply->set_document(std::move(*document));
    }
    return grpc::Status::OK;
}

grpc::Status control_server::service::Relay(grpc::ServerContext* /*context*/,
                                            const wire::RelayRequest* request,
                                            wire::RelayReply* reply)
{
    reply->set_acting(owner_.acting());
    if (!reply->acting())
    {
        return grpc::Status::OK;
    }
    owner_.relays_.record(boot_clock::now(), request->announce_to());
    std::vector<fleet::announcement> changed;
    for (const wire::WorkerAnnouncement& one : request->changed())
    {
        changed.push_back(from_wire(one));
    }
    if (!changed.empty())
    {
        owner_.deliver(changed);
    }
    std::vector<fleet::worker_life> alive;
    for (int i = 0; i < request->alive_size(); ++i)
    {
        const bool has_born_ms = i < request->alive_born_ms_size(); // absent from older control VMs
        alive.push_back({request->alive(i), has_born_ms ? request->alive_born_ms(i) : 0});
    }
    for (const fleet::worker_life& life : owner_.refresh_alive(alive))
    {
        reply->add_unknown(life.id);
        reply->add_unknown_born_ms(life.born_ms);
    }
    return grpc::Status::OK;
}

} // namespace plumspoke::job_server

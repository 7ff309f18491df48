#include "plumspoke/jobs/codec.hpp"

namespace plumspoke::jobs
{

namespace
{

wire::StepSpec to_wire(const step_spec& value)
{
    wire::StepSpec out;
    out.set_task_count(value.task_count);
    *out.mutable_needs() = jobs::to_wire(value.needs);
    out.set_estimate_ms(value.estimate_ms);
    for (const std::uint32_t one : value.after)
    {
        out.add_after(one);
    }
    out.set_saves_progress(value.saves_progress);
    out.set_gang(value.gang);
    out.set_single_rack(value.single_rack);
    out.set_required_label(value.required_label);
    out.set_data_rack(value.data_rack);
    out.set_max_per_worker(value.max_per_worker);
    out.set_copies_allowed(value.copies_allowed);
    out.set_lasting(value.lasting);
    out.set_image(value.image);
    out.set_tail_target_ms(value.tail_target_ms);
    out.set_filler(value.filler);
    out.set_max_away(value.max_away);
    return out;
}

step_spec from_wire(const wire::StepSpec& value)
{
    step_spec out;
    out.task_count = value.task_count();
    out.needs = jobs::from_wire(value.needs());
    out.estimate_ms = value.estimate_ms();
    out.after.assign(value.after().begin(), value.after().end());
    out.saves_progress = value.saves_progress();
    out.gang = value.gang();
    out.single_rack = value.single_rack();
    out.required_label = value.required_label();
    out.data_rack = value.data_rack();
    out.max_per_worker = value.max_per_worker();
    out.copies_allowed = value.copies_allowed();
    out.lasting = value.lasting();
    out.image = value.image();
    out.tail_target_ms = value.tail_target_ms();
    out.filler = value.filler();
    out.max_away = value.max_away();
    return out;
}

wire::TaskName to_wire(const task_name& value)
{
    wire::TaskName out;
    out.set_job(value.job.text());
    out.set_occurrence(value.occurrence);
    out.set_step(value.step);
    out.set_index(value.index);
    return out;
}

task_name from_wire(const wire::TaskName& value)
{
    return {job_id(value.job()), value.occurrence(), value.step(), value.index()};
}

wire::LearnedEffect to_wire(const learned_effect& value)
{
    wire::LearnedEffect out;
    out.set_serving_image(value.images.serving);
    out.set_filler_image(value.images.filler);
    out.set_effect_milli(value.effect_milli);
    out.set_evidence_milli(value.evidence_milli);
    return out;
}

learned_effect from_wire(const wire::LearnedEffect& value)
{
    return {{value.serving_image(), value.filler_image()}, value.effect_milli(), value.evidence_milli()};
}

wire::UnrenewedWorkers to_wire(const unrenewed_workers& value)
{
    wire::UnrenewedWorkers out;
    out.set_term(value.term);
    for (const unrenewed_worker& one : value.workers)
    {
        wire::UnrenewedWorker& to = *out.add_workers();
        to.set_worker(one.life.id);
        to.set_born_ms(one.life.born_ms);
        to.set_lease_age_ms(one.lease_age_ms);
        to.set_waited_ms(one.waited_ms);
    }
    return out;
}

unrenewed_workers from_wire(const wire::UnrenewedWorkers& value)
{
    unrenewed_workers out;
    out.term = value.term();
    for (const wire::UnrenewedWorker& one : value.workers())
    {
        out.workers.push_back({{one.worker(), one.born_ms()}, one.lease_age_ms(), one.waited_ms()});
    }
    return out;
}

/// @brief Writes each kind of command into its field.
struct command_writer
{
    wire::JobCommand& out;

    void operator()(const configure& value) const
    {
        *out.mutable_configure() = jobs::to_wire(value.value);
    }
    void operator()(const submit& value) const
    {
        wire::SubmitJob& to = *out.mutable_submit();
        to.set_id(value.id.text());
        *to.mutable_queue() = jobs::to_wire(value.source_queue);
        *to.mutable_spec() = jobs::to_wire(value.spec);
        to.set_at_ms(value.at_ms);
    }
    void operator()(const cancel& value) const
    {
        out.mutable_cancel()->set_id(value.id.text());
        out.mutable_cancel()->set_at_ms(value.at_ms);
    }
    void operator()(const round& value) const
    {
        wire::Round& to = *out.mutable_round();
        for (const run_ended& one : value.ends)
        {
            wire::RunEnd& end = *to.add_ends();
            *end.mutable_task() = to_wire(one.name.task);
            end.set_attempt(one.name.attempt);
            end.set_how(static_cast<std::uint32_t>(one.how));
            end.set_saved(one.saved);
            end.set_crash_sign(static_cast<std::uint32_t>(one.sign));
        }
        for (const run_started& one : value.starts)
        {
            wire::RunStart& start = *to.add_starts();
            *start.mutable_task() = to_wire(one.name.task);
            start.set_attempt(one.name.attempt);
            start.set_worker(one.worker.id);
            start.set_born_ms(one.worker.born_ms);
            start.set_address(one.address);
        }
        for (const occurrence_due& one : value.due)
        {
            wire::Due& due = *to.add_due();
            due.set_id(one.id.text());
            due.set_occurrence(one.number);
        }
        for (const job_id& one : value.forgotten)
        {
            to.add_forgotten(one.text());
        }
        for (const learned_effect& one : value.learned)
        {
            *to.add_learned() = to_wire(one);
        }
        for (const job_id& one : value.begun)
        {
            to.add_begun(one.text());
        }
        if (value.unrenewed.has_value())
        {
            *to.mutable_unrenewed() = to_wire(*value.unrenewed);
        }
        to.set_at_ms(value.at_ms);
    }
    void operator()(const set_evacuation& value) const
    {
        *out.mutable_set_evacuation() = jobs::to_wire(value);
    }
};

round read_round(const wire::Round& value)
{
    round out;
    for (const wire::RunEnd& one : value.ends())
    {
        out.ends.push_back({{from_wire(one.task()), one.attempt()},
                            static_cast<run_end>(one.how()),
                            one.saved(),
                            static_cast<crash_sign>(one.crash_sign())});
    }
    for (const wire::RunStart& one : value.starts())
    {
        out.starts.push_back(
            {{from_wire(one.task()), one.attempt()}, {one.worker(), one.born_ms()}, one.address()});
    }
    for (const wire::Due& one : value.due())
    {
        out.due.push_back({one.id(), one.occurrence()});
    }
    out.forgotten.assign(value.forgotten().begin(), value.forgotten().end());
    for (const wire::LearnedEffect& one : value.learned())
    {
        out.learned.push_back(from_wire(one));
    }
    out.begun.assign(value.begun().begin(), value.begun().end());
    if (value.has_unrenewed())
    {
        out.unrenewed = from_wire(value.unrenewed());
    }
    out.at_ms = value.at_ms();
    return out;
}

wire::TaskRecord to_wire(const task& value)
{
    wire::TaskRecord out;
    out.set_phase(static_cast<std::uint32_t>(value.phase));
    out.set_failures(value.failures);
    out.set_last_attempt(value.last_attempt);
    out.set_saved(value.saved);
    out.set_crashes(value.evidence.crashes);
    out.set_blamed(value.evidence.blamed);
    for (const run& one : value.runs)
    {
        wire::RunRecord& to = *out.add_runs();
        to.set_attempt(one.attempt);
        to.set_worker(one.worker.id);
        to.set_born_ms(one.worker.born_ms);
        to.set_address(one.address);
    }
    return out;
}

task from_wire(const wire::TaskRecord& value)
{
    task out;
    out.phase = static_cast<task_phase>(value.phase());
    out.failures = value.failures();
    out.last_attempt = value.last_attempt();
    out.saved = value.saved();
    out.evidence = {value.crashes(), value.blamed()};
    for (const wire::RunRecord& one : value.runs())
    {
        out.runs.push_back({one.attempt(), {one.worker(), one.born_ms()}, one.address()});
    }
    return out;
}

wire::JobRecord to_wire(const job& value)
{
    wire::JobRecord out;
    out.set_id(value.id.text());
    *out.mutable_queue() = jobs::to_wire(value.source_queue);
    *out.mutable_spec() = jobs::to_wire(value.spec);
    out.set_phase(static_cast<std::uint32_t>(value.phase));
    out.set_granted(value.granted);
    out.set_begun(value.begun);
    out.set_accepted_at_ms(value.accepted_at_ms);
    out.set_ended_at_ms(value.ended_at_ms);
    out.set_order(value.order);
    out.set_occurrences_done(value.occurrences_done);
    for (const auto& [number, at] : value.occurrences)
    {
        wire::OccurrenceRecord& to = *out.add_occurrences();
        to.set_number(number);
        for (const step& in : at.steps)
        {
            wire::StepRecord& step_out = *to.add_steps();
            for (const task& of : in.tasks)
            {
                *step_out.add_tasks() = to_wire(of);
            }
            for (const std::uint32_t attempt : in.failed_attempts)
            {
                step_out.add_failed_attempts(attempt);
            }
        }
    }
    return out;
}

job from_wire(const wire::JobRecord& value)
{
    job out;
    out.id = value.id();
    out.source_queue = jobs::from_wire(value.queue());
    out.spec = jobs::from_wire(value.spec());
    out.phase = static_cast<job_phase>(value.phase());
    out.granted = value.granted();
    out.begun = value.begun();
    out.accepted_at_ms = value.accepted_at_ms();
    out.ended_at_ms = value.ended_at_ms();
    out.order = value.order();
    out.occurrences_done = value.occurrences_done();
    for (const wire::OccurrenceRecord& from : value.occurrences())
    {
        occurrence& at = out.occurrences[from.number()];
        at.number = from.number();
        for (const wire::StepRecord& step_in : from.steps())
        {
            step in;
            for (const wire::TaskRecord& one : step_in.tasks())
            {
                in.tasks.push_back(from_wire(one));
                in.done += in.tasks.back().phase == task_phase::done ? 1 : 0;
            }
            in.failed_attempts.insert(step_in.failed_attempts().begin(), step_in.failed_attempts().end());
            at.steps.push_back(std::move(in));
        }
    }
    return out;
}

} // namespace

wire::Room to_wire(const resources& value)
{
    wire::Room out;
    out.set_cpu_milli(static_cast<std::uint32_t>(value.cpu_milli));
    out.set_memory_mb(static_cast<std::uint32_t>(value.memory_mb));
    out.set_accelerators(static_cast<std::uint32_t>(value.accelerators));
    return out;
}

resources from_wire(const wire::Room& value)
{
    return {value.cpu_milli(), value.memory_mb(), value.accelerators()};
}

wire::JobSpec to_wire(const job_spec& value)
{
    wire::JobSpec out;
    out.set_payload(value.payload);
    for (const step_spec& one : value.steps)
    {
        *out.add_steps() = to_wire(one);
    }
    out.set_repeat_count(value.repeat_count);
    out.set_first_due_ms(value.first_due_ms);
    out.set_interval_ms(value.interval_ms);
    return out;
}

job_spec from_wire(const wire::JobSpec& value)
{
    job_spec out;
    out.payload = value.payload();
    for (const wire::StepSpec& one : value.steps())
    {
        out.steps.push_back(from_wire(one));
    }
    out.repeat_count = value.repeat_count();
    out.first_due_ms = value.first_due_ms();
    out.interval_ms = value.interval_ms();
    return out;
}

wire::Queue to_wire(const queue& value)
{
    wire::Queue out;
    out.set_name(value.name);
    out.set_host(value.host);
    out.set_path_prefix(value.path_prefix);
    out.set_service(value.service);
    out.set_priority(value.priority);
    out.set_max_failures(value.max_failures);
    out.set_objective_factor(value.objective_factor);
    out.set_objective_extra_ms(value.objective_extra_ms);
    out.set_timeout_ms(value.timeout_ms);
    out.set_tickets(value.tickets);
    return out;
}

queue from_wire(const wire::Queue& value)
{
    queue out;
    out.name = value.name();
    out.host = value.host();
    out.path_prefix = value.path_prefix();
    out.service = value.service();
    out.priority = value.priority();
    out.max_failures = value.max_failures();
    out.objective_factor = value.objective_factor();
    out.objective_extra_ms = value.objective_extra_ms();
    out.timeout_ms = value.timeout_ms();
    out.tickets = value.tickets();
    return out;
}

wire::Configuration to_wire(const configuration& value)
{
    wire::Configuration out;
    out.set_version(value.version);
    for (const queue& one : value.queues)
    {
        *out.add_queues() = to_wire(one);
    }
    for (const pool_service& one : value.services)
    {
        wire::PoolService& to = *out.add_services();
        to.set_name(one.name);
        to.set_workers_check_room(one.workers_check_room);
        to.set_spare_pool(one.spare_pool);
    }
    out.set_max_body_bytes(value.max_body_bytes);
    out.set_document(value.document);
    return out;
}

configuration from_wire(const wire::Configuration& value)
{
    configuration out;
    out.version = value.version();
    out.queues.reserve(static_cast<std::size_t>(value.queues_size()));
    for (const wire::Queue& one : value.queues())
    {
        out.queues.push_back(from_wire(one));
    }
    for (const wire::PoolService& one : value.services())
    {
        out.services.push_back({one.name(), one.workers_check_room(), one.spare_pool()});
    }
    out.max_body_bytes = value.max_body_bytes();
    out.document = value.document();
    return out;
}

wire::SetEvacuation to_wire(const set_evacuation& value)
{
    wire::SetEvacuation out;
    out.set_availability_zone(value.availability_zone);
    out.set_evacuated(value.evacuated);
    return out;
}

set_evacuation from_wire(const wire::SetEvacuation& value)
{
    return {value.availability_zone(), value.evacuated()};
}

std::string encode(const command& value)
{
    wire::JobCommand out;
    std::visit(command_writer{out}, value);
    return out.SerializeAsString();
}

std::optional<command> decode(std::string_view bytes)
{
    wire::JobCommand in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return std::nullopt;
    }
    switch (in.body_case())
    {
    case wire::JobCommand::kConfigure:
        return configure{from_wire(in.configure())};
    case wire::JobCommand::kSubmit:
        return submit{in.submit().id(),
                      from_wire(in.submit().queue()),
                      from_wire(in.submit().spec()),
                      in.submit().at_ms()};
    case wire::JobCommand::kCancel:
        return cancel{in.cancel().id(), in.cancel().at_ms()};
    case wire::JobCommand::kRound:
        return read_round(in.round());
    case wire::JobCommand::kSetEvacuation:
        return from_wire(in.set_evacuation());
    case wire::JobCommand::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

std::string encode_answer(const command_answer& value)
{
    wire::JobAnswer out;
    out.set_outcome(static_cast<std::uint32_t>(value.result));
    for (const bool one : value.starts_accepted)
    {
        out.add_starts_accepted(one);
    }
    return out.SerializeAsString();
}

command_answer decode_answer(std::string_view bytes)
{
    wire::JobAnswer in;
    command_answer out;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        out.result = outcome::invalid;
        return out;
    }
    out.result = static_cast<outcome>(in.outcome());
    out.starts_accepted.assign(in.starts_accepted().begin(), in.starts_accepted().end());
    return out;
}

// ---- snapshots ---------------------------------------------------------------------------------

std::string store::save() const
{
    wire::StoreRecord out;
    *out.mutable_configuration() = to_wire(configuration_);
    for (const auto& [id, one] : jobs_)
    {
        *out.add_jobs() = to_wire(one);
    }
    for (const auto& [images, one] : learned_)
    {
        *out.add_learned() = to_wire(one);
    }
    out.set_next_order(next_order_);
    out.mutable_evacuated_zones()->Assign(evacuated_zones_.begin(), evacuated_zones_.end());
    out.set_evacuation_version(evacuation_version_);
    *out.mutable_unrenewed() = to_wire(unrenewed_);
    early_cancels_.for_each(
        [&out](const job_id& id, std::int64_t at_ms)
        {
            wire::EarlyCancel& one = *out.add_early_cancels();
            one.set_id(id.text());
            one.set_at_ms(at_ms);
        });
    return out.SerializeAsString();
}

bool store::restore(std::string_view saved)
{
    jobs_.clear();
    live_.clear();
    ended_with_runs_.clear();
    early_cancels_.clear();
    learned_.clear();
    configuration_ = {};
    unrenewed_ = {};
    evacuated_zones_.clear();
    evacuation_version_ = 0;
    next_order_ = 1;
    ++revision_;
    wire::StoreRecord in;
    if (!in.ParseFromArray(saved.data(), static_cast<int>(saved.size())))
    {
        return false;
    }
    configuration_ = from_wire(in.configuration());
    for (const wire::JobRecord& one : in.jobs())
    {
        job& added = jobs_[one.id()];
        added = from_wire(one);
        if (!is_final(added.phase))
        {
            live_[added.order] = &added;
        }
        else
        {
            update_ended_with_runs(added);
        }
    }
    for (const wire::LearnedEffect& one : in.learned())
    {
        record_effect(from_wire(one));
    }
    for (const wire::EarlyCancel& one : in.early_cancels())
    {
        early_cancels_.add(one.id(), one.at_ms());
    }
    evacuated_zones_.insert(in.evacuated_zones().begin(), in.evacuated_zones().end());
    evacuation_version_ = in.evacuation_version();
    unrenewed_ = from_wire(in.unrenewed());
    next_order_ = in.next_order();
    return true;
}

} // namespace plumspoke::jobs

#include "flow_checks.hpp"

#include "flow_commands.hpp"
#include "plumspoke/error/invariant.hpp"

namespace plumspoke::world
{

namespace
{

constexpr auto settle_limit = seconds(12);
constexpr auto heal_limit = seconds(25);
constexpr auto poll = milliseconds(20);

thread_local ground_truth* violation_sink = nullptr;

/// Records a violated internal invariant as a violation of the run instead of ending the test.
void record_violated_invariant(error::invariant which, const char* where)
{
    if (violation_sink != nullptr)
    {
        violation_sink->violations.push_back(std::string(error::to_string(which)) + " broken at " + where);
    }
}

control::intent_document first_intent()
{
    control::intent_document intent;
    intent.teams.push_back({"judge", {100'000, 400'000, 0}});
    for (const bool safe : {true, false})
    {
        control::service_config service;
        service.name = safe ? "quick" : "sync";
        service.team = "judge";
        service.safe_to_repeat = safe;
        service.answer_within_ms = 1500;
        service.slots_per_worker = 2;
        service.connections_per_worker = 8;
        for (const char* worker : {"w1", "w2", "w3"})
        {
            service.endpoints.push_back({worker, "", std::string(worker) + (safe ? ":1" : ":2")});
        }
        intent.services.push_back(service);
    }
    return intent;
}

bool slots_granted(world& self)
{
    const control_vm* leader = self.acting_leader();
    if (leader == nullptr)
    {
        return false;
    }
    for (const auto& entry : self.entries())
    {
        if (!entry->serving() || entry->version() < leader->state().config.version)
        {
            return false;
        }
    }
    return leader->slot_allocator().outstanding_slots("w1") > 0 &&
           leader->slot_allocator().outstanding_slots("w3") > 0;
}

} // namespace

void set_up(world& self)
{
    self.facts.check(self.run_until(settle_limit,
                                    [&self]
                                    {
                                        return self.acting_leader() != nullptr;
                                    }),
                     "no leader at the start");
    change_configuration(self, "first", first_intent(), 0);
    self.facts.check(self.run_until(settle_limit,
                                    [&self]
                                    {
                                        return slots_granted(self);
                                    }),
                     "no slots at the start");
    self.run_for(milliseconds(500));
}

void check_invariants(world& self)
{
    int acting = 0;
    for (const auto& vm : self.control_vms())
    {
        acting += vm->running() && vm->may_act() ? 1 : 0;
    }
    self.facts.check(acting <= 1, "two leaders may act at once");
    const control_vm* leader = self.acting_leader();
    if (leader != nullptr)
    {
        const std::uint64_t version = leader->state().config.version;
        self.facts.check(version >= self.facts.accepted_version,
                         "configuration_never_reverts: the leader has version " + std::to_string(version) +
                             ", accepted was " + std::to_string(self.facts.accepted_version));
        if (leader->slot_allocator().in_force(leader->now(), version))
        {
            for (const auto& entry : self.entries())
            {
                self.facts.check(!entry->serving() || entry->version() >= version,
                                 "in force was said, but " + entry->name() + " serves by an older version");
            }
        }
    }
    self.after(poll,
               [&self]
               {
                   check_invariants(self);
               });
}

void tear_down(world& self)
{
    self.heal();
    const auto is_recovered = [&self]
    {
        const control_vm* leader = self.acting_leader();
        return leader != nullptr && all_finished(self) && leader->consensus().members().voter_count() == 3 &&
               leader->consensus().members().members.size() == 3;
    };
    const bool recovered = self.run_until(heal_limit, is_recovered);
    self.run_for(seconds(2));
    (void)self.run_until(heal_limit, is_recovered); // a command may have been accepted late
    const control_vm* leader = self.acting_leader();
    self.facts.check(recovered && leader != nullptr, "it did not recover after the faults had ended");
    if (leader == nullptr)
    {
        return;
    }
    for (const std::string& id : self.facts.accepted_jobs)
    {
        const auto found = leader->state().jobs.find(id);
        self.facts.check(found != leader->state().jobs.end(), "the accepted job " + id + " is lost");
        if (found != leader->state().jobs.end())
        {
            self.facts.check(found->second.finished(),
                             "the job " + id + " never ended: " + found->second.reason);
            self.facts.check(found->second.phase != control::job_phase::done || !found->second.result.empty(),
                             "the result of " + id + " is lost");
        }
    }
    for (const auto& vm : self.control_vms())
    {
        const bool same_point = vm->consensus().commit_index() == leader->consensus().commit_index();
        self.facts.check(!same_point || nlohmann::json(vm->state()) == nlohmann::json(leader->state()),
                         "the replicas " + vm->name() + " and " + leader->name() + " differ");
    }
    bool answered = false;
    const auto send_request = [&self, &answered](int number)
    {
        call last;
        last.id = "last" + std::to_string(number);
        last.service = "quick";
        for (const auto& entry : self.entries())
        {
            if (entry->serving())
            {
                entry->request(last,
                               [&answered](entry::outcome reported_outcome)
                               {
                                   answered = answered || reported_outcome == entry::outcome::done;
                               });
                return;
            }
        }
    };
    for (int i = 0; i < 20 && !answered; ++i)
    {
        send_request(i);
        self.run_for(milliseconds(400));
    }
    self.facts.check(answered, "no request is answered after the faults had ended");
}

invariant_recorder::invariant_recorder(ground_truth& facts) noexcept
{
    violation_sink = &facts;
    error::set_invariant_handler(&record_violated_invariant);
}

invariant_recorder::~invariant_recorder()
{
    error::set_invariant_handler(nullptr);
    violation_sink = nullptr;
}

} // namespace plumspoke::world

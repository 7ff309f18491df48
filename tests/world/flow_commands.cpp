#include "flow_commands.hpp"

namespace plumspoke::world
{

namespace
{

control::job_spec make_job(const std::string& id)
{
    control::job_spec spec;
    spec.id = id;
    spec.team = "judge";
    spec.work_class = "marking";
    spec.declared = {1000, 1000, 0};
    spec.max_attempts = 20; // injected faults must not exhaust it
    return spec;
}

} // namespace

void change_configuration(world& self,
                          const std::string& request,
                          const control::intent_document& intent,
                          std::uint64_t based_on)
{
    control::make_plan plan;
    plan.request = request;
    plan.made_by = request;
    plan.based_on = based_on;
    plan.document = intent;
    self.submit(plan,
                [&self, request](std::error_code, const control::command_answer& made)
                {
                    if (!made.accepted())
                    {
                        return;
                    }
                    control::confirm_plan confirm;
                    confirm.request = request + ".confirm";
                    confirm.plan = made.id;
                    self.submit(confirm,
                                [&self](std::error_code, const control::command_answer& command_result)
                                {
                                    if (command_result.accepted())
                                    {
                                        self.facts.accepted_version =
                                            std::max(self.facts.accepted_version, command_result.version);
                                    }
                                });
                });
}

void submit_job(world& self, const std::string& id)
{
    self.submit(control::submit_job{make_job(id)},
                [&self, id](std::error_code, const control::command_answer& command_result)
                {
                    if (command_result.accepted())
                    {
                        self.facts.accepted_jobs.insert(id);
                    }
                });
}

bool all_finished(world& self)
{
    const control_vm* leader = self.acting_leader();
    if (leader == nullptr)
    {
        return false;
    }
    for (const std::string& id : self.facts.accepted_jobs)
    {
        const auto found = leader->state().jobs.find(id);
        if (found == leader->state().jobs.end() || !found->second.finished())
        {
            return false;
        }
    }
    return true;
}

} // namespace plumspoke::world

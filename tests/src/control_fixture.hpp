#pragma once

/// @file
/// @brief A control state with one team and two workers, for tests of single commands.

#include "plumspoke/control/state.hpp"
#include "plumspoke/time/time.hpp"

namespace plumspoke::control::control_test
{

const time_point start = from_microseconds(3'600'000'000);

/// Applies commands to a state under increasing log indexes.
class fixture
{
  public:
    fixture()
    {
        intent_document intent;
        intent.teams.push_back({"judge", {20'000, 100'000, 4}});
        confirm(plan_of(intent, "first").id);
        apply(register_worker{"w1", "1", "nangang", "r1", {8'000, 32'000, 0}});
        apply(register_worker{"w2", "1", "neihu", "r2", {8'000, 32'000, 2}});
    }

    command_answer apply(const command& value)
    {
        return control::apply(state, ++index, value);
    }
    command_answer plan_of(const intent_document& intent, const std::string& request)
    {
        return apply(make_plan{request, "ana", state.config.version, intent});
    }
    command_answer confirm(std::uint64_t id)
    {
        return apply(confirm_plan{"confirm" + std::to_string(id), id});
    }
    command_answer submit(const std::string& id, resources needs = {1'000, 1'000, 0})
    {
        job_spec spec;
        spec.id = id;
        spec.team = "judge";
        spec.work_class = "marking";
        spec.declared = needs;
        return apply(submit_job{spec});
    }
    command_answer
    place(const std::string& id, const std::string& worker = "w1", resources needs = {1'000, 1'000, 0})
    {
        return apply(place_task{id, worker, "1", needs, "test"});
    }
    command_answer report(const std::string& id, std::uint64_t token, task_event event)
    {
        return apply(report_task{id,
                                 token,
                                 event,
                                 event == task_event::stopped ? "saved" : "",
                                 event == task_event::finished ? "42" : "",
                                 "x"});
    }

    control_state state;
    std::uint64_t index = 0;
};

} // namespace plumspoke::control::control_test

#pragma once

/// @file
/// @brief A group of three control VMs in virtual time that replicate the state of jobs.

#include "plumspoke/jobs/store.hpp"
#include "plumspoke/replica/node.hpp"

#include <array>
#include <deque>
#include <memory>
#include <optional>

namespace plumspoke::test
{

/// @brief Uses the production code of replicas and of the state. Disks are synced at once, and messages
///        arrive after a fixed delay.
class job_group
{
  public:
    static constexpr std::size_t vm_count = 3;

    explicit job_group(std::uint64_t seed);

    /// @brief Lets time pass.
    void run_for(duration span);

    /// @brief Lets time pass until a VM leads and has applied what was committed before its term.
    /// @return its number
    [[nodiscard]] std::size_t run_until_led();

    /// @brief Appends a command at a VM.
    /// @return its index in the log, or nothing if the VM does not lead
    [[nodiscard]] std::optional<replica::log_index> propose(std::size_t vm, const jobs::command& value);

    /// @brief Lets time pass until a VM has applied an entry.
    void run_until_applied(std::size_t vm, replica::log_index index);

    /// @brief Ends the process of a VM for good.
    void kill(std::size_t vm);

    [[nodiscard]] const jobs::store& state(std::size_t vm) const
    {
        return vms_.at(vm).state;
    }
    [[nodiscard]] replica::term_number term(std::size_t vm) const
    {
        return vms_.at(vm).node->term();
    }

  private:
    struct control_vm
    {
        std::unique_ptr<replica::node> node;
        jobs::store state;
        replica::log_index applied = 0;
        bool up = true;
    };
    struct sent_message
    {
        time_point due_at;
        replica::message content;
    };

    void step();
    void process_output(control_vm& of);
    [[nodiscard]] bool leads(const control_vm& one) const;

    std::array<control_vm, vm_count> vms_;
    std::deque<sent_message> messages_;
    time_point now_;
};

} // namespace plumspoke::test

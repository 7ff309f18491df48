#pragma once

/// @file
/// @brief Read-copy-update (RCU) of one immutable object, using the memb flavour of liburcu.

#include <atomic>
#include <memory>

#define URCU_INLINE_SMALL_FUNCTIONS
#include <urcu/urcu-memb.h>

namespace plumspoke::entry
{

/// @brief RAII guard of an RCU read-side critical section. The thread must be registered with urcu_memb.
/// @note Must not be held during I/O or a wait, since writers wait for its end.
class rcu_read_section
{
  public:
    rcu_read_section() noexcept
    {
        urcu_memb_read_lock();
    }
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
    ~rcu_read_section()
    {
        urcu_memb_read_unlock();
    }
};

/// @brief Holds the current object; readers see a consistent version, writers replace it.
template <typename Object> class rcu_pointer
{
  public:
    rcu_pointer() noexcept = default;
    rcu_pointer(const rcu_pointer&) = delete;
    rcu_pointer& operator=(const rcu_pointer&) = delete;
    ~rcu_pointer()
    {
        delete current_.load();
    }

    /// @brief Returns the current object, or null; valid only within the section.
    [[nodiscard]] const Object* read(const rcu_read_section& /*section*/) const noexcept
    {
        return current_.load(std::memory_order_acquire);
    }

    /// @brief Publishes a new object, waits for readers of the old one and deletes the old one.
    /// @note Calls must be serialized, and must not be made within a read section.
    void publish(std::unique_ptr<const Object> next)
    {
        const std::unique_ptr<const Object> old(current_.exchange(next.release(), std::memory_order_acq_rel));
        urcu_memb_synchronize_rcu();
    }

  private:
    std::atomic<const Object*> current_{nullptr};
};

} // namespace plumspoke::entry

#pragma once

/// @file
/// @brief The checks around each flow: before its faults, at every moment, and after all have ended.

#include "world.hpp"

namespace plumspoke::world
{

/// Until a leader acts and slots are granted; then `arm` may follow.
void set_up(world& self);

/// Checks that hold at every moment, whatever happens.
void watch(world& self);

/// After the faults: everything works again, and nothing that was accepted is gone.
void tear_down(world& self);

/// While it lives, a broken invariant inside the product counts as a violation instead of ending the test.
/// @note One at a time on a thread.
class invariant_watch
{
  public:
    explicit invariant_watch(truth& facts) noexcept;
    invariant_watch(const invariant_watch&) = delete;
    invariant_watch& operator=(const invariant_watch&) = delete;
    ~invariant_watch();
};

} // namespace plumspoke::world

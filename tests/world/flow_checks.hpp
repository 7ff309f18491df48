#pragma once

/// @file
/// @brief The checks of each flow: before its faults, periodically during the run, and after all faults.

#include "world.hpp"

namespace plumspoke::world
{

/// Runs until a leader acts and slots are granted. Call before `arm`.
void set_up(world& self);

/// Starts the periodic check of the invariants that hold under all faults.
void check_invariants(world& self);

/// Ends the faults and checks that the system recovers and that nothing that was accepted is lost.
void tear_down(world& self);

/// Records a violated internal invariant of the production code as a violation of the run, instead of ending
/// the test, during its lifetime.
/// @note At most one object per thread at a time.
class invariant_recorder
{
  public:
    explicit invariant_recorder(ground_truth& facts) noexcept;
    invariant_recorder(const invariant_recorder&) = delete;
    invariant_recorder& operator=(const invariant_recorder&) = delete;
    ~invariant_recorder();
};

} // namespace plumspoke::world

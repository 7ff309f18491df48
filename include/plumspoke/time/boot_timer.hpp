#pragma once

/// @file
/// @brief Asynchronous timer on the clock of time_point.

#include "plumspoke/time/boot_clock.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

namespace plumspoke
{

using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

} // namespace plumspoke

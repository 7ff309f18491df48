#pragma once

/// @file
/// @brief Plain log lines: a fixed prefix per component and a short sentence, without payloads or secrets.

#include <easylogging++.h>

namespace plumspoke::logging
{

/// @brief Sets the format of plain log lines and writes them to standard output.
/// @param verbose whether debug lines are written
void start(bool verbose);

} // namespace plumspoke::logging

/// @brief Logs one line of a component: `PLUMSPOKE_LOG(INFO, "entry") << "Started.";`
#define PLUMSPOKE_LOG(level, part) LOG(level) << (part) << ": "

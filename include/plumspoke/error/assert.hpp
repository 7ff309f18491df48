#pragma once

/// @file
/// @brief The assertion macro. Define PLUMSPOKE_ASSERT before including this header to override it.

#include <cstdio>
#include <cstdlib>

#ifndef PLUMSPOKE_ASSERT
/// @brief Aborts the process if `condition` is false, also in release builds.
#define PLUMSPOKE_ASSERT(condition)                                                                          \
    do                                                                                                       \
    {                                                                                                        \
        if (!(condition))                                                                                    \
        {                                                                                                    \
            std::fprintf(stderr, "assert: %s failed at %s:%d\n", #condition, __FILE__, __LINE__);            \
            std::abort();                                                                                    \
        }                                                                                                    \
    } while (false)
#endif

// The main function of all doctest programs, and the parameters of rapidcheck.

// clang-tidy would spend minutes on the implementation of doctest, which is not
// code of this project.
#ifndef __clang_analyzer__
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#endif
#include <doctest/doctest.h>

#include <cstdlib>

namespace {

// rapidcheck reads RC_PARAMS at its first check and draws a random seed if it
// is not set. A value of the environment takes precedence; ctest sets the same.
[[maybe_unused]] const int kParametersAreSet =
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);

}  // namespace

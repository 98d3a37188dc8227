// Sets a fixed seed and 40 runs for rapidcheck, unless the environment sets
// RC_PARAMS, as ctest does (300 runs).

#include <cstdlib>

namespace {

[[maybe_unused]] const int kIsSet =
    setenv("RC_PARAMS", "seed=20261204 max_success=40", 0);

}  // namespace

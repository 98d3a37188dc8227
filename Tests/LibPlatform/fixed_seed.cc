// Sets a fixed rapidcheck seed unless the environment variable RC_PARAMS is
// set.

#include <cstdlib>

namespace {

[[maybe_unused]] const int kIsSet = setenv("RC_PARAMS", "seed=20261204", 0);

}  // namespace

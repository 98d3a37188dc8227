// Gives rapidcheck a fixed seed unless RC_PARAMS names another one.

#include <cstdlib>

namespace {

[[maybe_unused]] const int kIsSet = setenv("RC_PARAMS", "seed=20261204", 0);

}  // namespace

// Runs rapidcheck properties with a fixed seed and number of cases. The
// environment variable RC_PARAMS overrides both; ctest sets it to the same.

#ifndef PROPERTY_H_
#define PROPERTY_H_

#include <cstdlib>
#include <string>
#include <utility>

#include <rapidcheck.h>

namespace testing {

// Returns whether `property` holds. If not, rapidcheck prints the shrunken
// counterexample.
template <typename Testable>
bool HoldsForAll(const std::string& name, Testable&& property) {
  // rapidcheck reads RC_PARAMS only once, at its first check. setenv does not
  // replace a value that is already set.
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  return rc::check(name, std::forward<Testable>(property));
}

}  // namespace testing

#endif  // PROPERTY_H_

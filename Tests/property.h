// Runs rapidcheck properties with a fixed seed. The environment variable
// RC_PARAMS, if it is set, takes the place of the seed and count given here.

#ifndef PROPERTY_H_
#define PROPERTY_H_

#include <cstdlib>
#include <string>
#include <utility>

#include <rapidcheck.h>

namespace testing {

// True if the property holds; prints the shrunken counterexample if not.
template <typename Testable>
bool HoldsForAll(const std::string& name, Testable&& property) {
  // rapidcheck reads the variable at its first check only.
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  return rc::check(name, std::forward<Testable>(property));
}

}  // namespace testing

#endif  // PROPERTY_H_

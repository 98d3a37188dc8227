// Runs rapidcheck properties. test_main.cc sets the seed and the number of
// cases.

#ifndef PROPERTY_H_
#define PROPERTY_H_

#include <string>
#include <utility>

#include <rapidcheck.h>

namespace testing {

// Returns whether `property` holds. If not, rapidcheck prints the shrunken
// counterexample.
template <typename Testable>
bool HoldsForAll(const std::string& name, Testable&& property) {
  return rc::check(name, std::forward<Testable>(property));
}

}  // namespace testing

#endif  // PROPERTY_H_

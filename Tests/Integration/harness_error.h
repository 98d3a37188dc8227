// The failure of the harness to start, reach or hear a process.

#ifndef TESTS_INTEGRATION_HARNESS_ERROR_H_
#define TESTS_INTEGRATION_HARNESS_ERROR_H_

#include <stdexcept>
#include <string>

namespace integration {

// Thrown rather than checked with doctest, since programs outside of tests use
// the harness too. A test that lets it through fails with the message.
class HarnessError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws a HarnessError with `message` unless `condition` holds.
inline void Require(bool condition, const std::string& message) {
  if (!condition)
    throw HarnessError(message);
}

}  // namespace integration

#endif  // TESTS_INTEGRATION_HARNESS_ERROR_H_

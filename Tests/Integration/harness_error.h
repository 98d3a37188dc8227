// The error that the test harness throws when a process does not start, answer
// or end as required.

#ifndef TESTS_INTEGRATION_HARNESS_ERROR_H_
#define TESTS_INTEGRATION_HARNESS_ERROR_H_

#include <stdexcept>
#include <string>

namespace integration {

// An exception instead of a doctest check, since programs other than tests use
// the harness too. A test that does not catch the exception fails with its
// message.
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

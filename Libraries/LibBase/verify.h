// VERIFY checks an invariant. A broken invariant is a programming error and
// aborts the process. Any other failure is returned as a base::Outcome.

#ifndef LIBBASE_VERIFY_H_
#define LIBBASE_VERIFY_H_

namespace base {

// Prints the expression and its source location to standard error and aborts.
[[noreturn]] void VerificationFailed(const char* expression,
                                     const char* file,
                                     int line);

}  // namespace base

#define VERIFY(expression)                                         \
  do {                                                             \
    if (!(expression)) [[unlikely]]                                \
      ::base::VerificationFailed(#expression, __FILE__, __LINE__); \
  } while (false)

#endif  // LIBBASE_VERIFY_H_

// The one macro that checks invariants. A broken invariant is a programming
// error and stops the process; everything else is an outcome.

#ifndef LIBBASE_VERIFY_H_
#define LIBBASE_VERIFY_H_

namespace base {

// Prints the expression and its place to standard error and aborts.
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

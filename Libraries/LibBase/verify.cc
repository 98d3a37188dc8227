#include "LibBase/verify.h"

#include <cstdio>
#include <cstdlib>

namespace base {

void VerificationFailed(const char* expression, const char* file, int line) {
  std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", expression, file, line);
  std::abort();
}

}  // namespace base

// Conversion of durations to whole milliseconds, for logs and messages.

#ifndef LIBBASE_MILLISECONDS_H_
#define LIBBASE_MILLISECONDS_H_

#include <chrono>
#include <cstdint>

#include "LibBase/time.h"

namespace base {

// Rounds towards zero.
constexpr std::int64_t WholeMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace base

#endif  // LIBBASE_MILLISECONDS_H_

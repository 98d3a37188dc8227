// The monotonic clock and its time types. Code that makes decisions does not
// read the clock: its caller passes the current time as an argument.

#ifndef LIBBASE_TIME_H_
#define LIBBASE_TIME_H_

#include <chrono>

namespace base {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

}  // namespace base

#endif  // LIBBASE_TIME_H_

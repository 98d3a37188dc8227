// The clock and the time types of the decision code, which does not read the
// clock itself: the caller passes the current time as an argument.

#ifndef LIBBASE_TIME_H_
#define LIBBASE_TIME_H_

#include <chrono>

namespace base {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

}  // namespace base

#endif  // LIBBASE_TIME_H_

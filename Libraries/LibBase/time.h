// Time as the decisions see it. Decisions never read a clock: the caller
// passes the time in.

#ifndef LIBBASE_TIME_H_
#define LIBBASE_TIME_H_

#include <chrono>

namespace base {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

}  // namespace base

#endif  // LIBBASE_TIME_H_

// Measures processor time.

#ifndef BENCHMARKS_PROCESSOR_TIME_H_
#define BENCHMARKS_PROCESSOR_TIME_H_

#include <time.h>

#include <cstddef>

namespace benchmarks {

// Returns the processor time of this process in microseconds. Unlike the time
// that passes, it depends little on the other load of the machine.
inline double ProcessorMicroseconds() {
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr double kNanosecondsPerMicrosecond = 1e3;
  return static_cast<double>(time.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerMicrosecond;
}

// Returns the mean microseconds of processor time per call over `count` calls
// of `action`, which receives the number of the call.
template <typename Action>
double MeanMicroseconds(std::size_t count, Action action) {
  const double start = ProcessorMicroseconds();
  for (std::size_t call = 0; call < count; ++call)
    action(call);
  return (ProcessorMicroseconds() - start) / static_cast<double>(count);
}

}  // namespace benchmarks

#endif  // BENCHMARKS_PROCESSOR_TIME_H_

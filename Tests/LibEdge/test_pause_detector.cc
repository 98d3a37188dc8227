#include <doctest/doctest.h>

#include <chrono>

#include "LibEdge/pause_detector.h"

namespace edge {

using std::chrono::milliseconds;

TEST_CASE(
    "a jump of the boot-time clock is a pause, the delay of a slow loop is "
    "not") {
  PauseDetector detector;

  CHECK_FALSE(detector.DetectPause(milliseconds(0)));
  CHECK_FALSE(detector.DetectPause(milliseconds(900)));
  CHECK(detector.DetectPause(milliseconds(4900)) == milliseconds(4000));
  CHECK_FALSE(detector.DetectPause(milliseconds(5000)));
}

}  // namespace edge

#include <doctest/doctest.h>

#include <chrono>

#include "LibEdge/pause_detector.h"

namespace edge {

using std::chrono::milliseconds;

TEST_CASE("a suspension shows in the boot-time clock, a slow loop does not") {
  PauseDetector detector;

  CHECK_FALSE(detector.DetectPause(milliseconds(0)));
  CHECK_FALSE(detector.DetectPause(milliseconds(900)));
  CHECK(detector.DetectPause(milliseconds(4900)) == milliseconds(4000));
  CHECK_FALSE(detector.DetectPause(milliseconds(5000)));
}

}  // namespace edge

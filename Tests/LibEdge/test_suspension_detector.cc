#include <doctest/doctest.h>

#include <chrono>

#include "LibEdge/suspension_detector.h"

namespace edge {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("a suspension is detected until the detector is reset") {
  SuspensionDetector detector(milliseconds(700));

  CHECK_FALSE(detector.WasSuspended(milliseconds(700)));
  // The clocks are not read at the same moment.
  CHECK_FALSE(detector.WasSuspended(milliseconds(700) + microseconds(300)));
  CHECK(detector.WasSuspended(milliseconds(1100)));
  CHECK(detector.WasSuspended(milliseconds(1100)));
  detector.Reset(milliseconds(1100));
  CHECK_FALSE(detector.WasSuspended(milliseconds(1100)));
}

}  // namespace edge

#include <doctest/doctest.h>

#include "LibSteering/server_reachability.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

TEST_CASE("a doubt asks for a probe, and one lost probe proves nothing") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0));

  CHECK(reachability.IsProbeDue(At(1)));
  reachability.RecordProbeStart();
  CHECK_FALSE(reachability.IsProbeDue(At(2)));
  reachability.RecordProbeResult(ProbeResult::kSilent, At(80));
  CHECK_FALSE(reachability.IsUnreachable());
  CHECK(reachability.IsProbeDue(At(80)));
}

TEST_CASE("two failed probes make a server unreachable, an answer undoes it") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0));
  reachability.RecordProbeResult(ProbeResult::kSilent, At(80));

  CHECK(reachability.RecordProbeResult(ProbeResult::kSilent, At(160)));
  CHECK(reachability.IsUnreachable());
  CHECK_FALSE(reachability.IsProbeDue(At(200)));
  CHECK(reachability.IsProbeDue(At(600)));
  CHECK(reachability.RecordProbeResult(ProbeResult::kAnswered, At(610)));
  CHECK_FALSE(reachability.IsUnreachable());
  CHECK_FALSE(reachability.NeedsProbing());
}

TEST_CASE("another server at the address proves at once that this one ended") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0));

  CHECK(reachability.RecordProbeResult(ProbeResult::kOtherServer, At(5)));
  CHECK(reachability.IsUnreachable());
}

TEST_CASE("progress of any flow settles a doubt") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0));
  reachability.RecordProgress(At(10));

  CHECK_FALSE(reachability.NeedsProbing());
}

TEST_CASE("silence that began before the last progress raises no doubt") {
  ServerReachability reachability;
  reachability.RecordProgress(At(100));
  reachability.RecordSuspicion(At(50));

  CHECK_FALSE(reachability.NeedsProbing());
}

TEST_CASE("a slow server that answered a probe is not probed at once again") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0));
  reachability.RecordProbeResult(ProbeResult::kAnswered, At(5));
  reachability.RecordSuspicion(At(10));

  CHECK_FALSE(reachability.IsProbeDue(At(500)));
  CHECK(reachability.IsProbeDue(At(1005)));
}

}  // namespace steering

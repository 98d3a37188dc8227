#include <doctest/doctest.h>

#include "LibSteering/server_sight.h"
#include "LibSteering/steering_world.h"

namespace steering {

TEST_CASE("a doubt asks for a probe, and one lost probe proves nothing") {
  ServerSight sight;
  sight.RecordDoubt(At(0));

  CHECK(sight.WantsProbe(At(1)));
  sight.RecordProbeStart();
  CHECK_FALSE(sight.WantsProbe(At(2)));
  sight.RecordProbe(ProbeResult::kSilent, At(80));
  CHECK_FALSE(sight.IsUnreachable());
  CHECK(sight.WantsProbe(At(80)));
}

TEST_CASE("two failed probes make a server unreachable, an answer undoes it") {
  ServerSight sight;
  sight.RecordDoubt(At(0));
  sight.RecordProbe(ProbeResult::kSilent, At(80));

  CHECK(sight.RecordProbe(ProbeResult::kSilent, At(160)));
  CHECK(sight.IsUnreachable());
  CHECK_FALSE(sight.WantsProbe(At(200)));
  CHECK(sight.WantsProbe(At(600)));
  CHECK(sight.RecordProbe(ProbeResult::kAnswered, At(610)));
  CHECK_FALSE(sight.IsUnreachable());
  CHECK_FALSE(sight.IsUnsettled());
}

TEST_CASE("another server at the address proves at once that this one ended") {
  ServerSight sight;
  sight.RecordDoubt(At(0));

  CHECK(sight.RecordProbe(ProbeResult::kOtherServer, At(5)));
  CHECK(sight.IsUnreachable());
}

TEST_CASE("progress of any flow settles a doubt") {
  ServerSight sight;
  sight.RecordDoubt(At(0));
  sight.RecordProgress(At(10));

  CHECK_FALSE(sight.IsUnsettled());
}

TEST_CASE("silence that began before the last progress raises no doubt") {
  ServerSight sight;
  sight.RecordProgress(At(100));
  sight.RecordDoubt(At(50));

  CHECK_FALSE(sight.IsUnsettled());
}

TEST_CASE("a slow server that answered a probe is not probed at once again") {
  ServerSight sight;
  sight.RecordDoubt(At(0));
  sight.RecordProbe(ProbeResult::kAnswered, At(5));
  sight.RecordDoubt(At(10));

  CHECK_FALSE(sight.WantsProbe(At(500)));
  CHECK(sight.WantsProbe(At(1005)));
}

}  // namespace steering

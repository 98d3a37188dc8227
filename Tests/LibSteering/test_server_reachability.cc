#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>

#include "LibSteering/server_reachability.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

// What a link of 10 Mbit/s carries during a probe of 80 ms.
constexpr std::uint64_t kBulkBytes = 100'000;

}  // namespace

TEST_CASE("a suspected server is probed, and one failed probe is not enough") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0), At(0));

  CHECK(reachability.IsProbeDue(At(1)));
  reachability.RecordProbeStart();
  CHECK_FALSE(reachability.IsProbeDue(At(2)));
  reachability.RecordProbeResult(ProbeResult::kSilent, At(80));
  CHECK_FALSE(reachability.IsUnreachable());
  CHECK(reachability.IsProbeDue(At(80)));
}

TEST_CASE(
    "a probe that was not sent does not change what is known of a server") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0), At(0));
  reachability.RecordProbeResult(ProbeResult::kSilent, At(80));

  reachability.RecordProbeStart();
  CHECK_FALSE(reachability.RecordProbeResult(ProbeResult::kNotSent, At(160)));
  CHECK(reachability.FailedProbes() == 1);
  CHECK(reachability.NeedsProbing());
  CHECK(reachability.IsProbeDue(At(160) +
                                ServerReachability::kUnreachableProbeInterval));
}

TEST_CASE(
    "two failed probes make a server unreachable until a probe is answered") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0), At(0));
  reachability.RecordProbeResult(ProbeResult::kSilent, At(80));

  CHECK(reachability.RecordProbeResult(ProbeResult::kSilent, At(160)));
  CHECK(reachability.IsUnreachable());
  CHECK_FALSE(reachability.IsProbeDue(At(200)));
  CHECK(reachability.IsProbeDue(At(600)));
  CHECK(reachability.RecordProbeResult(ProbeResult::kAnswered, At(610)));
  CHECK_FALSE(reachability.IsUnreachable());
  CHECK_FALSE(reachability.NeedsProbing());
}

TEST_CASE(
    "a server is unreachable at once if another one responds at its address") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0), At(0));

  CHECK(reachability.RecordProbeResult(ProbeResult::kOtherServer, At(5)));
  CHECK(reachability.IsUnreachable());
}

TEST_CASE(
    "a queue that delays connections by 200 ms makes no server unreachable") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0), At(0));
  const base::Duration first = reachability.NextProbeTimeout();
  reachability.RecordProbeResult(ProbeResult::kSilent, At(0) + first);

  CHECK(reachability.NextProbeTimeout() > std::chrono::milliseconds(200));
}

TEST_CASE(
    "the probes of a dead server end before the caller's second "
    "retransmission") {
  constexpr auto kBetweenRetransmissions = std::chrono::milliseconds(400);
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0), At(0));
  base::TimePoint now = At(0);
  while (!reachability.IsUnreachable()) {
    now += reachability.NextProbeTimeout();
    reachability.RecordProbeResult(ProbeResult::kSilent, now);
  }

  CHECK(now - At(0) < kBetweenRetransmissions);
}

TEST_CASE(
    "a bulk transfer on the balancer's link makes no server unreachable") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0), At(0));
  for (const int at : {80, 360, 640}) {
    CHECK(reachability.IsProbeDue(At(at)));
    CHECK_FALSE(reachability.RecordProbeResult(ProbeResult::kSilent, At(at),
                                               kBulkBytes));
  }
  CHECK_FALSE(reachability.HasFailedProbe());
  // The transfer stalls.
  reachability.RecordProbeResult(ProbeResult::kSilent, At(920), 1000);
  CHECK(reachability.HasFailedProbe());
  // Only failed probes in a row count.
  reachability.RecordProbeResult(ProbeResult::kSilent, At(1200), kBulkBytes);
  CHECK_FALSE(reachability.HasFailedProbe());
  CHECK(reachability.RecordProbeResult(ProbeResult::kOtherServer, At(1210),
                                       kBulkBytes));
}

TEST_CASE("a bulk transfer without end does not keep a dead server in use") {
  ServerReachability reachability;
  base::TimePoint now = At(0);
  while (!reachability.IsUnreachable() && now < At(10'000)) {
    reachability.RecordSuspicion(At(0), now);
    now += reachability.NextProbeTimeout();
    reachability.RecordProbeResult(ProbeResult::kSilent, now, kBulkBytes);
  }

  // Probes are inconclusive for 2 s. Two more of 280 ms follow.
  CHECK(now <= At(2560));
}

TEST_CASE("progress of any flow ends the suspicion") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0), At(0));
  reachability.RecordProgress(At(10));

  CHECK_FALSE(reachability.NeedsProbing());
}

TEST_CASE("a wait that began before the last progress raises no suspicion") {
  ServerReachability reachability;
  reachability.RecordProgress(At(100));
  reachability.RecordSuspicion(At(50), At(110));

  CHECK_FALSE(reachability.NeedsProbing());
}

TEST_CASE("a slow server that answered a probe is not probed again at once") {
  ServerReachability reachability;
  reachability.RecordSuspicion(At(0), At(0));
  reachability.RecordProbeResult(ProbeResult::kAnswered, At(5));
  reachability.RecordSuspicion(At(10), At(10));

  CHECK_FALSE(reachability.IsProbeDue(At(500)));
  CHECK(reachability.IsProbeDue(At(1005)));
}

}  // namespace steering

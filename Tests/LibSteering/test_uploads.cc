// An upload sends its body in many packets, while the server sends no data. The
// server is not unresponsive during that time, and no balancer may give the
// upload up or repeat it.

#include <doctest/doctest.h>

#include <cstddef>

#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

constexpr std::uint16_t kCaller = 1;
constexpr std::uint32_t kServerSequence = 500;
constexpr std::uint16_t kPacketBytes = 1200;
// 20,000 bytes.
constexpr int kPackets = 17;

// A balancer with one server and an upload that has been opened at 0 ms.
class UploadSimulation {
 public:
  UploadSimulation() {
    m_steering.directory().Apply(MakeServer("i-0"), At(0));
    m_token =
        TokenOf(m_steering.Handle(MakeOpening(kCaller, kUploadPort), At(0)));
  }

  // Sends the packet with `index`, counted from 0.
  Decision Send(int index, int at_ms) { return Send(m_steering, index, at_ms); }

  Decision Send(Steering& steering, int index, int at_ms) const {
    const auto sequence =
        static_cast<std::uint32_t>(1 + index * int{kPacketBytes});
    return steering.Handle(MakeData(kCaller, m_token, sequence, kServerSequence,
                                    kPacketBytes, kUploadPort),
                           At(at_ms));
  }

  Decision AcknowledgeAnswer(int at_ms) {
    return m_steering.Handle(
        MakeData(kCaller, m_token, 1 + kPackets * kPacketBytes,
                 kServerSequence + 300, 0, kUploadPort),
        At(at_ms));
  }

  // Sweeps every 100 ms and returns the number of overdue requests.
  std::size_t Sweep(int from_ms, int to_ms) {
    std::size_t overdue = 0;
    for (int now = from_ms; now <= to_ms; now += 100)
      overdue += m_steering.Sweep(At(now)).size();
    return overdue;
  }

  const KnownServer& server() {
    return *m_steering.directory().FindByName(ServerName("i-0"));
  }
  FlowToken token() const { return m_token; }
  SteeringWithRoutes& steering() { return m_steering; }

 private:
  SteeringWithRoutes m_steering;
  FlowToken m_token;
};

}  // namespace

TEST_CASE("an upload is not overdue while the caller still sends its body") {
  UploadSimulation upload;
  std::size_t overdue = 0;

  for (int index = 0; index < kPackets; ++index) {
    upload.Send(index, 10 + 100 * index);
    overdue += upload.Sweep(100 * (index + 1), 100 * (index + 1));
    CHECK(upload.server().m_requests_in_progress == 1);
  }
  upload.AcknowledgeAnswer(10 + 100 * kPackets);

  CHECK(overdue == 0);
  CHECK(upload.server().m_requests_in_progress == 0);
  CHECK(upload.server().m_answer_statistics.UnansweredShare(At(2000)) == 0);
}

TEST_CASE("an upload is not overdue while the caller repeats lost packets") {
  UploadSimulation upload;
  for (int index = 0; index < 8; ++index)
    upload.Send(index, 10 + index);

  // The packet with index 3 is lost twice between the balancer and the server.
  upload.Send(3, 210);
  upload.Send(3, 610);
  const std::size_t overdue = upload.Sweep(100, 900);
  for (int index = 8; index < kPackets; ++index)
    upload.Send(index, 910 + index);
  upload.AcknowledgeAnswer(1000);

  CHECK(overdue == 0);
  CHECK(upload.Sweep(1000, 2000) == 0);
}

TEST_CASE("an upload that is sent whole and left unanswered is overdue") {
  UploadSimulation upload;
  for (int index = 0; index < kPackets; ++index)
    upload.Send(index, 10 + index);

  CHECK(upload.Sweep(100, 400) == 0);
  CHECK(upload.Sweep(500, 1500) == 1);
  CHECK(upload.server().m_requests_in_progress == 0);
}

TEST_CASE(
    "another balancer continues an upload at the same server and does not "
    "count it as unanswered") {
  UploadSimulation upload;
  for (int index = 0; index < 8; ++index)
    upload.Send(index, 10 + index);
  SteeringWithRoutes other;
  other.directory().Apply(MakeServer("i-1"), At(0));
  other.directory().Apply(MakeServer("i-0"), At(0));

  std::size_t overdue = 0;
  for (int index = 8; index < kPackets; ++index) {
    const Decision decision = upload.Send(other, index, 100 * index);
    CHECK(ServerOf(decision) ==
          other.directory().FindByName(ServerName("i-0")));
    CHECK(TokenOf(decision) == upload.token());
    overdue += other.Sweep(At(100 * index + 50)).size();
  }

  CHECK(overdue == 0);
  CHECK(
      other.directory().FindByName(ServerName("i-0"))->m_requests_in_progress ==
      1);
}

TEST_CASE("an upload to an unreachable server is not reset") {
  UploadSimulation upload;
  upload.Send(0, 10);
  FailProbes(upload.steering(), "i-0", 100);
  REQUIRE(upload.server().m_reachability.IsUnreachable());

  const Decision decision = upload.Send(1, 400);

  CHECK(ServerOf(decision) == &upload.server());
}

TEST_CASE("an opening to a route without a usable service is not refused") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-0"), At(0));
  Manifest manifest = MakeManifest(2);
  manifest.m_routes[0].m_services.clear();
  manifest.m_routes[1].m_kind = RequestKind::kOther;
  steering.ApplyManifest(manifest);

  const Decision unserved = steering.Handle(MakeOpening(1), At(0));
  const Decision served =
      steering.Handle(MakeOpening(2, kDeclarationPort), At(0));

  CHECK(IsDrop(unserved));
  CHECK(unserved.m_reason == Reason::kNoService);
  CHECK(ServerOf(served) != nullptr);
}

}  // namespace steering

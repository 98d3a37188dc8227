#include <doctest/doctest.h>

#include <chrono>

#include "LibSteering/service_admissions.h"
#include "LibSteering/steering.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

constexpr std::uint16_t kUsualAnswer = 1400;
constexpr std::uint16_t kRefusal = 150;

// A manifest in which the declarations are more urgent than the feeds.
Manifest MakePrioritised() {
  Manifest manifest = MakeManifest(2);
  manifest.m_routes[0].m_priority = 2;
  manifest.m_routes[1].m_priority = 1;
  for (std::size_t i = 0; i < 2; ++i)
    manifest.m_routes[i].m_target_latency = std::chrono::milliseconds(400);
  return manifest;
}

// Occupies the service with requests on open flows.
void OpenFlows(Steering& steering, int count, int at_ms) {
  for (int i = 0; i < count; ++i) {
    const auto port = static_cast<std::uint16_t>(i + 1);
    const FlowToken token = TokenOf(
        steering.Handle(MakeOpening(port, kDeclarationPort), At(at_ms)));
    const Decision request = steering.Handle(
        MakeData(port, token, 101, 500, 80, kDeclarationPort), At(at_ms + 7));
    CHECK_FALSE(IsReset(request));
  }
}

// Callers that open flows, send one request and acknowledge its answer.
class Callers {
 public:
  explicit Callers(Steering& steering) : m_steering(steering) {
    for (const char* name : {"i-1", "i-2", "i-3"})
      steering.directory().Apply(MakeServer(name), At(0));
  }
  // Returns the decision about the opening. The caller closes its flow with
  // the acknowledgement if `closes` is true.
  Decision Request(int at_ms, int answer_ms, std::uint16_t bytes, bool closes) {
    const std::uint16_t port = ++m_port;
    const std::uint16_t service = port % 2 == 0 ? kFeedPort : kDeclarationPort;
    const Decision opening =
        m_steering.Handle(MakeOpening(port, service), At(at_ms));
    if (IsReset(opening))
      return opening;
    const FlowToken token = TokenOf(opening);
    m_steering.Handle(MakeData(port, token, 101, 500, 80, service),
                      At(at_ms + 7));
    CallerPacket acknowledgement =
        MakeData(port, token, 181, 500 + bytes, 0, service);
    acknowledgement.m_is_end = closes;
    m_steering.Handle(acknowledgement, At(at_ms + 7 + answer_ms));
    return opening;
  }
  // Answers as of servers with full queues after usual ones, until
  // At(28'400).
  void Overload(bool closes) {
    for (int i = 0; i < 200; ++i)
      Request(i * 100, 35, kUsualAnswer, closes);
    OpenFlows(m_steering, 40, 20'000);
    for (int i = 0; i < 120; ++i)
      Request(20'000 + i * 70, i % 3 == 0 ? 7 : 60,
              i % 3 == 0 ? kRefusal : kUsualAnswer, closes);
  }

 private:
  Steering& m_steering;
  std::uint16_t m_port = 1000;
};

// How long an overload of the balancer's own data centre lasts before openings
// are limited. An answer from the other data centre takes `other_ms`.
int MillisecondsToFirstLimit(int other_ms) {
  ServerDirectory directory;
  directory.Apply(MakeServer("own"), At(0));
  ServerRecord record = MakeServer("other");
  record.m_data_centre = base::DataCentreId("there");
  directory.Apply(record, At(0));
  const Manifest manifest = MakePrioritised();
  ServiceAdmissions admissions(directory, base::DataCentreId("here"));
  admissions.SetRoutes(manifest);
  const auto record_answer = [&](const char* server, int answer_ms,
                                 std::uint16_t bytes, int at_ms) {
    Observation observation;
    observation.m_answer =
        admission::AnswerSample{std::chrono::milliseconds(answer_ms), bytes};
    admissions.Record(
        {{base::Ipv4Address(9), 1}, manifest.m_routes[0].m_address},
        *directory.FindByName(ServerName(server)), observation, At(at_ms));
  };
  for (int i = 0; i < 400; ++i)
    record_answer(i % 4 == 0 ? "other" : "own", 35, kUsualAnswer, i * 10);
  int after_ms = 0;
  while (after_ms < 2'000 &&
         !admissions.services().begin()->second.m_admission.HasLimit()) {
    after_ms += 10;
    const bool is_refused = after_ms % 20 == 0;
    record_answer("own", is_refused ? 60 : 150,
                  is_refused ? kRefusal : kUsualAnswer, 4'000 + after_ms);
    const bool is_overloaded = other_ms >= 150;
    record_answer("other", is_refused && is_overloaded ? 60 : other_ms,
                  is_refused && is_overloaded ? kRefusal : kUsualAnswer,
                  4'000 + after_ms);
  }
  return after_ms;
}

}  // namespace

TEST_CASE("a limit does not wait for other data centres that are overloaded") {
  CHECK(MillisecondsToFirstLimit(150) < 400);
  CHECK(MillisecondsToFirstLimit(40) >= 600);
}

TEST_CASE("under overload less urgent openings are refused and flows go on") {
  for (const bool closes : {false, true}) {
    SteeringWithRoutes steering;
    REQUIRE(steering.ApplyManifest(MakePrioritised()));
    Callers callers(steering);
    callers.Overload(closes);

    const Decision other = steering.Handle(MakeOpening(5000), At(28'410));
    const Decision urgent =
        steering.Handle(MakeOpening(5001, kDeclarationPort), At(28'410));

    CHECK(IsReset(other));
    CHECK(other.m_reason == Reason::kOverloaded);
    REQUIRE(other.m_admission.has_value());
    CHECK(other.m_admission->m_in_progress >= 40);
    CHECK(urgent.m_reason == Reason::kPlaced);
  }
}

// Balancers of an evacuated data centre that was cut off went on placing up to
// a third of their openings elsewhere, because their own servers answered more
// slowly.
TEST_CASE("nothing overflows from an evacuated data centre that is cut off") {
  SteeringWithRoutes steering;
  REQUIRE(steering.ApplyManifest(MakePrioritised()));
  Callers callers(steering);
  for (int i = 0; i < 100; ++i)
    callers.Request(i * 100, 35, kUsualAnswer, true);
  for (const char* name : {"i-4", "i-5", "i-6", "i-7", "i-8"}) {
    ServerRecord record = MakeServer(name);
    record.m_data_centre = base::DataCentreId("there");
    steering.directory().Apply(record, At(10'000));
  }
  for (int i = 0; i < 40; ++i)
    callers.Request(10'000 + i * 70, 200, kUsualAnswer, true);
  const auto elsewhere = [&](int at_ms) {
    int count = 0;
    for (std::uint16_t port = 1; port <= 50; ++port) {
      const Decision opening = steering.Handle(MakeOpening(port), At(at_ms));
      REQUIRE(ServerOf(opening) != nullptr);
      count += ServerOf(opening)->m_record.m_data_centre ==
                       base::DataCentreId("there")
                   ? 1
                   : 0;
    }
    return count;
  };
  REQUIRE(elsewhere(13'000) > 0);

  for (const char* name : {"i-4", "i-5", "i-6", "i-7"})
    steering.RecordProbeResult(
        steering.directory().FindByName(ServerName(name))->m_handle,
        ProbeResult::kSilent, At(13'000));
  steering.directory().SetEvacuated({base::DataCentreId("here")}, At(13'000));
  steering.SetRoutesCurrent(false);

  CHECK(elsewhere(13'300) == 0);
}

TEST_CASE("a retransmission of an admitted opening is not refused") {
  SteeringWithRoutes steering;
  REQUIRE(steering.ApplyManifest(MakePrioritised()));
  Callers callers(steering);
  REQUIRE_FALSE(IsReset(steering.Handle(MakeOpening(5000), At(20'400))));
  callers.Overload(false);

  CHECK_FALSE(IsReset(steering.Handle(MakeOpening(5000), At(28'410))));
}

TEST_CASE("without targets and priorities nothing is refused") {
  SteeringWithRoutes steering;
  Callers callers(steering);
  callers.Overload(false);

  const Decision opening = steering.Handle(MakeOpening(5000), At(28'410));

  CHECK(opening.m_reason == Reason::kPlaced);
  CHECK_FALSE(opening.m_admission.has_value());
  CHECK(steering.admissions().services().empty());
}

}  // namespace steering

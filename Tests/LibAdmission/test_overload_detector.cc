#include <doctest/doctest.h>

#include <chrono>

#include "LibAdmission/overload_detector.h"

namespace admission {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kUsualBytes = 1400;
constexpr std::uint32_t kRefusalBytes = 150;

base::TimePoint At(double seconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::duration_cast<base::Duration>(
                             std::chrono::duration<double>(seconds)));
}

// A detector after 200 usual answers of 35 ms and handshakes of 7 ms.
class TrainedDetector : public OverloadDetector {
 public:
  TrainedDetector() : OverloadDetector({milliseconds(400)}) {
    for (int i = 0; i < 200; ++i) {
      RecordHandshake(milliseconds(7), At(i * 0.1));
      RecordAnswer(0, {milliseconds(35), kUsualBytes}, true, At(i * 0.1));
    }
  }
  // Records `count` answers within 0.3 s; each `period`th is a refusal, which
  // takes `refusal_ms`.
  void RecordAnswers(int count,
                     int period,
                     int time_ms,
                     int lateness_ms = 0,
                     int refusal_ms = 7) {
    for (int i = 0; i < count; ++i) {
      const base::TimePoint now = At(25 + 0.3 * i / count);
      RecordHandshake(milliseconds(7 + lateness_ms), now);
      const bool is_refusal = i % period == 0;
      const int answer_ms = (is_refusal ? refusal_ms : time_ms) + lateness_ms;
      RecordAnswer(
          0,
          {milliseconds(answer_ms), is_refusal ? kRefusalBytes : kUsualBytes},
          true, now);
    }
  }
};

}  // namespace

// Callers acknowledged the first packet of some answers of 4,000 bytes. A
// balancer took these for refusals, and refused openings for 13 s although no
// server was full.
TEST_CASE("the first full packet of a longer answer is no refusal") {
  constexpr std::uint32_t kFullPacketBytes = 1200;
  OverloadDetector detector({milliseconds(250)});
  const auto record = [&](int answer, int time_ms) {
    const bool is_first_packet = answer % 4 == 3;
    const base::TimePoint now = At(answer * 0.02);
    detector.RecordHandshake(milliseconds(7), now);
    return detector.RecordAnswer(
        0, {milliseconds(time_ms), is_first_packet ? kFullPacketBytes : 4000},
        true, now);
  };

  // Answers are usual, then slow, then some arrive right after the handshake.
  int refusals = 0;
  for (int answer = 0; answer < 200; ++answer)
    refusals += record(answer, 55) ? 0 : 1;
  for (int answer = 200; answer < 300; ++answer)
    refusals += record(answer, answer % 8 == 3 ? 10 : 90) ? 0 : 1;

  CHECK(refusals == 0);
  CHECK_FALSE(detector.IsOverloaded(At(6)));
}

TEST_CASE("refusals beside slow answers count as overload") {
  TrainedDetector detector;

  detector.RecordAnswers(40, 3, 120);

  CHECK(detector.IsOverloaded(At(25.3)));
  CHECK(detector.SignsAt(At(25.3)).m_refused_share > 0.25);
}

// The users' servers answer 503 only after a request has waited in the queue.
TEST_CASE("refusals that come later than usual answers count as overload") {
  TrainedDetector detector;

  detector.RecordAnswers(40, 3, 120, 0, 100);

  CHECK(detector.IsOverloaded(At(25.3)));
}

TEST_CASE(
    "short and quick answers without slow ones do not count as overload") {
  TrainedDetector detector;

  detector.RecordAnswers(40, 2, 35);

  CHECK_FALSE(detector.IsOverloaded(At(25.3)));
}

TEST_CASE("a few refusals at a calm service do not count as overload") {
  TrainedDetector detector;

  detector.RecordAnswers(5, 2, 120);

  CHECK_FALSE(detector.IsOverloaded(At(25.3)));
}

TEST_CASE("answers that are slow but in time do not count as overload") {
  TrainedDetector detector;

  detector.RecordAnswers(40, 100, 150);

  CHECK_FALSE(detector.IsOverloaded(At(25.3)));
}

TEST_CASE("answers near their target count as overload without refusals") {
  TrainedDetector detector;

  detector.RecordAnswers(40, 100, 330);

  CHECK(detector.IsOverloaded(At(25.3)));
}

TEST_CASE("a late processor of the balancer does not count as overload") {
  TrainedDetector detector;

  detector.RecordAnswers(40, 100, 35, 300);

  CHECK_FALSE(detector.IsOverloaded(At(25.3)));
  CHECK(detector.SignsAt(At(25.3)).m_slowdown < 2);
}

}  // namespace admission

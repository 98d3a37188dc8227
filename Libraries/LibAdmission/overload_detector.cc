#include "LibAdmission/overload_detector.h"

#include <algorithm>
#include <cmath>

namespace admission {

namespace {

constexpr base::Duration kShortHalfLife = std::chrono::milliseconds(300);
constexpr base::Duration kLongHalfLife = std::chrono::milliseconds(2000);
// A refusal has less than this share of the usual bytes. It may come late: some
// servers refuse a request after it has waited in the queue, 60 to 160 ms in
// the users' plays, which is longer than a usual answer takes.
// A half took a tenth to a quarter of the answers of 4,000 bytes on average for
// refusals; a refusal has a head and hardly a body.
constexpr double kShortAnswerShare = 0.33;
// The payload of a full packet (adapter::kMaximumPayloadBytes). Callers often
// acknowledge the first packet of a longer answer, so this many bytes tell no
// length.
constexpr std::uint32_t kFullPacketBytes = 1200;
// An answer after little more than a handshake counts as a refusal even if it
// is only somewhat shorter than usual. The work takes the rest of the usual
// time, so that hardly any served request is as quick.
constexpr double kInstantAnswerShare = 0.25;
constexpr double kInstantAnswerBytesShare = 0.9;
// Answers are compared with the usual ones of a route from this number on.
constexpr int kMinimumSamples = 10;
// Gains of the moving averages of what is usual. The average follows a longer
// time slowly, so that a load that rises over minutes is not taken as usual.
constexpr double kDecreaseGain = 0.02;
constexpr double kIncreaseGain = 0.01;
constexpr double kRefusedShareGain = 0.005;
constexpr double kMaximumPeriodGain = 0.2;
// At the start of an overload, refusals arrive before the answers of the queues
// that have just filled. Their share counts as usual only if the answers of the
// following period are not slow either.
constexpr base::Duration kLearningPeriod = std::chrono::seconds(1);
// The usual handshake must not follow a delay of this balancer's processor,
// which may last for some hundred handshakes.
constexpr double kHandshakeIncreaseGain = 0.001;
// Servers with queues of 8 that are chosen at random refuse 4% of the requests
// with nine tenths of their slots busy, which callers hardly notice, and 9%
// with all of them.
constexpr double kTolerableRefusedShare = 0.06;
// How many standard deviations the refusals must exceed the tolerable number.
// At 3, a balancer with 60 answers a second takes noise for overload less than
// once in ten minutes.
constexpr double kConfidence = 3.0;
// Fewer refusals are no evidence, whatever their share.
constexpr double kMinimumRefusals = 4;
// Refusals count only while other answers take this many times the usual time.
// With all slots busy and queues of 8, the mean is 2.5 times.
constexpr double kMinimumSlowdown = 1.4;
// One answer counts for at most this many times the usual time, so that the
// slowest requests do not decide alone.
constexpr double kMaximumSlowdown = 6.0;
// The answers must take this part of the time between the usual time and the
// target. When the mean takes half, a good part of the answers is late.
constexpr double kMissedTargetShare = 0.5;
constexpr double kMinimumServed = 8;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Ratio(double part, double whole, double otherwise) {
  return whole > 0 ? part / whole : otherwise;
}

}  // namespace

OverloadDetector::OverloadDetector(
    const std::vector<std::optional<base::Duration>>& targets)
    : m_short(kShortHalfLife),
      m_long(kLongHalfLife),
      m_handshakes(kShortHalfLife),
      m_handshake_seconds(kShortHalfLife) {
  for (const auto& target : targets)
    m_usual.push_back({target});
}

OverloadSigns OverloadDetector::SignsAt(base::TimePoint now) const {
  return SignsOf(m_short, now);
}

bool OverloadDetector::IsOverloaded(base::TimePoint now) const {
  return IsOverloaded(m_short, now) || IsOverloaded(m_long, now);
}

void OverloadDetector::RecordHandshake(base::Duration time,
                                       base::TimePoint now) {
  const double seconds = Seconds(time);
  m_handshakes.Add(1, now);
  m_handshake_seconds.Add(seconds, now);
  if (m_usual_handshake_seconds == 0)
    m_usual_handshake_seconds = seconds;
  const double gain = seconds < m_usual_handshake_seconds
                          ? kDecreaseGain
                          : kHandshakeIncreaseGain;
  m_usual_handshake_seconds += gain * (seconds - m_usual_handshake_seconds);
}

bool OverloadDetector::RecordAnswer(std::size_t route,
                                    const AnswerSample& sample,
                                    bool may_learn,
                                    base::TimePoint now) {
  Usual& usual = m_usual[route];
  const double seconds =
      std::max(0.0, Seconds(sample.m_time) - LatenessSeconds(now));
  const bool is_refusal = LooksRefused(usual, seconds, sample.m_bytes);
  const double slowdown =
      usual.m_samples < kMinimumSamples
          ? 1.0
          : std::min(kMaximumSlowdown, Ratio(seconds, usual.m_seconds, 1.0));
  const double slack =
      usual.m_target ? Seconds(*usual.m_target) - usual.m_seconds : 0.0;
  const double target_share =
      slack <= 0 ? 0.0
                 : std::clamp((seconds - usual.m_seconds) / slack, 0.0, 1.0);
  for (Sums* sums : {&m_short, &m_long}) {
    sums->m_answers.Add(1, now);
    if (is_refusal) {
      sums->m_refusals.Add(1, now);
      continue;
    }
    sums->m_served.Add(1, now);
    sums->m_slowdown.Add(slowdown, now);
    sums->m_target_shares.Add(target_share, now);
  }
  if (!may_learn)
    return !is_refusal;
  if (usual.m_samples >= kMinimumSamples)
    LearnRefusedShare(is_refusal, now);
  // Refusals among the answers show queues, and then the times are not usual.
  const bool has_refusals =
      m_short.m_refusals.ValueAt(now) > 0.02 * m_short.m_answers.ValueAt(now);
  if (!is_refusal && (!has_refusals || usual.m_samples < kMinimumSamples))
    Learn(usual, seconds, sample.m_bytes);
  return !is_refusal;
}

OverloadSigns OverloadDetector::SignsOf(const Sums& sums,
                                        base::TimePoint now) const {
  OverloadSigns signs;
  signs.m_answers = sums.m_answers.ValueAt(now);
  const double served = sums.m_served.ValueAt(now);
  signs.m_refused_share =
      std::max(0.0, Ratio(sums.m_refusals.ValueAt(now), signs.m_answers, 0.0) -
                        m_usual_refused_share);
  signs.m_slowdown = Ratio(sums.m_slowdown.ValueAt(now), served, 1.0);
  signs.m_misses_target =
      served >= kMinimumServed && Ratio(sums.m_target_shares.ValueAt(now),
                                        served, 0.0) > kMissedTargetShare;
  return signs;
}

bool OverloadDetector::IsOverloaded(const Sums& sums,
                                    base::TimePoint now) const {
  const OverloadSigns signs = SignsOf(sums, now);
  if (signs.m_misses_target)
    return true;
  const double tolerable = kTolerableRefusedShare * signs.m_answers;
  const double refusals = signs.m_refused_share * signs.m_answers;
  return signs.m_slowdown >= kMinimumSlowdown && refusals >= kMinimumRefusals &&
         refusals >= tolerable + kConfidence * std::sqrt(tolerable);
}

void OverloadDetector::LearnRefusedShare(bool is_refusal, base::TimePoint now) {
  if (now - m_current.m_started_at >= kLearningPeriod) {
    // Refusals beside slow answers come from full queues.
    const bool is_calm = SignsOf(m_short, now).m_slowdown < kMinimumSlowdown;
    if (is_calm && m_previous.m_answers > 0)
      m_usual_refused_share +=
          std::min(kMaximumPeriodGain,
                   kRefusedShareGain * m_previous.m_answers) *
          (m_previous.m_refusals / m_previous.m_answers -
           m_usual_refused_share);
    m_previous = is_calm ? m_current : Period();
    m_current = Period();
    m_current.m_started_at = now;
  }
  m_current.m_answers += 1;
  m_current.m_refusals += is_refusal ? 1 : 0;
}

double OverloadDetector::LatenessSeconds(base::TimePoint now) const {
  const double count = m_handshakes.ValueAt(now);
  if (count < 1)
    return 0;
  return std::max(0.0, m_handshake_seconds.ValueAt(now) / count -
                           m_usual_handshake_seconds);
}

bool OverloadDetector::LooksRefused(const Usual& usual,
                                    double seconds,
                                    std::uint32_t bytes) const {
  if (usual.m_samples < kMinimumSamples || bytes >= kFullPacketBytes)
    return false;
  if (bytes < kShortAnswerShare * usual.m_bytes)
    return true;
  if (seconds >= usual.m_seconds)
    return false;
  const double instant =
      m_usual_handshake_seconds +
      kInstantAnswerShare * (usual.m_seconds - m_usual_handshake_seconds);
  return seconds < instant && bytes < kInstantAnswerBytesShare * usual.m_bytes;
}

void OverloadDetector::Learn(Usual& usual,
                             double seconds,
                             std::uint32_t bytes) {
  ++usual.m_samples;
  if (usual.m_samples <= kMinimumSamples) {
    usual.m_seconds += (seconds - usual.m_seconds) / usual.m_samples;
    usual.m_bytes += (bytes - usual.m_bytes) / usual.m_samples;
    return;
  }
  const double gain = seconds < usual.m_seconds ? kDecreaseGain : kIncreaseGain;
  usual.m_seconds += gain * (seconds - usual.m_seconds);
  usual.m_bytes += kIncreaseGain * (bytes - usual.m_bytes);
}

}  // namespace admission
